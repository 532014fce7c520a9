package cardamompier

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/directory"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/forward"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/platform"
	"github.com/cardamompier/cardamompier/prefixes"
	"github.com/cardamompier/cardamompier/presence"
	"github.com/cardamompier/cardamompier/quota"
	"github.com/cardamompier/cardamompier/replica"
	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routes"
	"github.com/cardamompier/cardamompier/settings"
	"github.com/cardamompier/cardamompier/usage"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// watchPart of the time in which a change must be in force bounds one watch
	// of the routes or the upstreams: one that went silent is noticed within it.
	watchPart = 0.6
	// membersWait bounds one watch of the entry hosts, which may lag more.
	membersWait = 3500 * time.Millisecond
	// membersDelay is the longest that a host which starts waits for the list of
	// the others, looking each membersCheck: some round trips of the store.
	membersDelay = 300 * time.Millisecond
	membersCheck = 10 * time.Millisecond
	// probeInterval is how often a store that does not answer is tried.
	probeInterval = 500 * time.Millisecond
	// listInterval is how often hosts that may have vanished are looked at again.
	listInterval = 250 * time.Millisecond
	// storeBurst is how many calls on the store a host may make at once.
	storeBurst = 60
	// memoryShare of a process's memory is the collector's soft limit.
	memoryShare = 0.7
	// headerTimeout bounds how long a caller takes to send its headers.
	headerTimeout = 5 * time.Second
	// callerHeadBytes bounds a request's headers: the longest part, the list of
	// a prompt's parts, takes under 2 KiB.
	callerHeadBytes = 64 << 10
	// callerIdle is longer than any caller keeps an idle connection, so that
	// it is the caller who closes it.
	callerIdle = 90 * time.Second
	// drainQuiet is how long no request must have come before a stopping host ends.
	drainQuiet = 1500 * time.Millisecond
	// drainFreely is how long after a stop every request is taken: callers
	// keep an address that long.
	drainFreely = 2500 * time.Millisecond
	// drainEnd is how long before the end of the grace the host ends whatever
	// is still running.
	drainEnd = 400 * time.Millisecond
	// lastRequests is left of that to requests that came at the last moment.
	lastRequests = 250 * time.Millisecond
)

// ForwardServer is one entry host that forwards requests by the platform's
// route table. Use NewForwardServer.
type ForwardServer struct {
	settings settings.Forwarding
	logger   hclog.Logger

	store     kv.Store
	clock     *clock.Clock
	table     atomic.Pointer[routes.Table]
	upstreams atomic.Pointer[hosts.Snapshot]

	routes, runners, members *replica.Replica
	presence                 *presence.Presence
	forwarder                *forward.Forwarder
	limits                   *quota.Owners
	counter                  *usage.Counter
	sharer                   *loadshare.Sharer
	peers                    *inner.Client
	innerServer              *inner.Server

	place atomic.Pointer[placed]

	mu      sync.Mutex // orders readings of the upstreams
	listing hosts.Listing
	reading hosts.Reading
	decoded map[string]decodedHost // by key; used by readUpstreams alone

	stopping  atomic.Bool
	lastCall  atomic.Int64 // unix ns of the newest request
	listeners []served
}

// placed is this host's place among the hosts of a view.
type placed struct {
	view    *membership.View
	depth   int
	sources []string
}

// served is a listener with its server.
type served struct {
	server   *http.Server
	listener net.Listener
}

// NewForwardServer provisions a server and opens its listeners. It returns
// *settings.Error or *ListenError.
func NewForwardServer(s settings.Forwarding, logger hclog.Logger) (*ForwardServer, error) {
	if err := s.Validate("given"); err != nil {
		return nil, err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryShare))
	}
	f := &ForwardServer{
		settings: s, logger: logger, clock: clock.New(), peers: inner.NewClient(), innerServer: inner.NewServer(),
		store: kv.NewClient(platform.NewStore(s.Store), kv.Options{CallsPerSecond: s.StoreCalls / 4, Burst: storeBurst, ProbeInterval: probeInterval}),
	}
	f.innerServer.LogTo(logger.Named("inner"))
	peers := &replica.InnerPeers{Client: f.peers, Sources: f.sources}
	f.routes = replica.New(f.store, platform.ConfigPrefix, milliseconds(watchPart*s.RoutesMS), peers, logger.Named("routes"))
	f.runners = replica.New(f.store, platform.RunnersPrefix, milliseconds(watchPart*s.LeavingMS), peers, logger.Named("upstreams"))
	f.members = replica.New(f.store, presence.Prefix, membersWait, peers, logger.Named("members"))
	replica.Serve(f.innerServer, f.routes, f.runners, f.members)
	f.presence = presence.New(f.store, f.self(), f.members, logger.Named("presence"))
	f.counter = usage.NewCounter(s.HostID, seconds(s.UsageWindowSeconds), f.clock.Now, f.peers, f.innerServer, f.hosts)
	f.limits = quota.NewOwners(s.HostID, f.peers, f.innerServer, f.hosts, f.hostCount, f.presence.Valid)
	f.forwarder = forward.New(forward.Parts{
		Domain: s.FailureDomain, Codec: platform.Headers{}, Table: f.table.Load, Upstreams: f.upstreams.Load,
		Limits: f.limits, Prompts: prefixes.New(s.HostID, f.peers, f.innerServer, f.hosts), Hosts: f.hostCount, Started: f.counter.Started, Tolerated: s.LimitExcess,
		Retries: retry.Bound{Ratio: s.RetryRatio, Slack: s.RetryBurst, Window: seconds(s.RetryWindowSeconds)},
		Logger:  logger.Named("forward"),
	})
	f.sharer = loadshare.New(s.HostID, f.peers, f.innerServer, f.hosts,
		f.forwarder.Loads, f.forwarder.SetOthers)
	f.routes.Subscribe(f.readTable)
	f.runners.Subscribe(f.readUpstreams)
	return f, f.listen()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (f *ForwardServer) self() membership.Member {
	return membership.Member{
		ID: f.settings.HostID, Address: f.settings.Listen, InnerAddress: f.settings.InnerListen,
		FailureDomain: f.settings.FailureDomain, Region: f.settings.Region,
		Capacity: min(f.settings.Cores/commonCores, f.settings.LinkMbps/commonLink),
	}
}

