package promptcache

import (
	"slices"
	"sync"
	"time"
)

const (
	// shardCount is the number of shards. Requests with different prefixes seldom wait for
	// each other.
	shardCount = 64
	// maxPrefixes and maxHoldings limit one shard. All shards together hold at most 32,768
	// prefixes and 131,072 holdings of about 64 bytes, 8 MiB.
	maxPrefixes, maxHoldings = 512, 2048
	// maxCopies is the maximum number of runs at which one prefix is tracked. A prefix at more runs is in
	// so many requests that every upstream has soon read it.
	maxCopies = 128
	// evictionSample is the number of prefixes of which the least recently used is removed from a
	// full shard. A sample needs no order of all entries.
	evictionSample = 8
)

// shard holds the prefixes whose digests fall into it.
type shard struct {
	mu       sync.Mutex
	prefixes map[uint64][]*holding
	holdings int
}

// find returns the holding of a prefix at an upstream; nil if there is none.
func (s *shard) find(digest uint64, at *upstream) *holding {
	for _, h := range s.prefixes[digest] {
		if h.at == at {
			return h
		}
	}
	return nil
}

// findOrAdd returns the holding of a prefix at an upstream and adds it if there is none.
func (s *shard) findOrAdd(digest uint64, at *upstream, now time.Duration) *holding {
	if h := s.find(digest, at); h != nil {
		if !h.held(now) { // evicted, and read again now
			h.read, h.uses = false, 0
		}
		return h
	}
	s.makeRoom(digest, now)
	if s.prefixes == nil {
		s.prefixes = map[uint64][]*holding{}
	}
	h := &holding{at: at, used: now}
	s.prefixes[digest] = append(s.prefixes[digest], h)
	s.holdings++
	return h
}

// makeRoom removes entries until one can be added for the prefix. Holdings of unfinished requests may
// be removed too: the limits bound this host's memory, and the estimate is only a hint.
func (s *shard) makeRoom(digest uint64, now time.Duration) {
	s.prune(digest, now)
	if copies := s.prefixes[digest]; len(copies) >= maxCopies {
		s.drop(digest, slices.Index(copies, slices.MinFunc(copies, func(a, b *holding) int { return int(a.used - b.used) })))
	}
	for len(s.prefixes) > 0 && (s.holdings >= maxHoldings || len(s.prefixes) >= maxPrefixes && s.prefixes[digest] == nil) {
		oldest, oldestUse, seen := uint64(0), time.Duration(0), 0
		for candidate, copies := range s.prefixes {
			last := slices.MaxFunc(copies, func(a, b *holding) int { return int(a.used - b.used) }).used
			if seen == 0 || last < oldestUse {
				oldest, oldestUse = candidate, last
			}
			if seen++; seen == evictionSample {
				break
			}
		}
		s.holdings -= len(s.prefixes[oldest])
		delete(s.prefixes, oldest)
	}
}

// prune removes the holdings of a prefix that upstreams have evicted or lost.
func (s *shard) prune(digest uint64, now time.Duration) {
	copies := s.prefixes[digest]
	for i := len(copies) - 1; i >= 0; i-- {
		if !copies[i].held(now) {
			s.drop(digest, i)
		}
	}
}

// drop removes the holding with the given index.
func (s *shard) drop(digest uint64, index int) {
	copies := slices.Delete(s.prefixes[digest], index, index+1)
	s.holdings--
	if len(copies) == 0 {
		delete(s.prefixes, digest)
		return
	}
	s.prefixes[digest] = copies
}
