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
	// reportTicks is the number of move intervals between two reads of the engines' load reports.
	reportTicks   = 10
	reportTimeout = 500 * time.Millisecond
	// moveTimeout bounds the export and import of one generation's KV cache.
	moveTimeout = 2 * time.Second
	// maxMovesAtOnce is the number of KV caches that one entry host transfers at the same time.
	maxMovesAtOnce = 16
	// minRemaining is the expected remaining time below which an attempt finishes at its leaving
	// host instead of moving.
	minRemaining  = time.Second
	cancelTimeout = time.Second
	// leavingExpiry is how long a host counts as leaving after its engine's last announcement.
	leavingExpiry = 10 * time.Second
)

// moveTarget is the engine at which a moved generation continues.
type moveTarget struct {
	host     hosts.Host
	streamID string
	way      string
	// exported is the number of answer tokens received before the export of the KV cache. The cache
	// contains at least these tokens.
	exported int
}

// movableAttempt is an attempt in progress that may move to another engine.
type movableAttempt struct {
	run     *run
	host    hosts.Host
	attempt genlog.Attempt
	initial int // tokens in the log when the attempt started
	started time.Time
	cancel  context.CancelFunc
	busy    bool                       // a move of this attempt is in progress or done
	target  atomic.Pointer[moveTarget] // set by a move before it cancels the attempt
}

// attemptRegistry holds the attempts in progress and the hosts that announced that they are
// leaving. The zero value is ready for use.
type attemptRegistry struct {
	mu      sync.Mutex
	running map[*movableAttempt]struct{}
	leaving map[string]time.Time // time of the newest leaving announcement, by host id
}

func (m *attemptRegistry) add(r *run, host hosts.Host, a genlog.Attempt, cancel context.CancelFunc) *movableAttempt {
	entry := &movableAttempt{run: r, host: host, attempt: a, initial: r.Log.Count(), started: time.Now(), cancel: cancel}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		m.running = map[*movableAttempt]struct{}{}
	}
	m.running[entry] = struct{}{}
	return entry
}

func (m *attemptRegistry) remove(entry *movableAttempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, entry)
}

// clearBusy makes an attempt eligible for a later move.
func (m *attemptRegistry) clearBusy(entry *movableAttempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry.busy = false
}

// markLeaving records that a host's engine announced that it is leaving, by a refusal or in its
// load report.
func (m *attemptRegistry) markLeaving(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving == nil {
		m.leaving = map[string]time.Time{}
	}
	m.leaving[id] = time.Now()
}

// reportedLeaving reports whether a host announced within leavingExpiry that it is leaving.
func (m *attemptRegistry) reportedLeaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, found := m.leaving[id]
	if found && time.Since(at) > leavingExpiry {
		delete(m.leaving, id)
		return false
	}
	return found
}

// selectForMove returns at most maxMovesAtOnce attempts to move away from leaving hosts, and marks
// them busy.
func (m *attemptRegistry) selectForMove(leaving func(id string) bool) []*movableAttempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*movableAttempt
	for entry := range m.running {
		if len(out) < maxMovesAtOnce && !entry.busy && leaving(entry.host.ID) && !entry.endsSoon() {
			entry.busy = true
			out = append(out, entry)
		}
	}
	return out
}

// endsSoon reports whether the answer ends within minRemaining, at the attempt's measured pace and
// the longest allowed length.
func (e *movableAttempt) endsSoon() bool {
	done := e.run.Log.Count() - e.initial
	remaining := e.run.Log.MaxTokens - e.run.Log.Count()
	return done > 0 && time.Since(e.started)/time.Duration(done)*time.Duration(remaining) < minRemaining
}

// RunMoves moves generations away from leaving hosts every moveInterval until ctx ends.
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
		d.moveAll(ctx, d.attempts.selectForMove(func(id string) bool { return leaving[id] }))
	}
}

// busyHosts returns the hosts with attempts in progress.
func (m *attemptRegistry) busyHosts() map[string]hosts.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]hosts.Host{}
	for entry := range m.running {
		out[entry.host.ID] = entry.host
	}
	return out
}

// readReports reads the load report of every engine that runs an attempt, and marks the hosts that
// report that they are leaving.
func (d *Dispatcher) readReports(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, host := range d.attempts.busyHosts() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if report, err := d.engine(host).Load(ctx); err == nil && report.Leaving {
				d.attempts.markLeaving(host.ID)
			}
		}()
	}
	wait.Wait()
}

// leavingHosts returns the ids of the hosts that are leaving according to the platform's host list
// or to their own announcements.
func (d *Dispatcher) leavingHosts() map[string]bool {
	out := map[string]bool{}
	for _, h := range d.hosts.Current().Hosts {
		if h.State == hosts.StateLeaving || d.attempts.reportedLeaving(h.ID) {
			out[h.ID] = true
		}
	}
	return out
}

func (d *Dispatcher) moveAll(ctx context.Context, entries []*movableAttempt) {
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

// move copies an attempt's KV cache to another engine and then cancels the attempt, so that the
// generation continues at the new engine. The attempt generates tokens during the copy. When the
// copy fails, the new engine computes prompt and answer again.
func (d *Dispatcher) move(ctx context.Context, entry *movableAttempt) {
	host, ok := d.pickNotLeaving(entry.run.Service.Pool, map[string]bool{entry.host.ID: true}, entry.host.FailureDomain, entry.run.work.request)
	if !ok {
		d.attempts.clearBusy(entry)
		return
	}
	next := &moveTarget{host: host, streamID: entry.run.streamID(), way: wayRecompute, exported: entry.run.Log.Count()}
	cache, release, err := d.engine(entry.host).ExportCache(ctx, entry.attempt.StreamID)
	if err == nil {
		err = d.engine(host).ImportCache(ctx, next.streamID, cache)
		release()
	}
	if err == nil {
		next.way = wayCache
	}
	events.StreamMoved.Log(d.logger, "request", entry.run.Log.RequestID, "from", entry.host.ID, "to", host.ID,
		"way", next.way, "reason", upstream.ReasonOf(err))
	entry.target.Store(next)
	entry.cancel()
}

// pickNotLeaving selects a live host of a pool that has not announced that it is leaving. It
// prefers hosts outside the failure domain avoid; an empty avoid means no preference.
func (d *Dispatcher) pickNotLeaving(
	pool string, tried map[string]bool, avoid string, req routing.Request,
) (hosts.Host, bool) {
	skipped := maps.Clone(tried)
	var fallback hosts.Host
	found := false
	for {
		host, ok := d.route(pool, skipped, avoid, req)
		if !ok {
			return fallback, found
		}
		skipped[host.ID] = true
		if d.attempts.reportedLeaving(host.ID) {
			continue
		}
		if avoid == "" || host.FailureDomain != avoid {
			return host, true
		}
		fallback, found = host, true
	}
}

// cancelAttempt cancels an attempt at its old engine after its generation moved to another one.
func (d *Dispatcher) cancelAttempt(host hosts.Host, streamID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = d.engine(host).Cancel(ctx, streamID)
}
