package admission

import (
	"sync"
	"time"
)

const (
	// shareRate is the share of an account's rate that all hosts together give
	// out; the rest of the tolerance covers a change of the owner.
	shareRate = 1.02
	// shareSlack is the part of the tolerated excess that is given out as burst;
	// the rest covers requests that go into debt and a change of the owner.
	shareSlack = 0.3
	// firstPart of the burst is there when an account is first met: its limit may
	// have been given out by another host until now.
	firstPart = 0.25
	// debtAbove is the part of a host's burst that must be there for a request
	// larger than it, which leaves a debt.
	debtAbove = 0.5
)

// AccountLimit is the limit of one client account over all hosts.
type AccountLimit struct {
	// Rate a second and Burst at once; a Rate of zero is no limit.
	Rate, Burst float64
	// Slack is the excess over both that is tolerated, in the same unit.
	Slack float64
}

// Shares gives out the limits of client accounts, or an even part of them
// where several hosts do so without any message between them. The zero value
// is ready; concurrent use is safe.
type Shares struct {
	mu      sync.Mutex
	buckets map[string]*Bucket
}

// Take spends cost of an account's share at one of the given number of hosts,
// or returns how long to wait until it would be there.
func (s *Shares) Take(account string, a AccountLimit, hosts int, cost float64, now time.Time) (wait time.Duration, ok bool) {
	if a.Rate <= 0 {
		return 0, true
	}
	rate := a.Rate * shareRate / float64(hosts)
	burst := (a.Burst + a.Slack*shareSlack) / float64(hosts)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(account, burst*firstPart, now)
	b.Fill(rate, burst, now)
	need := min(cost, burst*debtAbove)
	if b.tokens < need {
		return time.Duration((need - b.tokens) / rate * float64(time.Second)), false
	}
	b.Charge(cost)
	return 0, true
}

// Refund gives back what a request took that did not run.
func (s *Shares) Refund(account string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.buckets[account]; b != nil {
		b.Charge(-cost)
	}
}

// Keep forgets the accounts that are not to be kept: when one is met again, it
// begins with a first part of its burst.
func (s *Shares) Keep(kept func(account string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account := range s.buckets {
		if !kept(account) {
			delete(s.buckets, account)
		}
	}
}

func (s *Shares) bucket(account string, first float64, now time.Time) *Bucket {
	if s.buckets == nil {
		s.buckets = map[string]*Bucket{}
	}
	b := s.buckets[account]
	if b == nil {
		b = &Bucket{at: now, tokens: first}
		s.buckets[account] = b
	}
	return b
}
