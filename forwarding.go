package cardamompier

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/callerconn"
	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/directory"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/forward"
	"github.com/cardamompier/cardamompier/guard"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/platform"
	"github.com/cardamompier/cardamompier/prefixes"
	"github.com/cardamompier/cardamompier/presence"
	"github.com/cardamompier/cardamompier/quarantine"
	"github.com/cardamompier/cardamompier/quota"
	"github.com/cardamompier/cardamompier/replica"
	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routes"
	"github.com/cardamompier/cardamompier/settings"
	"github.com/cardamompier/cardamompier/usage"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// watchShare is the fraction of the time limit for applying a change that one watch of
	// the routes or the upstreams may last, so that a silent watch is detected in time.
	watchShare = 0.4
	// membersWatchTimeout is the timeout of one watch of the entry hosts. Their list may be
	// out of date for longer than the routes and the upstreams.
	membersWatchTimeout = 2300 * time.Millisecond
	// maxMembersDelay bounds how long a starting host waits for the list of the other entry
	// hosts; it allows several round trips to the store.
	maxMembersDelay = 300 * time.Millisecond
	// membersCheckInterval is the interval at which a starting host checks whether the list
	// of entry hosts has been read.
	membersCheckInterval = 10 * time.Millisecond
	// probeInterval is the interval between calls to a store that does not answer.
	probeInterval = 500 * time.Millisecond
	// recheckInterval is the interval at which the upstream list is checked for expired
	// entries, and a draining host for remaining requests.
	recheckInterval = 250 * time.Millisecond
	// storeBurst is the number of calls that a host may make to the store at once.
	storeBurst = 60
	// memoryLimitShare is the fraction of the process's memory that is the garbage
	// collector's soft limit.
	memoryLimitShare = 0.7
	// headerTimeout is the time within which a caller must send its request headers.
	headerTimeout = 5 * time.Second
	// maxCallerHeaderBytes bounds the size of request headers. The longest header, which lists
	// the parts of a prompt, is under 2 KiB.
	maxCallerHeaderBytes = 64 << 10
	// callerIdleTimeout is longer than any caller holds an idle connection open, so that the
	// caller closes the connection and not the host.
	callerIdleTimeout = 90 * time.Second
	// drainQuietSpan is the time without a new request after which a stopping host may exit.
	drainQuietSpan = 1500 * time.Millisecond
	// drainAcceptSpan is the time after a stop signal in which the host still accepts every
	// request, because callers cache its address that long.
	drainAcceptSpan = 2500 * time.Millisecond
	// drainAcceptShare bounds drainAcceptSpan as a share of the time until the host stops, so that requests
	// that are accepted have some time to run.
	drainAcceptShare = 0.7
	// drainMargin is how long before the end of the grace period a draining host shuts down
	// its listeners, even if requests are still running.
	drainMargin = 400 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process exits, even if calls to the store
	// have not ended.
	exitMargin = 50 * time.Millisecond
	// shutdownTimeout bounds the shutdown of the listeners, in which requests accepted at the
	// last moment can finish. It ends within drainMargin.
	shutdownTimeout = 250 * time.Millisecond
	// answerMargin is how long before the end of shutdownTimeout requests without an answer are ended, so
	// that their callers get one.
	answerMargin = 100 * time.Millisecond
)

// ForwardServer is an entry host that forwards requests by the platform's route table.
// Create it with NewForwardServer.
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
	pacer                    *quota.Pacer
	counter                  *usage.Counter
	sharer                   *loadshare.Sharer
	crashes                  *quarantine.Tracker
	persister                *quarantine.Persister
	rollouts                 *rollouts // nil if the deployment has no roll-outs
	peers                    *inner.Client
	innerServer              *inner.Server

	place atomic.Pointer[treePlace]

	mu      sync.Mutex // serializes updates of the upstream list
	listing hosts.Listing
	reading hosts.Reading
	decoded map[string]decodedUpstream // by store key; used only by applyUpstreams
	removed removedUpstreams           // used only by applyUpstreams

	guard       *callerconn.Guard
	stopping    atomic.Bool
	lastRequest atomic.Int64 // arrival of the newest request, in Unix nanoseconds
	listeners   []boundServer
}

// treePlace is this host's place in the tree on which store changes spread, computed for one
// membership view.
type treePlace struct {
	view    *membership.View
	depth   int
	sources []string
}

// boundServer is an HTTP server with its listener.
type boundServer struct {
	server   *http.Server
	listener net.Listener
}

