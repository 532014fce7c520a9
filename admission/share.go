package admission

import (
	"sync"
	"time"
)

const (
	// shareRate is the share of an account's rate that all hosts together give
	// out; the rest of the tolerance covers hosts that join meanwhile.
	shareRate = 1.05
	// shareSlack is the part of the tolerated excess that is given out as burst;
	// the other half covers requests that go into debt.
	shareSlack = 0.5
	// debtAbove is the part of a host's burst that must be there for a request
	// larger than it, which leaves a debt.
	debtAbove = 0.5
)

// Allowance is the limit of one client account over all hosts.
type Allowance struct {
	// Rate a second and Burst at once; a Rate of zero is no limit.
	Rate, Burst float64
	// Slack is the excess over both that is tolerated, in the same unit.
	Slack float64
}

// Shares divides each account's limit evenly between the hosts, without any
// message between them. A host's share is empty at its start, so that a host
// that was restarted does not give the same share out twice. The zero value is
// ready; concurrent use is safe.
type Shares struct {
	mu      sync.Mutex
	buckets map[string]*Bucket
}

// Take spends cost of an account's share at one of the given number of hosts,
// or returns how long to wait until it would be there.
func (s *Shares) Take(account string, a Allowance, hosts int, cost float64, now time.Time) (wait time.Duration, ok bool) {
	if a.Rate <= 0 {
		return 0, true
	}
	rate := a.Rate * shareRate / float64(hosts)
	burst := (a.Burst + a.Slack*shareSlack) / float64(hosts)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(account, now)
	b.Fill(rate, burst, now)
	need := min(cost, burst*debtAbove)
	if b.tokens < need {
		return time.Duration((need - b.tokens) / rate * float64(time.Second)), false
	}
	b.Charge(cost)
	return 0, true
}

// Refund gives back what a request took that did not run.
func (s *Shares) Refund(account string, cost float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket(account, now).Charge(-cost)
}

// Prepare begins to fill the shares of accounts before their first request.
func (s *Shares) Prepare(accounts []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, account := range accounts {
		s.bucket(account, now)
	}
}

func (s *Shares) bucket(account string, now time.Time) *Bucket {
	if s.buckets == nil {
		s.buckets = map[string]*Bucket{}
	}
	b := s.buckets[account]
	if b == nil {
		b = &Bucket{at: now}
		s.buckets[account] = b
	}
	return b
}
