package quarantine_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/quarantine"
)

const poison quarantine.Key = 7

// fleet is a set of hosts that exchange crash evidence with their load digests.
type fleet struct {
	ctx      context.Context
	network  *innermem.Network
	store    *kvmem.Store
	view     atomic.Pointer[membership.View]
	trackers map[string]*quarantine.Tracker
	stops    map[string]context.CancelFunc
}

func newFleet(ctx context.Context, hosts int) *fleet {
	f := &fleet{
		ctx: ctx, network: innermem.New(1), store: kvmem.New(),
		trackers: map[string]*quarantine.Tracker{}, stops: map[string]context.CancelFunc{},
	}
	f.network.SetDelay(2 * time.Millisecond)
	f.view.Store(&membership.View{})
	for i := range hosts {
		f.start(fmt.Sprintf("front-%03d", i))
	}
	return f
}

// playFleet runs a test in a bubble of its own with a fleet, and stops the fleet.
func playFleet(t *testing.T, hosts int, play func(*testing.T, *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		play(t, newFleet(ctx, hosts))
		cancel()
		time.Sleep(time.Second) // until the messages under way are delivered
	})
}

// start starts a host without evidence.
func (f *fleet) start(id string) {
	members := append(slices.Clone(f.view.Load().Members), membership.Member{ID: id, InnerAddress: id})
	f.setMembers(slices.CompactFunc(members, func(a, b membership.Member) bool { return a.ID == b.ID }))
	server := inner.NewServer()
	tracker := quarantine.NewTracker(func(quarantine.Key) bool { return false }, func(string, quarantine.Set) {})
	sharer := loadshare.New(id, f.network.Client(id), server, f.view.Load, func() []loadshare.Load { return nil }, func([]loadshare.Load) {})
	sharer.Attach(tracker)
	persister := &quarantine.Persister{
		Tracker: tracker, Store: f.store, Logger: hclog.NewNullLogger(),
		Alone: func() bool { return len(f.view.Load().Members) < 2 },
	}
	f.network.Serve(id, server)
	ctx, stop := context.WithCancel(f.ctx)
	f.trackers[id], f.stops[id] = tracker, stop
	go sharer.Run(ctx)
	go persister.Run(ctx)
}

// stop kills a host. It stays in the view, as the record of a killed host does for a while.
func (f *fleet) stop(id string) {
	f.stops[id]()
	f.network.Serve(id, nil)
	delete(f.trackers, id)
}

// restartAll kills all hosts at once and starts them again.
func (f *fleet) restartAll() {
	members := f.view.Load().Members
	for _, m := range members {
		f.stop(m.ID)
	}
	for _, m := range members {
		f.start(m.ID)
	}
}

func (f *fleet) setMembers(members []membership.Member) {
	slices.SortFunc(members, func(a, b membership.Member) int { return strings.Compare(a.ID, b.ID) })
	f.view.Store(&membership.View{Members: members})
}

// collector returns the host that collects the evidence.
func (f *fleet) collector() string {
	for id, tracker := range f.trackers {
		if tracker.Collects(time.Now()) {
			return id
		}
	}
	return ""
}

// crash reports, at one host, a crash at the start of an answer to a request with the poison
// part.
func (f *fleet) crash(host string, upstream uint64) {
	f.trackers[host].Add(quarantine.Crash{Upstream: upstream, At: time.Now(), Begun: true, Keys: []quarantine.Key{quarantine.Key(1000 + upstream), poison}})
}

// passing returns the hosts that do not refuse requests with the poison part.
func (f *fleet) passing() []string {
	var out []string
	for id, tracker := range f.trackers {
		if _, refused := tracker.Refused([]quarantine.Key{1, poison}, time.Now()); !refused {
			out = append(out, id)
		}
	}
	return out
}

// inTouch is the time after which every host that is not impaired must refuse the content.
const inTouch = 3 * time.Second

// TestEachHostSeesOneCrash guards against evidence that stays where it was seen: crashes at two
// of many hosts must make all hosts refuse the content.
func TestEachHostSeesOneCrash(t *testing.T) {
	for _, hosts := range []int{2, 7, 66, 300} {
		playFleet(t, hosts, func(t *testing.T, f *fleet) {
			time.Sleep(time.Second)
			f.crash("front-000", 1)
			f.crash("front-001", 2)
			time.Sleep(inTouch)
			if passing := f.passing(); len(passing) > 0 {
				t.Errorf("%d hosts: %d let requests pass %v after the crashes", hosts, len(passing), inTouch)
			}
		})
	}
}

// TestEachHostLosesOneAttempt checks that attempts of one request that three of many hosts lost make all
// hosts refuse it, and that an answer at a fourth host between the losses prevents that.
func TestEachHostLosesOneAttempt(t *testing.T) {
	const request quarantine.Key = 500
	for _, hosts := range []int{4, 30, 300} {
		for _, answered := range []bool{false, true} {
			playFleet(t, hosts, func(t *testing.T, f *fleet) {
				time.Sleep(time.Second)
				for i := range uint64(3) {
					f.trackers[fmt.Sprintf("front-%03d", i)].AddLoss(quarantine.Crash{Upstream: i, At: time.Now(), Keys: []quarantine.Key{request}})
					time.Sleep(300 * time.Millisecond)
					if answered && i == 1 {
						f.trackers["front-003"].Answered([]quarantine.Key{request}, time.Now())
					}
				}
				time.Sleep(inTouch)
				refusing := 0
				for _, tracker := range f.trackers {
					if _, refused := tracker.Refused([]quarantine.Key{request, 9}, time.Now()); refused {
						refusing++
					}
				}
				if want := map[bool]int{false: hosts, true: 0}[answered]; refusing != want {
					t.Errorf("answered %v: %d of %d hosts refuse the request, want %d", answered, refusing, hosts, want)
				}
			})
		}
	}
}

