package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

const (
	// restoreBound is the time within which all hosts must know what the restored service has, and what is then
	// written there.
	restoreBound = 2 * time.Second
	// startBound is the time within which a host that starts must have a copy.
	startBound = 500 * time.Millisecond
)

// valueOf returns the number that an entry's value contains; 0 if there is none.
func valueOf(e kv.Entry) int {
	n, err := strconv.Atoi(string(e.Value))
	if err != nil {
		return 0
	}
	return n
}

func retainGreater(held, next kv.Entry) bool { return valueOf(held) > valueOf(next) }

// restoration plays a service that comes back from an older copy.
type restoration struct {
	*fleet
	mu     sync.Mutex
	values map[*Replica]int // newest value of each process
}

// write writes the next value, whatever the key's version is.
func (p *restoration) write(value string) {
	entry, err := p.store.Get(context.Background(), configKey)
	if err != nil && kv.ReasonOf(err) != kv.ReasonNotFound {
		p.t.Error(err)
	}
	if _, err := p.store.CompareAndSwap(context.Background(), kv.Write{Key: configKey, Value: []byte(value), Expect: entry.Version}); err != nil {
		p.t.Error(err)
	}
}

// installed checks that no process goes back to an older value.
func (p *restoration) installed(h *fleetHost, v *View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, value := h.replica.Load(), valueOf(v.Entries[configKey])
	if value < p.values[r] {
		p.t.Errorf("%s goes back from value %d to %d", h, p.values[r], value)
	}
	p.values[r] = value
}

// check checks that all hosts which have a connection to the service have at least a value, and are in an era.
func (p *restoration) check(moment string, value int, era kv.Era) {
	late := 0
	for _, h := range p.hosts {
		view := h.replica.Load().Current()
		if time.Now().UnixNano() < h.cutOff.Load()+int64(restoreBound) {
			continue
		}
		if view == nil || valueOf(view.Entries[configKey]) < value || view.Revision.Era() < era {
			if late++; late < 4 {
				p.t.Errorf("%s: %s has not the value %d of era %d", moment, h, value, era)
			}
		}
	}
	if late > 0 {
		p.t.Errorf("%s: %d of %d hosts are late", moment, late, len(p.hosts))
	}
}

// restart restarts the processes of two readers of the service, and of one in a number of the other hosts.
func (p *restoration) restart(oneIn int) {
	readers := 0
	for i, h := range p.hosts {
		isReader := (fleetPeers{host: h}).Depth() == 0
		if isReader {
			readers++
		}
		if isReader && readers < readerCount || !isReader && i%oneIn == 0 {
			h.stop()
			h.start()
		}
	}
}

func playRestoration(t *testing.T, seed uint64, hosts int) {
	p := &restoration{values: map[*Replica]int{}}
	p.fleet = &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), delays: rand.New(rand.NewPCG(seed, 1)),
		network: innermem.New(seed), store: kvmem.New(), left: map[string]bool{},
	}
	p.copied = fleetCopy{
		prefix: "op/", watchTimeout: watchTimeout, retain: retainGreater, installed: p.installed,
		store: func(h *fleetHost) kv.Store { return cutStore{p.store, h} },
	}
	p.write("1")
	p.startHosts(hosts)
	p.write("2")
	copied := p.store.Copy()
	for range 1 + p.random.IntN(6) { // the revisions after the copy are given out again
		if _, err := p.store.CompareAndSwap(t.Context(), kv.Write{Key: fmt.Sprintf("op/other/%d", p.random.Uint64())}); err != nil {
			t.Error(err)
		}
	}
	p.write("3")
	time.Sleep(restoreBound)
	p.check("before the outage", 3, 0)
	for _, h := range p.hosts { // the watches of some hosts stay without an answer
		if p.random.IntN(10) == 0 {
			h.cutOff.Store(time.Now().Add(4 * time.Second).UnixNano())
		}
	}
	p.store.SetFaults(kvmem.Faults{Outage: true})
	time.Sleep(time.Duration(p.random.Int64N(int64(restoreBound))))
	p.store.Restore(copied)
	p.store.SetFaults(kvmem.Faults{})
	time.Sleep(startBound)
	p.restart(9)
	time.Sleep(restoreBound - startBound)
	p.check("after the return", 3, 1)
	p.restart(7)
	time.Sleep(startBound)
	p.check("after starts before the value is written again", 3, 1)
	p.write("3")
	p.write("4")
	time.Sleep(restoreBound)
	p.check("after the value has been written again", 4, 1)
	p.stopHosts()
}

