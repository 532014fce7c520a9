package kvmem

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

// Grant implements kv.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.beforeCall(ctx, opGrant, ""); err != nil {
		return 0, err
	}
	if ttl <= 0 {
		return 0, &kv.Error{Op: opGrant, Reason: kv.ReasonInvalid}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := kv.LeaseIDOf(s.revision.Era(), s.lastLease)
	s.addLease(id, ttl)
	return id, s.faults.responseError(opGrant, "")
}

// addLease adds a lease that expires after its time to live. The caller holds s.mu.
func (s *Store) addLease(id kv.LeaseID, ttl time.Duration) {
	lease := &leaseState{ttl: ttl, keys: map[string]struct{}{}}
	lease.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = lease
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	if err := s.beforeCall(ctx, opKeepAlive, ""); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, ok := s.leases[id]
	if !ok {
		return &kv.Error{Op: opKeepAlive, Reason: kv.ReasonLeaseExpired}
	}
	lease.timer.Reset(lease.ttl)
	return s.faults.responseError(opKeepAlive, "")
}

// Revoke implements kv.Store.
func (s *Store) Revoke(ctx context.Context, id kv.LeaseID) error {
	if err := s.beforeCall(ctx, opRevoke, ""); err != nil {
		return err
	}
	s.expire(id)
	return s.faults.responseError(opRevoke, "")
}

// expire ends a lease, if it exists, and deletes the keys that are bound to it.
func (s *Store) expire(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, ok := s.leases[id]
	if !ok {
		return
	}
	lease.timer.Stop()
	delete(s.leases, id)
	for key := range lease.keys {
		if s.entries[key].Lease == id {
			s.remove(key)
		}
	}
}
