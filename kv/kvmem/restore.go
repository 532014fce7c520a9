package kvmem

import (
	"maps"
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

// Copy is a copy of a Store's content. Use Store.Copy.
type Copy struct {
	revision  uint64
	lastLease uint64
	entries   map[string]kv.Entry
	leases    map[kv.LeaseID]time.Duration // time to live of the leases
}

// Copy returns a copy of the present content.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{revision: s.revision.Revision(), lastLease: s.lastLease, entries: maps.Clone(s.entries), leases: map[kv.LeaseID]time.Duration{}}
	for id, lease := range s.leases {
		c.leases[id] = lease.ttl
	}
	return c
}

// Restore replaces the content by that of a copy and begins a new era: what was written and granted since the copy is
// lost, and its revisions and lease numbers are given out again. Leases of the copy last for their whole time to live.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	for _, lease := range s.leases {
		lease.timer.Stop()
	}
	s.revision, s.lastLease = kv.VersionOf(era, c.revision), c.lastLease
	s.entries, s.previous, s.history = map[string]kv.Entry{}, map[string]kv.Entry{}, nil
	s.leases = map[kv.LeaseID]*leaseState{}
	for id, ttl := range c.leases {
		s.addLease(kv.LeaseIDOf(era, id.Number()), ttl)
	}
	for key, entry := range c.entries {
		entry.Version, entry.Lease = kv.VersionOf(era, entry.Version.Revision()), kv.LeaseIDOf(era, entry.Lease.Number())
		if lease := s.leases[entry.Lease]; lease != nil {
			lease.keys[key] = struct{}{}
		}
		s.entries[key] = entry
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the present era.
func (s *Store) Era() kv.Era { return s.Revision().Era() }

// Revision returns the newest version that the store has given out in the present era.
func (s *Store) Revision() kv.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}