// NewForwardServer creates a server and opens its listeners. Its error is a
// *settings.Error or a *ListenError.
func NewForwardServer(s settings.Forwarding, logger hclog.Logger) (*ForwardServer, error) {
	if err := s.Validate("given"); err != nil {
		return nil, err
	}
	limitMemory(s.MemoryMB)
	f := &ForwardServer{
		settings: s, logger: logger, clock: clock.New(), peers: inner.NewClient(), innerServer: inner.NewServer(),
		store: kv.NewClient(platform.NewStore(s.Store, logger.Named("store")), kv.Options{CallsPerSecond: s.StoreCalls / 4, Burst: storeBurst, ProbeInterval: probeInterval}),
	}
	f.innerServer.SetLogger(logger.Named("inner"))
	peers := &replica.InnerPeers{Client: f.peers, Sources: f.sources}
	f.routes = replica.New(f.store, platform.ConfigPrefix, milliseconds(watchShare*s.RoutesMS), peers, logger.Named("routes"))
	f.routes.Retain(platform.RetainTable)
	f.runners = replica.New(f.store, platform.RunnersPrefix, milliseconds(watchShare*s.LeavingMS), peers, logger.Named("upstreams"))
	f.members = replica.New(f.store, presence.Prefix, membersWatchTimeout, peers, logger.Named("members"))
	replica.Serve(f.innerServer, f.routes, f.runners, f.members)
	f.presence = presence.New(f.store, f.self(), f.members, clock.SinceBoot, logger.Named("presence"))
	f.counter = usage.NewCounter(s.HostID, seconds(s.UsageWindowSeconds), f.clock.Now, f.peers, f.innerServer, f.hosts)
	f.limits = quota.NewOwners(s.HostID, f.peers, f.innerServer, f.knownHosts, f.hostCount, f.presence.LeaseValid)
	f.limits.SetAccounts(f.limitedAccounts)
	f.pacer = quota.NewPacer(s.HostID, f.peers, f.innerServer, f.knownHosts)
	f.trackCrashes()
	f.rollouts = f.newRollouts()
	prompts := prefixes.New(s.HostID, f.peers, f.innerServer, f.hosts)
	config := forward.Config{
		Domain: s.FailureDomain, Codec: platform.Headers{}, Table: f.table.Load, Upstreams: f.upstreams.Load, ListConfirmed: f.listConfirmed,
		Limits: f.limits, Prompts: prompts, Hosts: f.presence.Sharers, OnStarted: f.counter.Started, LimitSlack: s.LimitExcess,
		Retries: retry.Bound{Ratio: s.RetryRatio, Slack: s.RetryBurst, Window: seconds(s.RetryWindowSeconds)}, Started: clock.SinceBoot(),
		Permits: f.pacer, Crashes: f.crashes, DemandWindow: demandWindowOf(s), Balance: balanceOf(s), Versions: f.rollouts.versions(),
		Logger: logger.Named("forward"),
	}
	if s.WeighCachedParts {
		weighCachedParts(&config, prompts)
	}
	f.forwarder = forward.New(config)
	f.sharer = loadshare.New(s.HostID, f.peers, f.innerServer, f.hosts,
		f.forwarder.LocalLoads, f.forwarder.SetPeerLoads)
	f.sharer.Attach(f.crashes)
	f.routes.Subscribe(f.applyTable)
	f.runners.Subscribe(f.applyUpstreams)
	return f, f.listen()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (f *ForwardServer) self() membership.Member {
	return membership.Member{
		ID: f.settings.HostID, Address: f.settings.Listen, InnerAddress: f.settings.InnerListen,
		FailureDomain: f.settings.FailureDomain, Region: f.settings.Region,
		Capacity: min(f.settings.Cores/referenceCores, f.settings.LinkMbps/referenceLinkMbps),
	}
}

// referenceCores and referenceLinkMbps (in Mbit/s) describe a host of capacity 1.
const referenceCores, referenceLinkMbps = 0.4, 100

// hosts returns the entry hosts that this host knows.
func (f *ForwardServer) hosts() *membership.View { return &f.presence.View().View }

// hostCount returns the largest number of entry hosts in the most recent spans of the rate
// limits, or 0 until their records were read.
func (f *ForwardServer) hostCount() int { return f.presence.View().Recent }

// sources returns this host's depth in the tree on which store changes spread, and the inner
// addresses of the hosts whose copies of the store it follows. While no other host is known,
// the addresses are those of the seeds.
func (f *ForwardServer) sources() (depth int, addresses []string) {
	view := f.hosts()
	place := f.place.Load()
	if place == nil || place.view != view {
		computed := replica.TreePositionOf(f.settings.HostID, view)
		place = &treePlace{
			view: view, depth: computed.Depth,
			sources: lo.Map(computed.Sources, func(m membership.Member, _ int) string { return m.InnerAddress }),
		}
		if len(place.sources) == 0 {
			place.sources = lo.Without(f.settings.Seeds, f.settings.InnerListen)
		}
		if old := f.place.Swap(place); old == nil || old.depth != place.depth || !slices.Equal(old.sources, place.sources) {
			events.ReplicaPlace.Log(f.logger, "hosts", len(view.Members), "depth", place.depth, "sources", place.sources)
		}
	}
	return place.depth, place.sources
}

// listen opens the listeners and creates their servers; Run starts the servers.
func (f *ForwardServer) listen() error {
	f.guard = newGuard(callerconn.Options{
		MemoryBytes: f.settings.CallerBytes(), Descriptors: f.settings.MaxDescriptors, Silence: seconds(f.settings.CallerSilenceSeconds),
		HeadBytes: f.headBytes, Logger: f.logger.Named("callers"),
	})
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
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeaderBytes,
			ErrorLog: f.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		}
		f.guard.Attach(server)
		guarded := f.guard.Callers(listener)
		if l.address == f.settings.InnerListen {
			guarded = f.guard.Peers(listener)
		}
		f.listeners = append(f.listeners, boundServer{server: server, listener: guarded})
	}
	return nil
}

