package admission

import (
	"sync"
	"time"
)

const (
	// rateFactor multiplies the rate of a client account: all hosts together admit
	// 2 % more than the limit. The rest of the tolerated excess covers a change of
	// the client account's owner, the host that decides about its limit.
	rateFactor = 1.02
	// slackFraction is the fraction of AccountLimit.Slack that is added to the burst.
	// The rest covers requests that leave a debt and a change of the host that
	// decides about the limit.
	slackFraction = 0.3
	// debtThreshold is the fraction of the burst that must be available to admit a
	// request that costs more than that. The request may leave a debt.
	debtThreshold = 0.5
)

// AccountLimit is the limit of one client account across all hosts.
type AccountLimit struct {
	// Rate is the sustained limit per second and Burst the amount allowed at once,
	// both in requests or tokens. A Rate of zero means no limit.
	Rate, Burst float64
	// Slack is the tolerated excess over Rate and Burst, in the unit of Burst.
	Slack float64
}

// Shares enforces the limits of client accounts. When several hosts enforce a limit
// without messages between them, each enforces an equal share of it. The zero
// value is ready to use. Shares is safe for concurrent use.
type Shares struct {
	mu      sync.Mutex
	buckets map[string]*Bucket
}

// Take spends cost of the client account's limit, of which this host has an equal
// share. hosts is the number of hosts that share the limit. Nothing accrues before
// since: until then, another host may have admitted requests against the limit. If the
// share of this host is used up, Take returns false and the time until enough of it is
// available.
func (s *Shares) Take(account string, limit AccountLimit, hosts int, cost float64, since, now time.Time) (wait time.Duration, ok bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	rate := limit.Rate * rateFactor / float64(hosts)
	burst := (limit.Burst + limit.Slack*slackFraction) / float64(hosts)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(account)
	b.SkipTo(since)
	b.Fill(rate, burst, now)
	need := min(cost, burst*debtThreshold)
	if b.tokens < need {
		return time.Duration((need - b.tokens) / rate * float64(time.Second)), false
	}
	b.Charge(cost)
	return 0, true
}

// Refund adds cost back to the client account's share after a request that spent it
// did not run.
func (s *Shares) Refund(account string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.buckets[account]; b != nil {
		b.Charge(-cost)
	}
}

// Has reports whether the client account has a bucket.
func (s *Shares) Has(account string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buckets[account] != nil
}

// Remove removes a client account, which starts again with an empty bucket.
func (s *Shares) Remove(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.buckets, account)
}

// Retain removes the client accounts for which retained returns false. They start
// again with an empty bucket.
func (s *Shares) Retain(retained func(account string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account := range s.buckets {
		if !retained(account) {
			delete(s.buckets, account)
		}
	}
}

// bucket returns the bucket of a client account. A new bucket is empty.
func (s *Shares) bucket(account string) *Bucket {
	if s.buckets == nil {
		s.buckets = map[string]*Bucket{}
	}
	b := s.buckets[account]
	if b == nil {
		b = &Bucket{}
		s.buckets[account] = b
	}
	return b
}
