package promptcache

import (
	"sync"
	"sync/atomic"
	"time"
)

// Tracker estimates which prefixes each upstream holds. Create it with NewTracker. Concurrent use is
// safe.
type Tracker struct {
	start     time.Time
	shards    [shardCount]shard
	upstreams sync.Map // Run to *upstream
}

// NewTracker returns a tracker that knows nothing yet. Times before now are not used.
func NewTracker(now time.Time) *Tracker { return &Tracker{start: now} }

func (t *Tracker) shard(digest uint64) *shard {
	const mix = 0x9e3779b97f4a7c15 // spreads digests that differ in few bits
	return &t.shards[digest*mix>>58]
}

func (t *Tracker) upstream(run Run) *upstream {
	if u, ok := t.upstreams.Load(run); ok {
		return u.(*upstream)
	}
	u, _ := t.upstreams.LoadOrStore(run, &upstream{run: run})
	return u.(*upstream)
}

// SetCapacity sets the memory of an upstream's run for running requests and cached prompts, in
// tokens.
func (t *Tracker) SetCapacity(run Run, tokens int) { t.upstream(run).capacity.Store(int64(tokens)) }

// Retain forgets all runs that are not listed, because they have ended. It returns their number.
func (t *Tracker) Retain(listed func(Run) bool) (ended int) {
	t.upstreams.Range(func(key, value any) bool {
		if !listed(key.(Run)) {
			value.(*upstream).gone.Store(true)
			t.upstreams.Delete(key)
			ended++
		}
		return true
	})
	return ended
}

// AddUnseen records that other hosts have let the given runs, which take equal shares, read tokens
// since the last call. The tokens that the other hosts reported to this host are among them and
// do not count twice.
func (t *Tracker) AddUnseen(runs []Run, tokens float64) {
	if len(runs) == 0 {
		return
	}
	share := int64(tokens / float64(len(runs)))
	for _, run := range runs {
		u := t.upstream(run)
		if unseen := share - u.reported.Swap(0); unseen > 0 {
			u.volume.Add(unseen)
		}
	}
}

// Reading is a request that was sent to an upstream. End must be called.
type Reading struct {
	tracker *Tracker
	at      *upstream
	chain   Chain
	own     int
	read    atomic.Bool
	ended   atomic.Bool
}

// Begin records that a request was sent to a run. own is the number of prompt tokens after the chain. Until the
// request ends, its prefixes count as held, because a later request waits until they are read.
func (t *Tracker) Begin(run Run, chain Chain, own int, now time.Time) *Reading {
	r := &Reading{tracker: t, at: t.upstream(run), chain: chain, own: max(0, own)}
	r.at.running.Add(int64(r.own))
	since := now.Sub(t.start)
	for _, l := range chain {
		s := t.shard(l.Digest)
		s.mu.Lock()
		s.findOrAdd(l.Digest, r.at, since).users++
		s.mu.Unlock()
	}
	return r
}

// Read records that the upstream has read the prompt, because the first event of its answer came.
func (r *Reading) Read(now time.Time) {
	if !r.read.Swap(true) {
		r.tracker.use(r.at, r.chain, now)
	}
}

// End records that the request ended after output tokens of its answer. If Read was not called, the
// prompt counts as not read.
func (r *Reading) End(output int, now time.Time) {
	if r.ended.Swap(true) {
		return
	}
	r.at.running.Add(int64(-r.own))
	if r.read.Load() {
		r.at.volume.Add(int64(r.own + max(0, output)))
	}
	for _, l := range r.chain {
		s := r.tracker.shard(l.Digest)
		s.mu.Lock()
		if h := s.find(l.Digest, r.at); h != nil {
			h.users = max(0, h.users-1)
			if h.users == 0 && !h.held(now.Sub(r.tracker.start)) {
				s.prune(l.Digest, now.Sub(r.tracker.start))
			}
		}
		s.mu.Unlock()
	}
}

// use records that the upstream has read a chain, and returns by how much its volume has grown.
func (t *Tracker) use(at *upstream, chain Chain, now time.Time) int64 {
	grown := int64(0)
	since := now.Sub(t.start)
	// Longest first: the parts that are shared by most are used last.
	for i := len(chain) - 1; i >= 0; i-- {
		s := t.shard(chain[i].Digest)
		s.mu.Lock()
		grown += s.findOrAdd(chain[i].Digest, at, since).use(chain[i].Tokens, since)
		s.mu.Unlock()
	}
	return grown
}

// Report records that another host has sent a prompt to a run. own is the number of prompt tokens
// after the chain.
func (t *Tracker) Report(run Run, chain Chain, own int, now time.Time) {
	u := t.upstream(run)
	own = max(0, own)
	u.volume.Add(int64(own))
	u.reported.Add(t.use(u, chain, now) + int64(own))
}

// Withdraw records that a run has not read a prompt that another host had reported. Prefixes that other
// requests have used there stay.
func (t *Tracker) Withdraw(run Run, chain Chain, now time.Time) {
	value, ok := t.upstreams.Load(run)
	if !ok {
		return
	}
	for _, l := range chain {
		s := t.shard(l.Digest)
		s.mu.Lock()
		if h := s.find(l.Digest, value.(*upstream)); h != nil && h.uses > 0 {
			if h.uses--; h.uses == 0 {
				h.read = false
				s.prune(l.Digest, now.Sub(t.start))
			}
		}
		s.mu.Unlock()
	}
}

// Holders returns the number of leading tokens of a chain that each run holds. Runs that hold none are
// not listed.
func (t *Tracker) Holders(chain Chain, now time.Time) map[Run]int {
	var held map[Run]int
	since, before := now.Sub(t.start), 0
	for i, l := range chain {
		any := false
		s := t.shard(l.Digest)
		s.mu.Lock()
		for _, h := range s.prefixes[l.Digest] {
			leading, ok := held[h.at.run]
			if !h.held(since) || i > 0 && (!ok || leading != before) {
				continue
			}
			if held == nil {
				held = make(map[Run]int, len(s.prefixes[l.Digest]))
			}
			held[h.at.run], any = before+l.Tokens, true
		}
		s.mu.Unlock()
		if before += l.Tokens; !any {
			break
		}
	}
	return held
}
