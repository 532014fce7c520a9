package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

const (
	configDomains = 5
	// configHop is the delay between a follower's Set and its arrival at all followers.
	configHop     = 300 * time.Millisecond
	configLatency = 3 * time.Millisecond
	configSettle  = 2 * time.Second
	configPublish = time.Second
)

// configRun holds the options of the config experiment.
type configRun struct {
	span time.Duration
	seed uint64
}

func configExperiment() experiment {
	o := configRun{span: 10 * time.Second, seed: 1}
	parser := flaggy.NewSubcommand("config")
	parser.Description = "Calls on the key-value service and time to be in force, as followers and publishers grow"
	parser.Duration(&o.span, "", "span", "time measured for each row")
	parser.UInt64(&o.seed, "", "seed", "seed of the service's random choices")
	return experiment{parser: parser, run: func() int {
		measureFollowers(o)
		measurePublishers(o)
		measureSize()
		return 0
	}}
}

// measureFollowers prints one table row for each pair of a number of followers and a
// method by which followers learn of new revisions.
func measureFollowers(o configRun) {
	fmt.Printf("followers, one publish a second, peers reached after %s\n", configHop)
	fmt.Printf("%9s  %-22s  %14s  %18s  %14s\n", "followers", "way", "calls/s", "calls/s a follower", "in force max")
	for _, size := range []int{9, 40, 120, 340} {
		for _, way := range followWays {
			f := startFollowers(o, size, way)
			row := f.measure(o.span)
			f.stop()
			fmt.Printf("%9d  %-22s  %14.1f  %18.3f  %14s\n", size, way.name, row.calls, row.calls/float64(size), row.slowest.Round(time.Millisecond))
		}
	}
}

// followWay is a method by which followers learn of new configuration revisions.
type followWay struct {
	name string
	// watchEach is true if each follower watches the key-value service itself; otherwise a few
	// followers watch it and forward new revisions to the others.
	watchEach bool
	// hanging is the number of watchers whose watch calls are never answered.
	hanging int
}

var followWays = []followWay{
	{name: "a watch each", watchEach: true},
	{name: "three watchers"},
	{name: "three, one hangs", hanging: 1},
	{name: "three, all hang", hanging: 3},
}

// followers holds the running configuration followers behind one table row.
type followers struct {
	store   *kvmem.Store
	all     []*config.Follower
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func startFollowers(o configRun, size int, way followWay) *followers {
	f := &followers{store: kvmem.New()}
	f.store.SetFaults(kvmem.Faults{Latency: configLatency, Seed: o.seed})
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	members := make([]config.GroupMember, size)
	for i := range members {
		members[i] = config.GroupMember{ID: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprintf("d%d", i%configDomains)}
	}
	hanging := map[string]bool{}
	for _, id := range config.Watchers(members)[:way.hanging] {
		hanging[id] = true
	}
	mesh := &mesh{}
	for _, m := range members {
		var store kv.Store = f.store
		if hanging[m.ID] {
			store = hangingStore{Store: f.store}
		}
		follower := config.NewFollower(store, hclog.NewNullLogger())
		if !way.watchEach {
			follower.JoinGroup(mesh.join(), func() config.Group { return config.Group{Self: m.ID, Members: members} })
		}
		f.all = append(f.all, follower)
		f.running.Go(func() { follower.Run(ctx) })
	}
	return f
}

func (f *followers) stop() {
	f.cancel()
	f.running.Wait()
}

// followRow holds the measured values of one table row.
type followRow struct {
	calls   float64 // store calls per second, without the publisher's calls
	slowest time.Duration
}

// measure publishes one revision per second during span. It returns the followers' store
// calls per second and the longest time until a revision was in force on all followers.
func (f *followers) measure(span time.Duration) followRow {
	time.Sleep(configSettle)
	row, own := followRow{}, uint64(0)
	before, began := totalCalls(f.store), time.Now()
	for n := 0; time.Since(began) < span; n++ {
		next := time.Now().Add(configPublish)
		counted := &countingStore{Store: f.store}
		revision := publishModel(counted, "measured", fmt.Sprintf("m%d", n))
		own += counted.calls
		row.slowest = max(row.slowest, f.awaitAll(revision))
		time.Sleep(time.Until(next))
	}
	row.calls = float64(totalCalls(f.store)-before-own) / time.Since(began).Seconds()
	return row
}

func (f *followers) awaitAll(revision uint64) time.Duration {
	began := time.Now()
	for _, follower := range f.all {
		for follower.State().Revision < revision {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

func totalCalls(store *kvmem.Store) uint64 {
	total := uint64(0)
	for _, n := range store.Calls() {
		total += n
	}
	return total
}

// publishModel publishes one service and returns the new revision, or 0 if the publish
// fails.
func publishModel(store kv.Store, service, model string) uint64 {
	s := config.Service{Name: service, Kind: config.KindModel, Pool: "runners", Model: model, Idempotent: true}
	p := config.Publisher{Store: store, Writer: "experiment", Now: time.Now}
	change := config.Change{Files: config.Files{Services: map[string]config.Service{service: s}}}
	published, err := p.Publish(context.Background(), change)
	if err != nil {
		return 0
	}
	return published.Revision
}