// TestRestoredServiceReachesHosts guards against copies that stand still after the key-value service has come back
// from an older copy, because its revisions are below those that hosts know, and against hosts that go back to a
// value from before or that start with one, although others still have the newer value.
func TestRestoredServiceReachesHosts(t *testing.T) {
	for seed := range *fleetSeeds {
		for _, hosts := range []int{4, 40, 300} {
			t.Run(fmt.Sprintf("seed=%d,hosts=%d", seed, hosts), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playRestoration(t, seed, hosts) })
			})
		}
	}
}

// TestPeerOfAnOlderEraConfirmsNothing guards against a host that follows a peer which has not noticed that the
// key-value service came back from an older copy, and takes the peer's confirmation for one of its own copy.
func TestPeerOfAnOlderEraConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lists := 0
		store := &scriptedStore{list: func() ([]kv.Entry, kv.Version, error) {
			lists++
			return []kv.Entry{entry("p/a", kv.VersionOf(1, 3))}, kv.VersionOf(1, 3), nil
		}}
		peers := &fakePeers{newer: func(_ kv.Version, wait time.Duration) (*Change, error) {
			time.Sleep(wait)
			return &Change{Revision: 50, HeldMS: wait.Milliseconds()}, nil
		}}
		r := New(store, "p/", watchTimeout, peers, hclog.NewNullLogger())
		r.install(copied{entries: map[string]kv.Entry{}, revision: kv.VersionOf(1, 2), readAt: time.Now(), complete: kv.VersionOf(1, 2), source: labelPeer})
		defer runReplica(t, r)()
		time.Sleep(2 * watchTimeout)
		if view := r.Current(); view.Revision != kv.VersionOf(1, 3) || lists == 0 {
			t.Errorf("the host has revision %d of era %d after %d lists, want that of the service", view.Revision.Revision(), view.Revision.Era(), lists)
		}
	})
}

// TestRestoreEndsAnOutage guards against records that count as deleted because the key-value service came back
// without them after a failure that was too short for an outage: their writers write them again.
func TestRestoreEndsAnOutage(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		name    string
		change  *Change // nil if the host lists
		wantAgo time.Duration
	}{
		{"list", nil, 0},
		{"peer that noticed it 700 ms ago", &Change{Revision: kv.VersionOf(1, 2), OutageAgoMS: 700, OutageForMS: 300}, 700 * time.Millisecond},
		{"peer that started since", &Change{Revision: kv.VersionOf(1, 2)}, 0},
	} {
		r := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
		r.install(copied{entries: map[string]kv.Entry{"p/a": entry("p/a", 3)}, revision: 5, readAt: now.Add(-time.Second), complete: 5, source: labelList})
		if row.change == nil {
			r.install(copied{entries: map[string]kv.Entry{}, revision: kv.VersionOf(1, 2), readAt: now, complete: kv.VersionOf(1, 2), source: labelList})
		} else {
			r.apply(row.change, now)
		}
		view := r.Current()
		if ago := now.Sub(view.OutageEnded); ago < row.wantAgo-clockMargin || ago > row.wantAgo+clockMargin {
			t.Errorf("%s: the outage ended %v ago, want %v", row.name, ago, row.wantAgo)
		}
		if at := view.since(5, now); at.OutageAgoMS == 0 {
			t.Errorf("%s: peers do not learn of the outage", row.name)
		}
	}
}
