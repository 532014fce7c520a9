package order

import (
	"context"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

const (
	// ownerLeaseTTL is how long a host that no longer renews its lease remains
	// the owner of its partitions.
	ownerLeaseTTL = 6 * time.Second
	// ownerLeaseValidity is how long a host relies on its lease after it sent the
	// last successful renewal.
	ownerLeaseValidity      = ownerLeaseTTL - time.Second
	ownerLeaseRenewInterval = ownerLeaseTTL / 3
	// ownerLeaseIdleTimeout is how long a host continues to renew its lease while
	// it processes no operations.
	ownerLeaseIdleTimeout = 10 * time.Minute
	ownerKeyPrefix        = "order/owner/"
	// leaseGrantAttempts limits the requests to grant one lease.
	leaseGrantAttempts = 4
)

// ownerLease is the lease under which a host owns partitions of the orders. While
// it is valid no other host takes the partitions over, so the host's in-memory
// records are complete: an order without an in-memory record was not claimed.
// Each new lease starts a new generation.
type ownerLease struct {
	store kv.Store
	self  string
	// starting is a semaphore that admits one goroutine at a time to request a
	// new lease.
	starting chan struct{}

	mu            sync.Mutex
	leaseID       kv.LeaseID
	renewalSentAt time.Time // when the last successful renewal was sent
	generation    uint64
	lastUsed      time.Time
	renewing      bool
}

func newOwnerLease(store kv.Store, self string) *ownerLease {
	return &ownerLease{store: store, self: self, starting: make(chan struct{}, 1)}
}

// acquire returns the number of the current lease generation. If no lease is
// valid, it first requests a new lease, which starts a new generation.
func (t *ownerLease) acquire(ctx context.Context) (uint64, error) {
	if generation, ok := t.current(); ok {
		return generation, nil
	}
	select {
	case t.starting <- struct{}{}:
		defer func() { <-t.starting }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if generation, ok := t.current(); ok {
		return generation, nil
	}
	return t.startGeneration(ctx)
}

func (t *ownerLease) current() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastUsed = time.Now()
	return t.generation, t.isValid()
}

// startGeneration requests a new lease, writes the host's owner key under it and
// starts its renewal.
func (t *ownerLease) startGeneration(ctx context.Context) (uint64, error) {
	sent := time.Now()
	lease, err := t.grant(ctx)
	if err != nil {
		return 0, err
	}
	key := ownerKeyPrefix + t.self
	entry, err := t.store.Get(ctx, key)
	if err != nil && kv.ReasonOf(err) != kv.ReasonNotFound {
		return 0, err
	}
	w := kv.Write{Key: key, Value: []byte(t.self), Expect: entry.Version, Lease: lease}
	result := kv.Swap(ctx, t.store, w, func(e kv.Entry) kv.Match { return matchLease(e, lease) })
	if result.Outcome != kv.OutcomeApplied {
		return 0, result.Cause
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaseID, t.renewalSentAt = lease, sent
	t.generation++
	if !t.renewing {
		t.renewing = true
		go t.renewLoop()
	}
	return t.generation, nil
}

// grant requests a lease and retries if the response is lost. A lease whose
// response was lost expires unused.
func (t *ownerLease) grant(ctx context.Context) (lease kv.LeaseID, err error) {
	for range leaseGrantAttempts {
		lease, err = t.store.Grant(ctx, ownerLeaseTTL)
		if kv.ReasonOf(err) != kv.ReasonUnknown {
			break
		}
	}
	return lease, err
}

func matchLease(entry kv.Entry, lease kv.LeaseID) kv.Match {
	if entry.Lease == lease {
		return kv.MatchOwn
	}
	return kv.MatchOther
}

// isCurrent reports whether the lease of the given generation is the current one
// and still valid.
func (t *ownerLease) isCurrent(generation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation == generation && t.isValid()
}

func (t *ownerLease) isValid() bool {
	return t.leaseID != 0 && time.Since(t.renewalSentAt) < ownerLeaseValidity
}

// renewLoop renews the lease periodically. It returns when the lease is invalid
// or the host has processed no operation for ownerLeaseIdleTimeout.
func (t *ownerLease) renewLoop() {
	ctx := kv.WithPurpose(context.Background(), kv.PurposeOrder)
	for {
		time.Sleep(ownerLeaseRenewInterval)
		lease, ok := t.leaseToRenew()
		if !ok {
			return
		}
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, ownerLeaseRenewInterval)
		err := t.store.KeepAlive(call, lease)
		cancel()
		t.recordRenewal(lease, sent, err)
	}
}

func (t *ownerLease) leaseToRenew() (kv.LeaseID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewing = t.isValid() && time.Since(t.lastUsed) < ownerLeaseIdleTimeout
	return t.leaseID, t.renewing
}

func (t *ownerLease) recordRenewal(lease kv.LeaseID, sent time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaseID != lease {
		return
	}
	if err == nil && t.isValid() {
		t.renewalSentAt = sent
	}
	if kv.ReasonOf(err) == kv.ReasonLeaseExpired {
		t.leaseID = 0
	}
}

// revoke revokes the lease, which ends the host's ownership of its partitions.
func (t *ownerLease) revoke(ctx context.Context) {
	t.mu.Lock()
	lease := t.leaseID
	t.leaseID = 0
	t.mu.Unlock()
	if lease != 0 {
		_ = t.store.Revoke(ctx, lease)
	}
}

// hasEnded reports whether the lease of another host has ended. It writes that
// host's owner key at the version it read; the write fails if the read was stale.
func (t *ownerLease) hasEnded(ctx context.Context, host string) bool {
	key := ownerKeyPrefix + host
	entry, err := t.store.Get(ctx, key)
	if err != nil && kv.ReasonOf(err) != kv.ReasonNotFound || entry.Lease != 0 {
		return false
	}
	_, err = t.store.CompareAndSwap(ctx, kv.Write{Key: key, Value: []byte(host), Expect: entry.Version})
	return err == nil
}