// commonCores and commonLink, in Mbit/s, are those of a host of capacity 1.
const commonCores, commonLink = 0.4, 100

// hosts returns the entry hosts as far as they are known.
func (f *ForwardServer) hosts() *membership.View { return &f.presence.View().View }

// hostCount is the largest number of entry hosts in the last spans of the limits.
func (f *ForwardServer) hostCount() int { return f.presence.View().Recent }

// sources returns this host's depth in the tree on which changes of the store
// spread, and the inner addresses of the hosts whose copies it follows; the seeds
// while no others are known.
func (f *ForwardServer) sources() (depth int, addresses []string) {
	view := f.hosts()
	at := f.place.Load()
	if at == nil || at.view != view {
		place := replica.PlaceOf(f.settings.HostID, view)
		at = &placed{
			view: view, depth: place.Depth,
			sources: lo.Map(place.Sources, func(m membership.Member, _ int) string { return m.InnerAddress }),
		}
		if len(at.sources) == 0 {
			at.sources = lo.Without(f.settings.Seeds, f.settings.InnerListen)
		}
		if old := f.place.Swap(at); old == nil || old.depth != at.depth || !slices.Equal(old.sources, at.sources) {
			events.ReplicaPlace.Log(f.logger, "hosts", len(view.Members), "depth", at.depth, "sources", at.sources)
		}
	}
	return at.depth, at.sources
}

// listen opens the listeners.
func (f *ForwardServer) listen() error {
	edge := (&platform.Edge{Ready: f.ready, Addresses: f.addresses}).Handler()
	internal := http.NewServeMux()
	internal.Handle(inner.Path, f.innerServer)
	metrics := http.NewServeMux()
	metrics.Handle("/debug/vars", expvar.Handler())
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{f.settings.Listen, http.HandlerFunc(f.forward)},
		{f.settings.ReadyListen, edge},
		{f.settings.DirectoryListen, edge},
		{f.settings.InnerListen, internal},
		{f.settings.MetricsListen, metrics},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			f.close()
			return &ListenError{Address: l.address, Cause: err}
		}
		server := &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: callerHeadBytes,
			ErrorLog: f.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		}
		f.listeners = append(f.listeners, served{server: server, listener: listener})
	}
	return nil
}

// close ends the listeners and, after lastRequests at most, all connections.
func (f *ForwardServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), lastRequests)
	defer cancel()
	var ended sync.WaitGroup
	for _, s := range f.listeners {
		ended.Go(func() { s.end(ctx) })
	}
	ended.Wait()
}

// end takes no more connections and lets the requests finish that were accepted
// just before, until ctx ends.
func (s served) end(ctx context.Context) {
	_ = s.listener.Close()
	if s.server.Shutdown(ctx) != nil { // the time is over
		_ = s.server.Close()
	}
}

// forward serves one request of a caller.
func (f *ForwardServer) forward(w http.ResponseWriter, r *http.Request) {
	f.lastCall.Store(time.Now().UnixNano())
	f.forwarder.ServeHTTP(w, r)
}

func (f *ForwardServer) ready() bool { return !f.stopping.Load() && f.forwarder.Known() }

// addresses returns where a caller connects, among the hosts that take requests.
func (f *ForwardServer) addresses(caller directory.Caller) ([]string, time.Duration) {
	hosts := f.presence.View().Members
	if !f.ready() {
		hosts = lo.Reject(hosts, func(m membership.Member, _ int) bool { return m.ID == f.settings.HostID })
	}
	chosen := directory.Choose(hosts, caller)
	return lo.Map(chosen, func(m membership.Member, _ int) string { return m.Address }), seconds(f.settings.AddressSeconds)
}

