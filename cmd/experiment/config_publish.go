package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

const (
	// publishesEach is how many publishes each operator makes in a row.
	publishesEach = 10
	// filesEach is how many items one publish holds in the per-item way.
	filesEach    = 5
	itemPrefix   = "experiment/item/"
	operatorName = "s%d-%d"
)

// publishRow is what was measured of racing publishers.
type publishRow struct {
	mu        sync.Mutex
	took      []time.Duration
	calls     uint64
	conflicts uint64
	failed    int
}

func (r *publishRow) add(counted *countingStore, took time.Duration, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls += counted.calls
	r.conflicts += counted.conflicts
	r.took = append(r.took, took)
	if !accepted {
		r.failed++
	}
}

// publishWay publishes one operator's nth change and says whether it got through.
type publishWay struct {
	name    string
	publish func(store kv.Store, operator, n int) bool
}

var publishWays = []publishWay{
	{name: "one value", publish: func(store kv.Store, operator, n int) bool {
		return publishModel(store, fmt.Sprintf(operatorName, operator, 0), fmt.Sprintf("m%d", n)) != 0
	}},
	{name: "a key an item, 1 item", publish: func(store kv.Store, operator, n int) bool {
		return publishItems(store, operator, n, 1)
	}},
	{name: "a key an item, 5 items", publish: func(store kv.Store, operator, n int) bool {
		return publishItems(store, operator, n, filesEach)
	}},
}

// measurePublishers prints a row for each number of operators that publish
// different services at the same time without a pause.
func measurePublishers(o configRun) {
	fmt.Printf("\noperators that publish different services back to back, service latency %s\n", configLatency)
	fmt.Printf("%9s  %-22s  %13s  %15s  %8s  %10s  %10s\n", "operators", "way", "calls/publish", "aborts/publish", "refused", "p50", "max")
	for _, operators := range []int{1, 2, 8, 32} {
		for _, way := range publishWays {
			store := kvmem.New()
			store.SetFaults(kvmem.Faults{Latency: configLatency, Seed: o.seed})
			row := race(store, operators, way)
			n := float64(len(row.took))
			fmt.Printf("%9d  %-22s  %13.2f  %15.2f  %8d  %10s  %10s\n", operators, way.name, float64(row.calls)/n,
				float64(row.conflicts)/n, row.failed, row.took[len(row.took)/2].Round(time.Millisecond), row.took[len(row.took)-1].Round(time.Millisecond))
		}
	}
}

func race(store kv.Store, operators int, way publishWay) *publishRow {
	row := &publishRow{}
	var racing sync.WaitGroup
	for operator := range operators {
		racing.Go(func() {
			for n := range publishesEach {
				counted, began := &countingStore{Store: store}, time.Now()
				accepted := way.publish(counted, operator, n)
				row.add(counted, time.Since(began), accepted)
			}
		})
	}
	racing.Wait()
	slices.Sort(row.took)
	return row
}

// publishItems writes each item of a publish under a key of its own, with the
// version that was read: the per-item way that is weighed against one value.
// Its items come in force one by one, and it keeps no history.
func publishItems(store kv.Store, operator, n, items int) bool {
	ctx := context.Background()
	for i := range items {
		key := itemPrefix + fmt.Sprintf(operatorName, operator, i)
		entry, err := store.Get(ctx, key)
		if reason := kv.ReasonOf(err); reason != "" && reason != kv.ReasonNotFound {
			return false
		}
		value := []byte(fmt.Sprintf(`{"model":"m%d"}`, n))
		if _, err := store.CompareAndSwap(ctx, kv.Write{Key: key, Value: value, Expect: entry.Version}); err != nil {
			return false
		}
	}
	return true
}
