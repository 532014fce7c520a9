package order

import (
	"context"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

const (
	// tenureTTL is how long an owner that is not heard of keeps its partitions.
	tenureTTL = 6 * time.Second
	// tenureTrust is how long after a renewal was sent its host relies on it.
	tenureTrust   = tenureTTL - time.Second
	tenureRenewal = tenureTTL / 3
	// tenureIdle is how long a host without operations renews its tenure.
	tenureIdle   = 10 * time.Minute
	tenurePrefix = "order/owner/"
	// grantAttempts bounds the grants of one beginning.
	grantAttempts = 4
)

// tenure is the lease under which a host owns partitions. While it lasts no
// other host takes them over, so that the host's own tables are complete: what
// is not in them was not claimed. Each time it is begun anew is a generation.
type tenure struct {
	store kv.Store
	self  string
	// beginning has room for the one goroutine that begins a generation.
	beginning chan struct{}

	mu         sync.Mutex
	lease      kv.LeaseID
	sent       time.Time // when the last renewal that succeeded was sent
	generation uint64
	used       time.Time
	renewing   bool
}

func newTenure(store kv.Store, self string) *tenure {
	return &tenure{store: store, self: self, beginning: make(chan struct{}, 1)}
}

// hold returns the current generation, after it has begun one if none lasts.
func (t *tenure) hold(ctx context.Context) (uint64, error) {
	if generation, ok := t.current(); ok {
		return generation, nil
	}
	select {
	case t.beginning <- struct{}{}:
		defer func() { <-t.beginning }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if generation, ok := t.current(); ok {
		return generation, nil
	}
	return t.begin(ctx)
}

func (t *tenure) current() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.used = time.Now()
	return t.generation, t.lasts()
}

// begin starts a generation.
func (t *tenure) begin(ctx context.Context) (uint64, error) {
	sent := time.Now()
	lease, err := t.grant(ctx)
	if err != nil {
		return 0, err
	}
	key := tenurePrefix + t.self
	entry, err := t.store.Get(ctx, key)
	if err != nil && kv.ReasonOf(err) != kv.ReasonNotFound {
		return 0, err
	}
	w := kv.Write{Key: key, Value: []byte(t.self), Expect: entry.Version, Lease: lease}
	result := kv.Swap(ctx, t.store, w, func(e kv.Entry) kv.Match { return matchLease(e, lease) })
	if result.Outcome != kv.OutcomeWon {
		return 0, result.Cause
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease, t.sent = lease, sent
	t.generation++
	if !t.renewing {
		t.renewing = true
		go t.renew()
	}
	return t.generation, nil
}

// grant asks for a lease, again after a lost answer: a lease that nobody
// knows of ends by itself.
func (t *tenure) grant(ctx context.Context) (lease kv.LeaseID, err error) {
	for range grantAttempts {
		lease, err = t.store.Grant(ctx, tenureTTL)
		if kv.ReasonOf(err) != kv.ReasonUnknown {
			break
		}
	}
	return lease, err
}

func matchLease(entry kv.Entry, lease kv.LeaseID) kv.Match {
	if entry.Lease == lease {
		return kv.MatchOurs
	}
	return kv.MatchForeign
}

// holds says that a generation lasts.
func (t *tenure) holds(generation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation == generation && t.lasts()
}

func (t *tenure) lasts() bool { return t.lease != 0 && time.Since(t.sent) < tenureTrust }

// renew keeps the lease while the host has operations.
func (t *tenure) renew() {
	ctx := kv.WithPurpose(context.Background(), kv.PurposeOrder)
	for {
		time.Sleep(tenureRenewal)
		lease, ok := t.toRenew()
		if !ok {
			return
		}
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, tenureRenewal)
		err := t.store.KeepAlive(call, lease)
		cancel()
		t.renewed(lease, sent, err)
	}
}

func (t *tenure) toRenew() (kv.LeaseID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewing = t.lasts() && time.Since(t.used) < tenureIdle
	return t.lease, t.renewing
}

func (t *tenure) renewed(lease kv.LeaseID, sent time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease != lease {
		return
	}
	if err == nil && t.lasts() {
		t.sent = sent
	}
	if kv.ReasonOf(err) == kv.ReasonLeaseExpired {
		t.lease = 0
	}
}

// end gives up the lease.
func (t *tenure) end(ctx context.Context) {
	t.mu.Lock()
	lease := t.lease
	t.lease = 0
	t.mu.Unlock()
	if lease != 0 {
		_ = t.store.Revoke(ctx, lease)
	}
}

// ended verifies that another host's tenure has ended. The write at the
// version that was read makes sure that the read was not an old one.
func (t *tenure) ended(ctx context.Context, host string) bool {
	key := tenurePrefix + host
	entry, err := t.store.Get(ctx, key)
	if err != nil && kv.ReasonOf(err) != kv.ReasonNotFound || entry.Lease != 0 {
		return false
	}
	_, err = t.store.CompareAndSwap(ctx, kv.Write{Key: key, Value: []byte(host), Expect: entry.Version})
	return err == nil
}
