package membership_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/cardamompier/cardamompier/gossip"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/membership"
)

// convergence bounds the time from the last fault to equal views: a suspicion
// that began last, tries of the dead, and their refutations.
const convergence = 2*membership.SuspicionTimeout + 20*membership.RevivalInterval

// host is one member of a test's fleet.
type host struct {
	id       string
	registry *membership.Registry
	table    *gossip.Table
	stop     context.CancelFunc
	ended    chan struct{}
}

// fleet is the members of one test.
type fleet struct {
	network *innermem.Network
	store   *kvmem.Store
	hosts   map[string]*host
	dead    map[string]bool
}

func newFleet(seed uint64, count int) *fleet {
	f := &fleet{network: innermem.New(seed), store: kvmem.New(), hosts: map[string]*host{}, dead: map[string]bool{}}
	f.network.SetDelay(5 * time.Millisecond)
	for i := range count {
		f.start(fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i%4))
	}
	return f
}

func (f *fleet) start(id, domain string, seeds ...string) {
	h := &host{id: id, table: gossip.NewTable(id), ended: make(chan struct{})}
	h.registry = membership.New(membership.Options{
		Self:  membership.Member{ID: id, Address: id, InnerAddress: id, FailureDomain: domain},
		Seeds: seeds, Store: f.store, Table: h.table, Transport: f.network.Client(id), Logger: hclog.NewNullLogger(),
	})
	h.registry.BeforeTick(func() { f.network.AwaitRunning(id) })
	server := inner.NewServer()
	h.registry.Register(server)
	f.network.Serve(id, server)
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.registry.Run(ctx); close(h.ended) }()
	f.hosts[id] = h
}

// kill ends a host without a word.
func (f *fleet) kill(id string) {
	f.network.Serve(id, nil)
	f.dead[id] = true
}

func (f *fleet) heal() {
	f.network.SetLoss(0)
	for a := range f.hosts {
		f.network.Resume(a)
		for b := range f.hosts {
			f.network.Cut(a, b, false)
		}
	}
}

func (f *fleet) close() {
	f.heal()
	for _, h := range f.hosts {
		h.stop()
	}
	for _, h := range f.hosts {
		<-h.ended
	}
	time.Sleep(time.Minute) // calls in flight end
}

// check returns how the views differ from the truth; empty when they agree.
func (f *fleet) check() string {
	for _, h := range f.hosts {
		if f.dead[h.id] {
			continue
		}
		view := h.registry.View()
		for _, other := range f.hosts {
			m, present := view.Member(other.id)
			if f.dead[other.id] && present {
				return fmt.Sprintf("%s holds the dead %s for %s", h.id, other.id, m.State)
			}
			if !f.dead[other.id] && (!present || m.State != membership.StateAlive) {
				known, _ := h.registry.Knows(other.id)
				return fmt.Sprintf("%s holds the live %s for %s", h.id, other.id, known.State)
			}
			if !f.dead[other.id] && m.Leaving != other.registry.Self().Leaving {
				return fmt.Sprintf("%s has an older record of the leaving %s", h.id, other.id)
			}
		}
	}
	return ""
}

// init sets how many runs the property test makes unless the command line says so.
func init() { _ = flag.Set("rapid.checks", "15") }

// TestViewsConvergeAfterFaults drives random faults and then heals: no live
// member stays declared dead, every dead one is noticed, and a leaving one is
// never seen as not leaving again.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		count := rapid.IntRange(3, 9).Draw(rt, "hosts")
		faults := rapid.SliceOfN(faultGenerator(count), 1, 12).Draw(rt, "faults")
		wrong := ""
		synctest.Test(t, func(*testing.T) { wrong = runFaults(seed, count, faults) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

func runFaults(seed uint64, count int, faults []fault) string {
	f := newFleet(seed, count)
	defer f.close()
	time.Sleep(10 * time.Second)
	if wrong := f.check(); wrong != "" {
		return "before the faults: " + wrong
	}
	undone := f.watchLeaving()
	for _, next := range faults {
		f.induce(next)
	}
	f.heal()
	time.Sleep(convergence)
	if wrong := undone(); wrong != "" {
		return wrong
	}
	if wrong := f.check(); wrong != "" {
		return "after the faults: " + wrong
	}
	return ""
}

// fault is one step of the property test.
type fault struct {
	kind, a, b string
	share      float64
	then       time.Duration
}

func faultGenerator(count int) *rapid.Generator[fault] {
	return rapid.Custom(func(rt *rapid.T) fault {
		id := func(label string) string {
			return fmt.Sprintf("n%d", rapid.IntRange(0, count-1).Draw(rt, label))
		}
		return fault{
			kind: rapid.SampledFrom([]string{"loss", "pause", "resume", "cut", "split", "heal", "kill", "leave"}).Draw(rt, "kind"),
			a:    id("a"), b: id("b"), share: rapid.Float64Range(0, 0.5).Draw(rt, "share"),
			then: time.Duration(rapid.IntRange(0, 30).Draw(rt, "seconds")) * time.Second,
		}
	})
}

// induce shows one fault and lets time pass.
func (f *fleet) induce(next fault) {
	switch next.kind {
	case "loss":
		f.network.SetLoss(next.share)
	case "pause":
		f.network.Pause(next.a)
	case "resume":
		f.network.Resume(next.a)
	case "cut":
		f.network.Cut(next.a, next.b, true)
	case "split":
		f.split()
	case "heal":
		f.heal()
	case "kill":
		if len(f.hosts)-len(f.dead) > 2 {
			f.kill(next.a)
		}
	case "leave":
		go f.hosts[next.a].registry.Leave(context.Background())
	}
	time.Sleep(next.then)
}

// split cuts the first half of the hosts from the others.
func (f *fleet) split() {
	for i := range len(f.hosts) / 2 {
		for j := len(f.hosts) / 2; j < len(f.hosts); j++ {
			f.network.Cut(fmt.Sprintf("n%d", i), fmt.Sprintf("n%d", j), true)
		}
	}
}

// watchLeaving notes when a host that was seen leaving is seen otherwise.
func (f *fleet) watchLeaving() func() string {
	wrong := make(chan string, 1)
	for _, h := range f.hosts {
		seen := map[string]bool{}
		h.table.SubscribePrefix("member/", func(gossip.Item) {
			for _, m := range h.registry.View().Members {
				if seen[m.ID] && !m.Leaving {
					select {
					case wrong <- "leaving was undone: view " + h.id + " of " + m.ID:
					default:
					}
				}
				seen[m.ID] = seen[m.ID] || m.Leaving
			}
		})
	}
	return func() string {
		select {
		case text := <-wrong:
			return text
		default:
			return ""
		}
	}
}
