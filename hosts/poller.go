package hosts

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// maxAge is the age above which a view is refreshed before use. A leaving upstream may get new
	// work for at most 3 s; the remaining 1 s covers the lag of the list and the duration of a
	// refresh.
	maxAge = 2 * time.Second
	// readTimeout is the timeout of one read of the host list, and of the direct checks of
	// upstreams.
	readTimeout = 500 * time.Millisecond
	// refreshTries is how many times a request tries to get a view that is not older than maxAge.
	refreshTries = 3
	// markRetention is how long a mark that a host is leaving lasts after it was last set.
	markRetention = 5 * time.Minute
	// markSettle is how long a leaving mark lasts for a host that is missing from the list. After
	// that a new host may use the same id.
	markSettle = 10 * time.Second
)

// Reads counts refreshes of the host list by source (list or peer) or failure.
var Reads = metrics.New("host_list_reads_total", "Refreshes of the host list, by source or failure.")

// Stale counts uses of a host list older than 2 s: refreshes, and upstreams checked or excluded.
var Stale = metrics.New("host_list_stale_total", "Requests that met an old host list, by what was done.")

const (
	labelList       = "list"
	labelPeer       = "peer"
	labelListFailed = "list_failed"
	labelPeerFailed = "peer_failed"
	labelRefreshed  = "refreshed"
	labelChecked    = "checked_upstream"
	labelExcluded   = "excluded_upstream"
)

// Poller reads the host list periodically and stores the newest view. Use NewPoller.
type Poller struct {
	source   Source
	interval time.Duration
	logger   hclog.Logger
	current  atomic.Pointer[Snapshot]
	sharing  *sharing
	check    func(context.Context, Host) error

	refreshing chan struct{} // semaphore that permits one refresh at a time
	mu         sync.Mutex    // guards marks and serialises changes of current
	marks      map[string]time.Time
}

// NewPoller returns a poller that reads source once per interval while Run is active.
func NewPoller(source Source, interval time.Duration, logger hclog.Logger) *Poller {
	p := &Poller{
		source: source, interval: interval, logger: logger,
		refreshing: make(chan struct{}, 1), marks: map[string]time.Time{},
	}
	p.current.Store(NewSnapshot(nil, time.Time{}))
	return p
}

// SetCheck sets a function that queries an upstream directly and returns nil if the upstream
// accepts new work. The poller calls it while the list cannot be read; without a check, no upstream
// gets work then. Call SetCheck before Run.
func (p *Poller) SetCheck(check func(context.Context, Host) error) { p.check = check }

// Current returns the newest view, regardless of its age.
func (p *Poller) Current() *Snapshot { return p.current.Load() }

// Run refreshes the view once per interval until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := wait.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		_ = p.refresh(ctx, p.Current())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Usable returns the hosts of a pool that may get new work: the live ones in the result of Fresh.
func (p *Poller) Usable(ctx context.Context, pool string) []Host {
	var out []Host
	for _, h := range p.Fresh(ctx, pool).Pool(pool) {
		if h.State == StateLive {
			out = append(out, h)
		}
	}
	return out
}

// Fresh returns a view that is current enough to assign new work to the hosts of a pool. It
// refreshes a view older than maxAge (2 s) first. If that fails, the result shows as live only the
// hosts that confirm in a direct check that they accept work.
func (p *Poller) Fresh(ctx context.Context, pool string) *Snapshot {
	for range refreshTries {
		view := p.Current()
		if view.Age() <= maxAge {
			return view
		}
		// The process may be paused during the refresh, so the loop checks the age of the view
		// again.
		if p.refresh(ctx, view) != nil {
			break
		}
		Stale.Inc(labelRefreshed)
	}
	return p.checked(ctx, p.Current(), pool)
}

// StillUsable reports whether a host chosen earlier may still get new work, according to Fresh. The
// process may have been paused or blocked since the choice.
func (p *Poller) StillUsable(ctx context.Context, chosen Host) bool {
	return slices.ContainsFunc(p.Usable(ctx, chosen.Pool), func(h Host) bool { return h.ID == chosen.ID })
}

// checked returns a view of a pool in which hosts that fail the direct check are marked as leaving.
func (p *Poller) checked(ctx context.Context, view *Snapshot, pool string) *Snapshot {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list := append([]Host{}, view.Pool(pool)...)
	var checks sync.WaitGroup
	for i, h := range list {
		checks.Go(func() {
			if h.State == StateLive && (p.check == nil || p.check(ctx, h) != nil) {
				list[i].State = StateLeaving
			}
		})
	}
	checks.Wait()
	for _, h := range list {
		if h.State == StateLive {
			Stale.Inc(labelChecked)
		} else {
			Stale.Inc(labelExcluded)
		}
	}
	return NewSnapshot(list, view.ReadAt)
}

// refresh replaces the view that the caller has seen, by reading it from a peer or from the host
// list itself. Concurrent callers share one refresh.
func (p *Poller) refresh(ctx context.Context, seen *Snapshot) error {
	select {
	case p.refreshing <- struct{}{}:
		defer func() { <-p.refreshing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if now := p.Current(); now != seen && now.Age() <= p.interval {
		return nil
	}
	if p.sharing != nil && p.refreshFromPeers(ctx, seen) {
		return nil
	}
	return p.read(ctx)
}

func (p *Poller) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	start := time.Now()
	list, err := p.source.List(ctx)
	if err != nil {
		Reads.Inc(labelListFailed)
		events.HostListFailed.Log(p.logger, "error", err)
		return err
	}
	Reads.Inc(labelList)
	p.adopt(list, digestOf(list), start)
	return nil
}

// adopt makes a list the current view, unless the current view is newer.
func (p *Poller) adopt(list []Host, digest uint64, readAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !readAt.After(p.Current().ReadAt) {
		return
	}
	p.dropMarks(list)
	p.store(list, digest, readAt)
}

// dropMarks deletes leaving marks older than markRetention, and marks older than markSettle of
// hosts that are missing from the list.
func (p *Poller) dropMarks(list []Host) {
	listed := map[string]bool{}
	for _, h := range list {
		listed[h.ID] = true
	}
	for id, at := range p.marks {
		if age := time.Since(at); age > markRetention || (!listed[id] && age > markSettle) {
			delete(p.marks, id)
		}
	}
}

// markedWithin reports whether a host was marked as leaving within the last d.
func (p *Poller) markedWithin(id string, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.marks[id]
	return ok && time.Since(at) < d
}

// store makes a list the current view, with every marked host shown as leaving.
func (p *Poller) store(list []Host, digest uint64, readAt time.Time) {
	marked := make([]Host, len(list))
	for i, h := range list {
		if _, ok := p.marks[h.ID]; ok {
			h.State = StateLeaving
		}
		marked[i] = h
	}
	s := NewSnapshot(marked, readAt)
	s.digest = digest
	p.current.Store(s)
}

// mark records that a host is leaving, even if the list shows it as live.
func (p *Poller) mark(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.marks[id]; !known {
		events.UpstreamLeaving.Log(p.logger, "upstream", id)
	}
	p.marks[id] = time.Now()
	now := p.Current()
	p.store(now.Hosts, now.digest, now.ReadAt)
}

// digestOf returns a hash of a list, by which two hosts detect whether their lists are equal.
func digestOf(list []Host) uint64 {
	data, err := cbor.Marshal(list)
	if err != nil {
		panic("hosts: encoding of the host list failed: " + err.Error())
	}
	return xxhash.Sum64(data)
}
