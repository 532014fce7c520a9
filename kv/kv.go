// Package kv defines Store, the interface to the platform's key-value service:
// compare-and-swap, leases and watches. Adapters implement Store. Client wraps
// a Store with a call budget, a circuit breaker, retries of failed reads and a
// read-back of each write whose response was lost.
//
// The packages that own the keys (config, order, lease, membership) define
// what the keys mean.
package kv

import (
	"context"
	"time"
)

// Version is the service's revision at which a key was last written, together with
// the Era of the service. It never decreases. Zero means that the key does not exist.
type Version uint64

// LeaseID identifies a lease that the service granted, together with the Era of the
// service. Zero means no lease.
type LeaseID uint64

// MaxValueSize is the size of the largest value that the service accepts, in bytes.
const MaxValueSize = 1 << 20

// Entry is a stored key with its value and version.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	// Lease is the lease whose expiry deletes the key. Zero means no lease.
	Lease LeaseID
}

// Event is a change of one key. Value is nil if the key was deleted.
type Event struct {
	Entry
	Deleted bool
}

// Write is a request to compare and swap one key.
type Write struct {
	Key   string
	Value []byte
	// Expect is the version that the key must have for the write to take
	// effect. Zero means that the key must not exist.
	Expect Version
	// Lease is the lease whose expiry deletes the key. Zero means no lease.
	Lease LeaseID
}

// Store is the platform's key-value service. Each method call counts as one
// call against the service's rate limit, including a Watch that waits.
//
// All errors have type *Error. A write whose response was lost returns
// ReasonUnknown, because the write may have taken effect.
type Store interface {
	// Get returns the entry of key. It fails with ReasonNotFound if the key
	// does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under prefix, sorted by key, and the current
	// revision of the service.
	List(ctx context.Context, prefix string) ([]Entry, Version, error)
	// CompareAndSwap writes a key if its version equals w.Expect, and returns
	// the new version. It fails with ReasonConflict if the versions differ, and
	// with ReasonLeaseExpired if w.Lease is of an older era. If the service applied
	// the write in another era than that of w.Expect or w.Lease, it fails with
	// ReasonUnknown and an *EraError as the cause.
	CompareAndSwap(ctx context.Context, w Write) (Version, error)
	// Delete removes a key if its version equals expect. It fails with
	// ReasonConflict if the versions differ.
	Delete(ctx context.Context, key string, expect Version) error
	// Grant creates a lease that expires when it is not renewed for ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It fails with ReasonLeaseExpired if the lease
	// has expired, was revoked or is of an older era.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys that are bound to it.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits until a key under prefix changes after the given revision
	// or ctx is done. It returns the changes in order of revision, and the
	// revision to pass to the next Watch. For a key that changed several
	// times, Watch may return only the last change.
	Watch(ctx context.Context, prefix string, after Version) ([]Event, Version, error)
}
