// Package kv is the narrow interface to the platform's key-value service:
// compare-and-swap, leases and watches. Adapters implement Store; the
// resilient client in this package adds read-back, budgets and backoff.
//
// It leaves the meaning of keys to the packages that own them (config, order,
// lease, membership).
package kv

import (
	"context"
	"time"
)

// Version is the service's revision at which a key was last written. It only
// grows. Zero stands for a key that does not exist.
type Version uint64

// LeaseID identifies a lease that the service granted. Zero means no lease.
type LeaseID uint64

// MaxValueSize is the largest value that the service holds, in bytes.
const MaxValueSize = 1 << 20

// Entry is one key with its value.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	// Lease deletes the key when it expires; zero for a key without a lease.
	Lease LeaseID
}

// Event is a change of one key. A deletion has a nil Value.
type Event struct {
	Entry
	Deleted bool
}

// Write is a compare-and-swap of one key.
type Write struct {
	Key   string
	Value []byte
	// Expect is the version that the key must have; zero means absent.
	Expect Version
	// Lease binds the key to a lease; zero for none.
	Lease LeaseID
}

// Store is the platform's key-value service. Each method is one call against
// the service's rate limit; a waiting Watch counts as one.
//
// All methods return *Error. A write whose answer was lost returns an error
// with ReasonUnknown: it may have taken effect.
type Store interface {
	// Get returns one key; ReasonNotFound when it does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the keys under prefix in order, and the service's revision.
	List(ctx context.Context, prefix string) ([]Entry, Version, error)
	// CompareAndSwap writes a key when its version matches; ReasonConflict otherwise.
	CompareAndSwap(ctx context.Context, w Write) (Version, error)
	// Delete removes a key when its version matches; ReasonConflict otherwise.
	Delete(ctx context.Context, key string, expect Version) error
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; ReasonLeaseExpired when it is gone.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits until a key under prefix changes after the given revision,
	// or ctx ends, and returns the changes in order with the revision that
	// they reach. Several changes of one key may be folded into the last.
	Watch(ctx context.Context, prefix string, after Version) ([]Event, Version, error)
}
