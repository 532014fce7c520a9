package dispatch

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/upstream"
)

const (
	moveInterval = 100 * time.Millisecond
	// reportTicks is the number of move intervals between two reads of the
	// load reports.
	reportTicks   = 10
	reportTimeout = 500 * time.Millisecond
	// moveTimeout bounds the export and import of one KV cache.
	moveTimeout = 2 * time.Second
	// maxMovesAtOnce bounds the caches in transfer of one entry host.
	maxMovesAtOnce = 16
	// shortRest is left to end at a leaving host.
	shortRest     = time.Second
	cancelTimeout = time.Second
	// leavingMemory is how long an engine's refusal to take work is believed.
	leavingMemory = 10 * time.Second
)

// target is where a moved generation goes on.
type target struct {
	host     hosts.Host
	streamID string
	way      string
	// exported is the number of tokens that the cache held at least.
	exported int
}

// moving is an attempt in progress that may be moved.
type moving struct {
	run     *run
	host    hosts.Host
	attempt genlog.Attempt
	first   int // tokens in the log when the attempt began
	begun   time.Time
	cancel  context.CancelFunc
	busy    bool
	target  atomic.Pointer[target]
}

// moves are the attempts in progress. Its zero value is ready for use.
type moves struct {
	mu      sync.Mutex
	running map[*moving]struct{}
	leaving map[string]time.Time // hosts that said so themselves
}

func (m *moves) add(r *run, host hosts.Host, a genlog.Attempt, cancel context.CancelFunc) *moving {
	entry := &moving{run: r, host: host, attempt: a, first: r.Log.Count(), begun: time.Now(), cancel: cancel}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		m.running = map[*moving]struct{}{}
	}
	m.running[entry] = struct{}{}
	return entry
}

func (m *moves) remove(entry *moving) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, entry)
}

// putBack lets an attempt be moved at a later time.
func (m *moves) putBack(entry *moving) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry.busy = false
}

// noteLeaving remembers that a host refused work because it is leaving.
func (m *moves) noteLeaving(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving == nil {
		m.leaving = map[string]time.Time{}
	}
	m.leaving[id] = time.Now()
}

func (m *moves) saidLeaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, noted := m.leaving[id]
	if noted && time.Since(at) > leavingMemory {
		delete(m.leaving, id)
		return false
	}
	return noted
}

// due returns the attempts to move from leaving hosts and marks them busy.
func (m *moves) due(leaving func(id string) bool) []*moving {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*moving
	for entry := range m.running {
		if len(out) < maxMovesAtOnce && !entry.busy && leaving(entry.host.ID) && !entry.endsSoon() {
			entry.busy = true
			out = append(out, entry)
		}
	}
	return out
}

// endsSoon says whether the answer surely ends within shortRest at its pace.
func (e *moving) endsSoon() bool {
	done := e.run.Log.Count() - e.first
	rest := e.run.Log.MaxTokens - e.run.Log.Count()
	return done > 0 && time.Since(e.begun)/time.Duration(done)*time.Duration(rest) < shortRest
}

// RunMoves moves generations away from leaving hosts until ctx ends.
func (d *Dispatcher) RunMoves(ctx context.Context) {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if tick%reportTicks == 0 {
			go d.readReports(ctx)
		}
		leaving := d.leavingHosts()
		d.moveAll(ctx, d.moves.due(func(id string) bool { return leaving[id] }))
	}
}

// busyHosts returns the hosts with attempts in progress.
func (m *moves) busyHosts() map[string]hosts.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]hosts.Host{}
	for entry := range m.running {
		out[entry.host.ID] = entry.host
	}
	return out
}

// readReports asks the engines with attempts in progress whether they leave.
func (d *Dispatcher) readReports(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, host := range d.moves.busyHosts() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if report, err := d.engine(host).Load(ctx); err == nil && report.Leaving {
				d.moves.noteLeaving(host.ID)
			}
		}()
	}
	wait.Wait()
}

// leavingHosts returns the hosts that leave by the platform's list or by
// their own refusals.
func (d *Dispatcher) leavingHosts() map[string]bool {
	out := map[string]bool{}
	for _, h := range d.hosts.Current().Hosts {
		if h.State == hosts.StateLeaving || d.moves.saidLeaving(h.ID) {
			out[h.ID] = true
		}
	}
	return out
}

func (d *Dispatcher) moveAll(ctx context.Context, entries []*moving) {
	var wait sync.WaitGroup
	for _, entry := range entries {
		wait.Add(1)
		go func() {
			defer wait.Done()
			ctx, cancel := context.WithTimeout(ctx, moveTimeout)
			defer cancel()
			d.move(ctx, entry)
		}()
	}
	wait.Wait()
}

// move prepares another engine for an attempt and then breaks the attempt, so
// that the generation goes on there. The attempt yields tokens meanwhile.
func (d *Dispatcher) move(ctx context.Context, entry *moving) {
	host, ok := d.pickStaying(entry.run.Service.Pool, map[string]bool{entry.host.ID: true}, entry.host.FailureDomain, entry.run.work.request)
	if !ok {
		d.moves.putBack(entry)
		return
	}
	next := &target{host: host, streamID: entry.run.streamID(), way: wayRecompute, exported: entry.run.Log.Count()}
	cache, err := d.engine(entry.host).ExportCache(ctx, entry.attempt.StreamID)
	if err == nil {
		err = d.engine(host).ImportCache(ctx, next.streamID, cache)
	}
	if err == nil {
		next.way = wayCache
	}
	events.StreamMoved.Log(d.logger, "request", entry.run.Log.RequestID, "from", entry.host.ID, "to", host.ID,
		"way", next.way, "reason", upstream.ReasonOf(err))
	entry.target.Store(next)
	entry.cancel()
}

// pickStaying picks a live host of a pool, outside a failure domain where
// there is one, that did not refuse work because it is leaving.
func (d *Dispatcher) pickStaying(
	pool string, tried map[string]bool, avoid string, req routing.Request,
) (hosts.Host, bool) {
	skipped := maps.Clone(tried)
	var second hosts.Host
	found := false
	for {
		host, ok := d.route(pool, skipped, avoid, req)
		if !ok {
			return second, found
		}
		skipped[host.ID] = true
		if d.moves.saidLeaving(host.ID) {
			continue
		}
		if avoid == "" || host.FailureDomain != avoid {
			return host, true
		}
		second, found = host, true
	}
}

// cancelAttempt ends an attempt that goes on elsewhere.
func (d *Dispatcher) cancelAttempt(host hosts.Host, streamID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = d.engine(host).Cancel(ctx, streamID)
}
