package workload

import (
	"strconv"
	"time"

	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routing"
)

const (
	refreshInterval = 100 * time.Millisecond // between two routing snapshots of an entry host
	// DigestInterval is the interval at which an entry host's load digest reaches the other
	// entry hosts.
	DigestInterval = 250 * time.Millisecond
	warmUp         = 60 * time.Second // requests that arrive earlier are not measured
	drain          = 10 * time.Minute // time for open requests to end after the last arrival
	// stragglerDuration is how long an engine stays slow before another engine becomes the
	// straggler.
	stragglerDuration = 15 * time.Second
	stragglerFactor   = 8                // multiplies the step duration of a straggler
	outageAt          = 90 * time.Second // time of the outage since the start of the run
	refreshesPerDecay = 1200             // snapshots between two decays of the prefix popularity
	cacheBlocks       = 320              // cache size of one engine, in prompt blocks
	shortPriority     = 10               // engine priority of a short request's stream
	movedPriority     = 5                // engine priority of a short request's stream that resumes
)

// Setup configures one run of a fleet.
type Setup struct {
	User     User
	Options  Options
	Policy   routing.Policy
	Hedge    bool // send a second attempt for short requests that wait long
	Move     bool // move stalled streams of short requests to another engine
	Priority bool // give short requests a higher priority in the engines
	// NoBudget disables the retry budgets, so that hedges, moves and retries are not limited.
	NoBudget bool
	// Stragglers is the number of engines that are slow at any one time.
	Stragglers int
	// Outage is the share of engines, 0 to 1, that crash in the middle of the run, at outageAt.
	Outage float64
	// OwnOnly makes each entry host ignore the load digests of the others.
	OwnOnly bool
}

// Fleet runs the routing and retry decisions of several entry hosts against fake engines.
type Fleet struct {
	setup   Setup
	clock   *Clock
	engines []*Engine
	entries []*entry
	digests [][]digest // load digests by entry host and engine
	result  *Result
	open    int // requests that have not ended
}

// digest is the load that one entry host reports to the others for one engine.
type digest struct {
	streams int
	slow    bool
}

// entry is the routing and retry state of one entry host.
type entry struct {
	lives      []*routing.UpstreamStats // live state by engine
	snapshot   *routing.Snapshot
	history    routing.History
	popularity routing.Popularity
	budgets    retry.Budgets
	sequence   uint64
	refreshes  int
}

// Run runs a fleet with the given setup and returns what it measured.
func Run(setup Setup) *Result {
	f := &Fleet{setup: setup, clock: &Clock{}, result: NewResult()}
	user := setup.User
	for range user.Engines {
		f.engines = append(f.engines, NewEngine(f.clock, cacheBlocks))
	}
	layout := routing.NewLayout(f.upstreams(nil))
	for i := range user.Entries {
		e := &entry{}
		for range user.Engines {
			e.lives = append(e.lives, &routing.UpstreamStats{})
		}
		f.entries = append(f.entries, e)
		f.digests = append(f.digests, make([]digest, user.Engines))
		f.every(refreshInterval, i, func() { f.refresh(e, i, layout) })
		f.every(DigestInterval, i, func() { f.publish(e, i) })
	}
	for i, e := range f.entries {
		f.refresh(e, i, layout)
	}
	f.scheduleFaults()
	arrivals := Generate(user, setup.Options)
	for i := range arrivals {
		f.clock.At(arrivals[i].At, func() { f.arrive(&arrivals[i]) })
	}
	f.clock.Run(setup.Options.Duration + drain)
	f.result.SingleCache = SingleCache(arrivals, cacheBlocks*user.Engines)
	return f.result
}

// every calls run at each interval while arrivals or open requests remain. It offsets
// the entry hosts against each other, so that they do not all run at the same time.
func (f *Fleet) every(interval time.Duration, host int, run func()) {
	var tick func()
	tick = func() {
		run()
		if f.clock.Now() < f.setup.Options.Duration || f.open > 0 {
			f.clock.After(interval, tick)
		}
	}
	f.clock.At(time.Duration(host)*interval/time.Duration(f.setup.User.Entries), tick)
}

// scheduleFaults schedules the stragglers and the outage.
func (f *Fleet) scheduleFaults() {
	n := len(f.engines)
	for k := range f.setup.Stragglers {
		for turn := 0; time.Duration(turn)*stragglerDuration < f.setup.Options.Duration; turn++ {
			// Stragglers are spaced evenly over the engines, so that no two are the same engine.
			e := f.engines[(turn*5+k*n/f.setup.Stragglers+int(f.setup.Options.Seed))%n]
			from := time.Duration(turn) * stragglerDuration
			f.clock.At(from, func() { e.Slow = stragglerFactor })
			f.clock.At(from+stragglerDuration, func() { e.Slow = 1 })
		}
	}
	for i := range int(f.setup.Outage * float64(n)) {
		f.clock.At(outageAt, f.engines[i*n/int(f.setup.Outage*float64(n))].Crash)
	}
}

// upstreams lists the engines as upstreams. The upstreams have no live state if e is nil.
func (f *Fleet) upstreams(e *entry) []routing.Upstream {
	out := make([]routing.Upstream, f.setup.User.Engines)
	for i := range out {
		out[i].ID = "engine-" + strconv.Itoa(i)
		out[i].FailureDomain = "domain-" + strconv.Itoa(i%f.setup.User.Domains)
		if e != nil {
			out[i].Live = e.lives[i]
		}
	}
	return out
}

// refresh builds a new routing snapshot for an entry host from its own state and the
// load digests of the other entry hosts.
func (f *Fleet) refresh(e *entry, ownIndex int, layout *routing.Layout) {
	upstreams := f.upstreams(e)
	for host, digests := range f.digests {
		if host == ownIndex || f.setup.OwnOnly {
			continue
		}
		for i, d := range digests {
			upstreams[i].OthersInFlight += d.streams
			upstreams[i].OthersSlow = upstreams[i].OthersSlow || d.slow
			upstreams[i].ProbedByOther = upstreams[i].ProbedByOther || d.slow && host < ownIndex
		}
	}
	e.snapshot = routing.NewSnapshot(upstreams, layout, e.history.LongShare())
	e.snapshot.Hot = e.popularity.Hot(len(upstreams))
	if e.refreshes++; e.refreshes%refreshesPerDecay == 0 {
		e.popularity.Decay()
	}
}

// publish replaces the load digests that an entry host shares with the others.
func (f *Fleet) publish(e *entry, ownIndex int) {
	now := f.clock.Time()
	for i, live := range e.lives {
		f.digests[ownIndex][i] = digest{streams: live.InFlight(), slow: live.Marked(now)}
	}
}