// TestCollectorOfEvidenceIsLost kills the host that collects the evidence between two crashes. The
// first host that saw a crash still knows it, and a host that starts learns it.
func TestCollectorOfEvidenceIsLost(t *testing.T) {
	playFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(time.Second)
		lost := f.collector()
		reporters := []string{"front-000", "front-001", "front-002"}
		reporters = slices.DeleteFunc(reporters, func(id string) bool { return id == lost })
		f.crash(reporters[0], 1)
		time.Sleep(time.Second)
		f.stop(lost)
		f.crash(reporters[1], 2)
		time.Sleep(inTouch)
		f.start(lost)
		f.start("front-100")
		time.Sleep(inTouch)
		if passing := f.passing(); len(passing) > 0 {
			t.Errorf("hosts %v let requests pass", passing)
		}
	})
}

// TestQuarantineOutlivesAllHosts kills all hosts at once after the content was quarantined.
func TestQuarantineOutlivesAllHosts(t *testing.T) {
	playFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(time.Second)
		f.crash("front-000", 1)
		f.crash("front-001", 2)
		time.Sleep(inTouch)
		f.restartAll()
		time.Sleep(inTouch)
		if passing := f.passing(); len(passing) > 0 {
			t.Errorf("hosts %v let requests pass after the restart of all hosts", passing)
		}
	})
}

// TestEvidenceOutlivesAllHosts guards against crashes that are forgotten with the hosts: content crashes one upstream between
// two restarts of all hosts, and must be refused once as many requests have reached upstreams as the rule on crashing parts allows,
// five and three more.
func TestEvidenceOutlivesAllHosts(t *testing.T) {
	const allowed = 5 + 3
	playFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(time.Second)
		for i := range uint64(allowed) {
			f.crash("front-000", 1+i)
			time.Sleep(inTouch)
			f.restartAll()
			time.Sleep(inTouch)
		}
		if passing := f.passing(); len(passing) > 0 {
			t.Errorf("%d of 9 hosts let requests pass after %d crashes, one between two restarts", len(passing), allowed)
		}
	})
}

// TestLoadedQuarantineOutlivesACrash checks that one crash, of a request that was under way, does not
// lift a quarantine whose own evidence was lost with all hosts.
func TestLoadedQuarantineOutlivesACrash(t *testing.T) {
	playFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(time.Second)
		f.crash("front-000", 1)
		f.crash("front-001", 2)
		time.Sleep(inTouch)
		f.restartAll()
		time.Sleep(inTouch)
		f.crash("front-002", 3)
		time.Sleep(inTouch)
		if passing := f.passing(); len(passing) > 0 {
			t.Errorf("hosts %v let requests pass after one more crash", passing)
		}
	})
}

// TestHostCutOffFromAllOthersReadsTheStore cuts the links of one host to all other hosts before the
// crashes.
func TestHostCutOffFromAllOthersReadsTheStore(t *testing.T) {
	for _, isolatesCollector := range []bool{false, true} {
		playFleet(t, 9, func(t *testing.T, f *fleet) {
			time.Sleep(time.Second)
			collector := f.collector()
			isolated := collector
			for _, m := range f.view.Load().Members {
				if !isolatesCollector && m.ID != collector {
					isolated = m.ID
				}
			}
			var others []string
			for _, m := range f.view.Load().Members {
				if m.ID != isolated {
					f.network.Cut(m.ID, isolated, true)
					others = append(others, m.ID)
				}
			}
			time.Sleep(time.Second)
			f.crash(others[0], 1)
			f.crash(others[1], 2)
			time.Sleep(inTouch)
			if passing := f.passing(); len(passing) > 0 {
				t.Errorf("%s cut off: hosts %v let requests pass", isolated, passing)
			}
		})
	}
}

// TestLiftedQuarantineIsNotLoadedAgain checks that an answer to quarantined content lifts the
// quarantine at all hosts and in the key-value service.
func TestLiftedQuarantineIsNotLoadedAgain(t *testing.T) {
	playFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(time.Second)
		f.crash("front-000", 1)
		f.crash("front-001", 2)
		time.Sleep(inTouch)
		f.trackers["front-003"].Answered([]quarantine.Key{1, poison}, time.Now())
		time.Sleep(inTouch)
		if passing := f.passing(); len(passing) != 9 {
			t.Errorf("only hosts %v let requests pass after the answer", passing)
		}
		entries, _, err := f.store.List(f.ctx, quarantine.Prefix)
		if err != nil || len(entries) != 0 {
			t.Errorf("the store holds %d sets, error %v, want none", len(entries), err)
		}
	})
}
