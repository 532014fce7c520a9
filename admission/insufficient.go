package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// freeSlotsShare is the share of free slots from which no request is refused because of its expected
	// start.
	freeSlotsShare = 0.5
	// newShare is the part of its time left within which a new request must be expected to start. A request
	// that came back after a refusal has all of its time, so that it goes before new ones.
	newShare = 0.9
	// fairFactor is the part of its time that a request may wait if its account has just a fair share. The rest
	// is left for accounts with less, which otherwise find the queue full.
	fairFactor = 0.75
	// minAccountFactor bounds how much earlier the requests of an account with much recent work are
	// refused.
	minAccountFactor = 0.25
	// minHopelessRetry and maxHopelessRetry bound the time after which a refused request may come back.
	minHopelessRetry, maxHopelessRetry = 100 * time.Millisecond, 5 * time.Second
	// hopelessSpread is the part of that time by which it is lengthened at random, so that callers that were
	// refused together do not come back together.
	hopelessSpread = 0.5
	// accountWorkDecay is the time constant over which the work of client accounts counts.
	accountWorkDecay = 4 * time.Second
	// minAccountWork is the recent work below which an account does not count as active, as a share of all.
	minAccountWork = 0.001
)

// HopelessReason is the reason for the refusal of a request that would start too late.
type HopelessReason string

const (
	// HopelessDeadline means that the request would start too late to be answered by its deadline.
	HopelessDeadline HopelessReason = "deadline"
	// HopelessAccount means that the request could start in time, but its client account has more than its
	// share of the recent work while others need the rest of the time.
	HopelessAccount HopelessReason = "account_share"
)

// Prospect is what a host expects for a request before it sends it to an upstream.
type Prospect struct {
	// Start is the time until the upstream that is free first has worked off what is waiting now.
	Start time.Duration
	// Ahead is the part of that work that runs before the request because it is at least as urgent, from
	// 0 to 1.
	Ahead float64
	// Own is the time from the start of the request until its answer. A request that starts in time but ends
	// too late would use capacity for nothing.
	Own time.Duration
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Share is the part of the recent work that came from the request's client account, and Fair the part
	// that it would have if all active accounts had the same. A Fair of zero means that the request has no
	// account.
	Share, Fair float64
	// Returned means that the request was refused before and has come back.
	Returned bool
	// FreeSlots and Slots are the free and all slots of the upstreams that the request may use; a Slots of
	// zero means unknown.
	FreeSlots, Slots int
}

// Refuse decides whether a request is refused at once because it would start too late, and after what time it
// may come back: when the work ahead of it is expected to have fallen far enough. random is from 0 to 1.
func (p Prospect) Refuse(random float64) (retryAfter time.Duration, reason HopelessReason, refuse bool) {
	if p.Slots <= 0 || float64(p.FreeSlots) >= freeSlotsShare*float64(p.Slots) {
		return 0, "", false
	}
	wait := float64(p.Start) * min(max(p.Ahead, 0), 1)
	limit := float64(max(p.TimeLeft-p.Own, 0))
	if !p.Returned {
		limit *= newShare
	}
	factor := p.accountFactor()
	if wait <= limit*factor {
		return 0, "", false
	}
	reason = HopelessDeadline
	if wait <= limit {
		reason = HopelessAccount
	}
	excess := min(max(wait-limit*factor, float64(minHopelessRetry)), float64(maxHopelessRetry))
	return time.Duration(excess * (1 + hopelessSpread*random)), reason, true
}

// accountFactor returns the part of its time that a request may wait. It is less than 1 for accounts with about a
// fair share or more, so that the wait that they cause leaves time for the requests of others. A single
// account has all of the time.
func (p Prospect) accountFactor() float64 {
	if p.Fair <= 0 || p.Fair >= 1 || p.Share <= 0 {
		return 1
	}
	return min(max(fairFactor*p.Fair/p.Share, minAccountFactor), 1)
}

// AccountWork measures the recent work of client accounts. The zero value is ready to use. It is safe for
// concurrent use; requests of different accounts share no lock.
type AccountWork struct {
	accounts sync.Map // name to *recentWork
	shares   atomic.Pointer[accountShares]
}

// accountShares are the shares of the recent work at one time.
type accountShares struct {
	byAccount map[string]float64
	fair      float64
}

// recentWork is a sum that decays.
type recentWork struct {
	mu     sync.Mutex
	amount float64
	at     time.Time
}

func (w *recentWork) add(amount float64, now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if elapsed := now.Sub(w.at); elapsed > 0 {
		w.amount *= math.Exp(-float64(elapsed) / float64(accountWorkDecay))
		w.at = now
	}
	w.amount += amount
	return w.amount
}

// Add counts the work of a request, in any unit.
func (a *AccountWork) Add(account string, work float64, now time.Time) {
	w, ok := a.accounts.Load(account)
	if !ok {
		w, _ = a.accounts.LoadOrStore(account, &recentWork{})
	}
	w.(*recentWork).add(work, now)
}

// Refresh computes the shares that Share returns, and forgets accounts without recent work.
func (a *AccountWork) Refresh(now time.Time) {
	work, total := map[string]float64{}, 0.0
	a.accounts.Range(func(name, w any) bool {
		amount := w.(*recentWork).add(0, now)
		work[name.(string)] = amount
		total += amount
		return true
	})
	shares := &accountShares{byAccount: make(map[string]float64, len(work))}
	for name, amount := range work {
		if amount <= 0 || amount < minAccountWork*total {
			a.accounts.Delete(name)
			continue
		}
		shares.byAccount[name] = amount / total
	}
	if n := len(shares.byAccount); n > 0 {
		shares.fair = 1 / float64(n)
	}
	a.shares.Store(shares)
}

// Share returns the account's part of the recent work, and the part that it would have if all active accounts
// had the same; zero before the first Refresh.
func (a *AccountWork) Share(account string) (share, fair float64) {
	shares := a.shares.Load()
	if shares == nil {
		return 0, 0
	}
	return shares.byAccount[account], shares.fair
}

// MaxRanks is the number of ranks that RankWork distinguishes. Higher ranks count as the last one.
const MaxRanks = 8

// rankWeight is the weight of one request in RankWork: about the last 200 requests count.
const rankWeight = 1.0 / 200

// RankWork estimates the parts of the work by rank, 0 being the most urgent one. The zero value is ready to
// use. Concurrent use is safe: if two writers collide, one update is lost, which is harmless.
type RankWork struct{ work [MaxRanks]atomic.Uint64 }

// Add counts the work of a request of a rank.
func (r *RankWork) Add(rank int, work float64) {
	for i := range r.work {
		old := math.Float64frombits(r.work[i].Load())
		added := 0.0
		if i == min(max(rank, 0), MaxRanks-1) {
			added = work
		}
		r.work[i].Store(math.Float64bits(old + rankWeight*(added-old)))
	}
}

// Ahead returns the part of the work whose rank is at least as urgent as the given one; 1 if none is known.
func (r *RankWork) Ahead(rank int) float64 {
	ahead, total := 0.0, 0.0
	for i := range r.work {
		work := math.Float64frombits(r.work[i].Load())
		total += work
		if i <= rank {
			ahead += work
		}
	}
	if total <= 0 {
		return 1
	}
	return ahead / total
}
