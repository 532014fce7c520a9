package main

import (
	"context"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

// hangingStore is a key-value store whose watch calls are never answered.
type hangingStore struct{ kv.Store }

// Watch blocks until ctx ends and then returns no events.
func (s hangingStore) Watch(ctx context.Context, _ string, after kv.Version) ([]kv.Event, kv.Version, error) {
	<-ctx.Done()
	return nil, after, nil
}

// countingStore is a key-value store that counts the calls of one publisher.
type countingStore struct {
	kv.Store
	calls uint64
	// conflicts counts the writes of existing keys that failed because another writer had
	// changed the key's version.
	conflicts uint64
}

// Get implements kv.Store and counts the call.
func (s *countingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.calls++
	return s.Store.Get(ctx, key)
}

// CompareAndSwap implements kv.Store and counts the call and its version conflict, if any.
func (s *countingStore) CompareAndSwap(ctx context.Context, w kv.Write) (kv.Version, error) {
	s.calls++
	version, err := s.Store.CompareAndSwap(ctx, w)
	if kv.ReasonOf(err) == kv.ReasonConflict && w.Expect != 0 {
		s.conflicts++
	}
	return version, err
}

// Delete implements kv.Store and counts the call.
func (s *countingStore) Delete(ctx context.Context, key string, expect kv.Version) error {
	s.calls++
	return s.Store.Delete(ctx, key, expect)
}

// mesh connects the followers of one process without a network: a value that one follower
// sets reaches all others after configHop.
type mesh struct {
	mu    sync.Mutex
	ports []*meshPort
}

// meshPort is one follower's config.Spreader in a mesh.
type meshPort struct {
	mesh    *mesh
	mu      sync.Mutex
	version uint64
	notify  func(uint64, []byte)
}

func (m *mesh) join() *meshPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &meshPort{mesh: m}
	m.ports = append(m.ports, p)
	return p
}

// Set implements config.Replicator. It returns false if the version is not newer than the
// stored one.
func (p *meshPort) Set(_ string, version uint64, value []byte) bool {
	if !p.setIfNewer(version, value) {
		return false
	}
	time.AfterFunc(configHop, func() {
		p.mesh.mu.Lock()
		ports := p.mesh.ports
		p.mesh.mu.Unlock()
		for _, other := range ports {
			other.setIfNewer(version, value)
		}
	})
	return true
}

// Subscribe implements config.Replicator. A second call replaces the notify function.
func (p *meshPort) Subscribe(_ string, notify func(uint64, []byte)) { p.notify = notify }

func (p *meshPort) setIfNewer(version uint64, value []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= p.version {
		return false
	}
	p.version = version
	go p.notify(version, value)
	return true
}
