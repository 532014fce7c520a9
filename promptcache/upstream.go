package promptcache

import (
	"sync/atomic"
	"time"
)

// upstream is the memory of one run of an upstream.
type upstream struct {
	run Run
	// capacity is the memory for running requests and cached prompts, in tokens; zero if
	// unknown.
	capacity atomic.Int64
	// volume is the number of tokens that have been read since the run became known. A token that is
	// used again counts as far as its entry has aged; see touched.
	volume atomic.Int64
	// running is the number of tokens of unfinished requests that no other request shares.
	running atomic.Int64
	// reported is the part of volume that other hosts reported since the last call of
	// Tracker.AddUnseen.
	reported atomic.Int64
	gone     atomic.Bool
}

// room returns the memory for cached prompts, in tokens.
func (u *upstream) room() int64 { return u.capacity.Load() - u.running.Load() }

// touched returns by how much the volume grows when an entry is used again that has aged by age tokens.
// An entry that is used all the time thereby counts once in each capacity of volume, as in a memory that
// evicts the least recently used entries; an exact order of all entries would need a lock for each
// upstream.
func (u *upstream) touched(tokens int, age int64) int64 {
	capacity := u.capacity.Load()
	if capacity <= 0 || age <= 0 {
		return 0
	}
	return int64(float64(tokens) * min(1, float64(age)/float64(capacity)))
}

// holding is the use of one prefix at one run. The lock of the prefix's shard guards it.
type holding struct {
	at     *upstream
	tokens int
	// read is whether the upstream has read the prefix, or another host has reported that it was sent there.
	read bool
	// uses is the number of times that the prefix was read or used again.
	uses int
	// users is the number of unfinished requests of this host that use the prefix. It is not
	// evicted before they end.
	users int
	// volume is at.volume at the last use, and used the time of the last use since the tracker's
	// start.
	volume int64
	used   time.Duration
}

const (
	// maxAge is the longest time for which an unused prefix counts as held. It limits the effect of
	// traffic that this host does not know.
	maxAge = 5 * time.Minute
	// unknownMaxAge takes the place of maxAge at an upstream of unknown memory.
	unknownMaxAge = time.Minute
)

// held reports whether the upstream still holds the prefix or is about to read it.
func (h *holding) held(now time.Duration) bool {
	switch {
	case h.at.gone.Load():
		return false
	case h.users > 0:
		return true
	case !h.read:
		return false
	case h.at.capacity.Load() <= 0:
		return now-h.used <= unknownMaxAge
	}
	return now-h.used <= maxAge && h.at.volume.Load()-h.volume+int64(h.tokens) <= h.at.room()
}

// use records that the prefix was read or used again and returns by how much the upstream's volume
// grows.
func (h *holding) use(tokens int, now time.Duration) int64 {
	grown := int64(tokens)
	if h.read && h.held(now) {
		grown = h.at.touched(tokens, h.at.volume.Load()-h.volume)
	}
	h.tokens, h.read, h.used = tokens, true, now
	h.uses++
	h.volume = h.at.volume.Add(grown)
	return grown
}
