package workload

import (
	"strconv"
	"time"

	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routing"
)

const (
	refreshInterval = 100 * time.Millisecond
	// DigestInterval is how often an entry host's load digest reaches the others.
	DigestInterval = 250 * time.Millisecond
	warmUp         = 60 * time.Second
	drain          = 10 * time.Minute
	// stragglerMoment is how long one straggler stays slow.
	stragglerMoment = 15 * time.Second
	stragglerFactor = 8
	outageAt        = 90 * time.Second
	refreshesADecay = 1200
	cacheBlocks     = 320 // of one engine
	shortPriority   = 10
	movedPriority   = 5
)

// Setup is one run.
type Setup struct {
	User     User
	Options  Options
	Policy   routing.Policy
	Hedge    bool
	Move     bool
	Priority bool
	// NoBudget lets hedges, moves and retries go without a budget.
	NoBudget bool
	// Stragglers is the number of engines that are slow at any time.
	Stragglers int
	// Outage is the share of engines that die in the middle of the run.
	Outage float64
	// OwnOnly leaves out the digests of other entry hosts.
	OwnOnly bool
}

// Fleet runs the decisions of some entry hosts over engine twins.
type Fleet struct {
	setup   Setup
	clock   *Clock
	engines []*Engine
	entries []*entry
	digests [][]digest // by entry, by engine
	result  *Result
	open    int // requests that have not ended
}

// digest is what one entry host tells the others of one engine.
type digest struct {
	streams int
	slow    bool
}

// entry is one entry host's state of decisions.
type entry struct {
	lives      []*routing.Live
	snapshot   *routing.Snapshot
	history    routing.History
	popularity routing.Popularity
	budgets    retry.Budgets
	sequence   uint64
	refreshes  int
}

// Run runs one setup to its end.
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
			e.lives = append(e.lives, &routing.Live{})
		}
		f.entries = append(f.entries, e)
		f.digests = append(f.digests, make([]digest, user.Engines))
		f.every(refreshInterval, i, func() { f.refresh(e, i, layout) })
		f.every(DigestInterval, i, func() { f.publish(e, i) })
	}
	for i, e := range f.entries {
		f.refresh(e, i, layout)
	}
	f.disturb()
	arrivals := Generate(user, setup.Options)
	for i := range arrivals {
		f.clock.At(arrivals[i].At, func() { f.arrive(&arrivals[i]) })
	}
	f.clock.Run(setup.Options.Duration + drain)
	f.result.SingleCache = SingleCache(arrivals, cacheBlocks*user.Engines)
	return f.result
}

// every runs an event at each interval, with the entry hosts out of step.
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

// disturb schedules the stragglers and the outage.
func (f *Fleet) disturb() {
	n := len(f.engines)
	for k := range f.setup.Stragglers {
		for turn := 0; time.Duration(turn)*stragglerMoment < f.setup.Options.Duration; turn++ {
			// Two stragglers are never the same engine: they keep a distance.
			e := f.engines[(turn*5+k*n/f.setup.Stragglers+int(f.setup.Options.Seed))%n]
			from := time.Duration(turn) * stragglerMoment
			f.clock.At(from, func() { e.Slow = stragglerFactor })
			f.clock.At(from+stragglerMoment, func() { e.Slow = 1 })
		}
	}
	for i := range int(f.setup.Outage * float64(n)) {
		f.clock.At(outageAt, f.engines[i*n/int(f.setup.Outage*float64(n))].Crash)
	}
}

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

// refresh gives an entry host a new snapshot.
func (f *Fleet) refresh(e *entry, self int, layout *routing.Layout) {
	list := f.upstreams(e)
	for host, digests := range f.digests {
		if host == self || f.setup.OwnOnly {
			continue
		}
		for i, d := range digests {
			list[i].Others += d.streams
			list[i].OthersSlow = list[i].OthersSlow || d.slow
			list[i].Probed = list[i].Probed || d.slow && host < self
		}
	}
	e.snapshot = routing.NewSnapshot(list, layout, e.history.LongShare())
	e.snapshot.Hot = e.popularity.Hot(len(list))
	if e.refreshes++; e.refreshes%refreshesADecay == 0 {
		e.popularity.Decay()
	}
}

func (f *Fleet) publish(e *entry, self int) {
	now := f.clock.Time()
	for i, live := range e.lives {
		f.digests[self][i] = digest{streams: live.InFlight(), slow: live.Marked(now)}
	}
}