// close closes the listeners and, after at most shutdownTimeout, all connections.
func (f *ForwardServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, s := range f.listeners {
		shutdowns.Go(func() { s.shutdown(ctx) })
	}
	shutdowns.Wait()
}

// shutdown closes the listener and lets accepted requests finish until ctx ends, then closes
// the connections that are left.
func (s boundServer) shutdown(ctx context.Context) {
	_ = s.listener.Close()
	if s.server.Shutdown(ctx) != nil { // ctx ended before all requests finished
		_ = s.server.Close()
	}
}

// forward serves one caller's request and records its time of arrival.
func (f *ForwardServer) forward(w http.ResponseWriter, r *http.Request) {
	f.lastRequest.Store(time.Now().UnixNano())
	f.forwarder.ServeHTTP(w, r)
}

func (f *ForwardServer) ready() bool {
	return !f.stopping.Load() && f.forwarder.Ready() && f.rollouts.settled()
}

// addresses returns the addresses of the entry hosts to which a caller should connect, and
// how long the caller may cache them. It leaves out this host while it is not ready.
func (f *ForwardServer) addresses(caller directory.Caller) ([]string, time.Duration) {
	hosts := f.presence.View().Members
	if !f.ready() {
		hosts = lo.Reject(hosts, func(m membership.Member, _ int) bool { return m.ID == f.settings.HostID })
	}
	chosen := directory.Choose(hosts, caller)
	return lo.Map(chosen, func(m membership.Member, _ int) string { return m.Address }), seconds(f.settings.AddressSeconds)
}

// applyTable decodes the stored route table and puts it in force if it is newer than the
// current one. It also takes over the orders of roll-outs.
func (f *ForwardServer) applyTable(view *replica.View) {
	defer f.rollouts.applyOrders(view, f.table.Load)
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

// Run serves until ctx ends, then drains within the grace period of the settings. It always
// returns nil.
func (f *ForwardServer) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var parts sync.WaitGroup
	for component, run := range map[string]func(context.Context){
		"routes": f.afterMembersRead(f.routes.Run), "upstreams": f.afterMembersRead(f.runners.Run), "members": f.members.Run,
		"presence": f.presence.Run, "forward": f.forwarder.Run, "upstream list": f.refreshUpstreams, "usage": f.counter.Run,
		"loadshare": f.sharer.Run, "limits": f.limits.Run, "callers": f.guard.Run, "pacer": f.pacer.Run, "quarantine": f.persister.Run, "rollouts": f.rollouts.run,
	} {
		parts.Go(func() { guard.Run(background, f.logger, component, run) })
	}
	duties, endDuties := context.WithCancel(background)
	defer endDuties()
	if f.settings.Duties != "" {
		run := f.duties()
		parts.Go(func() { guard.Run(duties, f.logger, "duties", run) })
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
	end := stopped.Add(seconds(f.settings.GraceSeconds) - drainMargin)
	acceptSpan := min(drainAcceptSpan, time.Duration(drainAcceptShare*float64(end.Sub(stopped))))
	f.forwarder.Drain(stopped.Add(acceptSpan), end, end.Add(shutdownTimeout-answerMargin))
	f.presence.Leave()
	endDuties()
	events.ProcessDraining.Log(f.logger, "host", f.settings.HostID, "active", f.forwarder.Active())
	f.drain(stopped, end)
	f.close()
	stop()
	ended := awaitAll(&parts, end.Add(drainMargin-exitMargin))
	f.peers.Close()
	f.innerServer.Close()
	events.ProcessStopped.Log(f.logger, "host", f.settings.HostID, "active", f.forwarder.Active(), "components_ended", ended)
	return nil
}

// afterMembersRead wraps run so that it starts when the entry hosts are known, or after
// maxMembersDelay. A starting host then copies from its peers what it can instead of reading
// the store.
func (f *ForwardServer) afterMembersRead(run func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		for began := time.Now(); f.members.Current() == nil && time.Since(began) < maxMembersDelay; {
			if !wait.For(ctx, membersCheckInterval) {
				return
			}
		}
		run(ctx)
	}
}