// readTable puts a newer route table in force.
func (f *ForwardServer) readTable(view *replica.View) {
	entry, ok := view.Entries[platform.ConfigKey]
	if !ok {
		return
	}
	table, err := platform.DecodeTable(entry.Value)
	if err != nil {
		events.ForwardUnread.Log(f.logger, "revision", uint64(entry.Version), "error", err)
		return
	}
	if known := f.table.Load(); known != nil && table.Version <= known.Version {
		return
	}
	f.table.Store(table)
	events.ForwardTable.Log(f.logger, "table", table.Version, "revision", uint64(entry.Version))
}

// decodedHost is an upstream's record at a version of the store.
type decodedHost struct {
	version kv.Version
	host    hosts.Host
	err     error
}

// readUpstreams takes a new reading of the upstreams. Only records that changed
// are decoded.
func (f *ForwardServer) readUpstreams(view *replica.View) {
	list := make([]hosts.Host, 0, len(view.Entries))
	decoded := make(map[string]decodedHost, len(view.Entries))
	for key, entry := range view.Entries {
		d, known := f.decoded[key]
		if !known || d.version != entry.Version {
			d.version = entry.Version
			if d.host, d.err = platform.DecodeRunner(key, entry.Value); d.err != nil {
				events.ForwardHostBad.Log(f.logger, "revision", uint64(entry.Version), "error", d.err)
			}
		}
		decoded[key] = d
		if d.err == nil {
			list = append(list, d.host)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decoded = decoded
	f.reading = hosts.Reading{Hosts: list, ReadAt: view.ReadAt, OutageEnded: view.OutageEnded}
	f.list(time.Now())
	events.ForwardHosts.Log(f.logger, "upstreams", len(list), "revision", uint64(view.Revision))
}

// list installs the snapshot after the newest reading.
func (f *ForwardServer) list(now time.Time) { f.upstreams.Store(f.listing.Next(f.reading, now)) }

// relist drops hosts that were kept for a while after an outage.
func (f *ForwardServer) relist(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	provisional := false
	for {
		select {
		case now := <-ticker.C:
			f.mu.Lock()
			was := provisional
			provisional = f.reading.Provisional(now)
			if was || provisional {
				f.list(now)
			}
			f.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// Run serves until ctx ends, then drains within the grace of the settings.
func (f *ForwardServer) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var parts sync.WaitGroup
	for _, run := range []func(context.Context){
		f.afterMembers(f.routes.Run), f.afterMembers(f.runners.Run), f.members.Run, f.presence.Run, f.forwarder.Run, f.relist, f.counter.Run, f.sharer.Run, f.limits.Run,
	} {
		parts.Go(func() { run(background) })
	}
	duties, endDuties := context.WithCancel(background)
	defer endDuties()
	if f.settings.Duties != "" {
		run := f.duties()
		parts.Go(func() { run(duties) })
	}
	for _, s := range f.listeners {
		parts.Go(func() {
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				events.ListenerFailed.Log(f.logger, "address", s.listener.Addr().String(), "error", err)
			}
		})
	}
	events.ProcessStarted.Log(f.logger, "host", f.settings.HostID, "listen", f.settings.Listen, "metrics", f.settings.MetricsListen)
	<-ctx.Done()
	stopped := time.Now()
	f.stopping.Store(true)
	end := stopped.Add(seconds(f.settings.GraceSeconds) - drainEnd)
	f.forwarder.Drain(stopped.Add(drainFreely), end)
	f.presence.Leave()
	endDuties()
	events.ProcessDraining.Log(f.logger, "host", f.settings.HostID, "active", f.forwarder.Active())
	f.drain(stopped, end)
	f.close()
	stop()
	parts.Wait()
	f.peers.Close()
	f.innerServer.Close()
	events.ProcessStopped.Log(f.logger, "host", f.settings.HostID, "active", f.forwarder.Active())
	return nil
}

// afterMembers returns a part that starts once the other entry hosts are known,
// or after a while without: hosts that start copy from them what they can.
func (f *ForwardServer) afterMembers(run func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		for began := time.Now(); f.members.Current() == nil && time.Since(began) < membersDelay; {
			if !wait.For(ctx, membersCheck) {
				return
			}
		}
		run(ctx)
	}
}

// drain answers callers that still have this host's address until they have
// gone, and at most until the end of the grace.
func (f *ForwardServer) drain(stopped, end time.Time) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		quiet := now.Sub(time.Unix(0, max(f.lastCall.Load(), stopped.UnixNano()))) > drainQuiet
		if now.After(end) || (quiet && f.forwarder.Active() == 0) {
			return
		}
	}
}
