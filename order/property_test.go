package order

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamompier/cardamompier/kv/kvmem"
)

const (
	propertyHosts    = 3
	propertyKeys     = 6
	propertyRequests = 5 // for each key
	propertySteps    = 25
)

// TestPartitionedRunsAtMostOnce drives partition owners through lost answers,
// late writes, outages, pauses and changes of owner, and checks the histories.
func TestPartitionedRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		if fault := runInBubble(t, seed, "partitioned"); fault != "" {
			rt.Fatalf("seed %d: %s", seed, fault)
		}
	})
}

func TestDirectRunsAtMostOnce(t *testing.T) { checkSeeds(t, "direct") }

func TestSharedRunsAtMostOnce(t *testing.T) { checkSeeds(t, "shared") }

// otherSeeds is how many seeds the ledgers that are not wired in are run with.
const otherSeeds = 40

func checkSeeds(t *testing.T, mode string) {
	for seed := range uint64(otherSeeds) {
		if fault := runInBubble(t, seed, mode); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
	}
}

func runInBubble(t *testing.T, seed uint64, mode string) (fault string) {
	synctest.Test(t, func(*testing.T) { fault = runWorld(seed, mode) })
	return fault
}

// runWorld places orders during random faults, and checks the histories.
func runWorld(seed uint64, mode string) string {
	w := newWorld(seed, propertyHosts, mode)
	var requests sync.WaitGroup
	for request := range propertyKeys * propertyRequests {
		h := w.hosts[w.names[w.draw(propertyHosts)]]
		id := ID{Account: "a", Key: fmt.Sprintf("k%d", request%propertyKeys)}
		start := time.Duration(w.draw(20_000)) * time.Millisecond
		requests.Go(func() {
			time.Sleep(start)
			h.gate.wait()
			w.place(h, id, request)
		})
	}
	for range propertySteps {
		w.disturb()
		time.Sleep(time.Duration(w.draw(1600)) * time.Millisecond)
	}
	w.store.SetFaults(kvmem.Faults{})
	for _, h := range w.hosts {
		h.gate.resume()
		w.show(h, w.names)
	}
	requests.Wait()
	time.Sleep(time.Minute) // the outcomes that are tried again
	for n := range propertyKeys {
		w.place(w.hosts[w.names[0]], ID{Account: "a", Key: fmt.Sprintf("k%d", n)}, 1000+n)
	}
	time.Sleep(2 * tenureIdle) // until no host renews its tenure any more
	return w.check()
}

// disturb induces one random fault, or ends one.
func (w *world) disturb() {
	h := w.hosts[w.names[w.draw(len(w.names))]]
	share := func() float64 { return float64(w.draw(50)) / 100 }
	switch w.draw(9) {
	case 0, 1:
		h.gate.pause()
	case 2, 3:
		h.gate.resume()
	case 4:
		w.store.SetFaults(kvmem.Faults{Outage: true})
	case 5:
		w.store.SetFaults(kvmem.Faults{})
	case 6:
		w.store.SetFaults(kvmem.Faults{
			LoseAnswers: share(), DelayWrites: share(), StaleReads: share() / 2, Seed: uint64(w.draw(1000)),
			DelayBy: time.Duration(w.draw(6000)) * time.Millisecond, Latency: time.Duration(w.draw(20)) * time.Millisecond,
		})
	case 7:
		// Each host has a member list of its own for a time.
		from := w.draw(len(w.names))
		w.show(h, w.names[from:from+1+w.draw(len(w.names)-from)])
	case 8:
		w.mu.Lock()
		w.lossy = w.random.Float64() / 2
		w.mu.Unlock()
	}
}
