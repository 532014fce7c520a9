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
	// publishesEach is the number of consecutive publishes by each operator.
	publishesEach = 10
	// filesEach is the number of items in one publish when each item has its own key.
	filesEach    = 5
	itemPrefix   = "experiment/item/"
	operatorName = "s%d-%d"
)

// publishRow holds the measured values of publishers that run concurrently.
type publishRow struct {
	mu        sync.Mutex
	durations []time.Duration
	calls     uint64
	conflicts uint64
	failed    int
}

func (r *publishRow) add(counted *countingStore, took time.Duration, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls += counted.calls
	r.conflicts += counted.conflicts
	r.durations = append(r.durations, took)
	if !accepted {
		r.failed++
	}
}

// publishWay is a method of publishing. Its publish function publishes the nth change of
// one operator and reports whether the change was accepted.
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

// measurePublishers prints one table row for each pair of a number of operators and a method
// of publishing. All operators publish different services concurrently, without a pause.
func measurePublishers(o configRun) {
	fmt.Printf("\noperators that publish different services back to back, service latency %s\n", configLatency)
	fmt.Printf("%9s  %-22s  %13s  %15s  %8s  %10s  %10s\n", "operators", "way", "calls/publish", "aborts/publish", "refused", "p50", "max")
	for _, operators := range []int{1, 2, 8, 32} {
		for _, way := range publishWays {
			store := kvmem.New()
			store.SetFaults(kvmem.Faults{Latency: configLatency, Seed: o.seed})
			row := race(store, operators, way)
			n := float64(len(row.durations))
			fmt.Printf("%9d  %-22s  %13.2f  %15.2f  %8d  %10s  %10s\n", operators, way.name, float64(row.calls)/n,
				float64(row.conflicts)/n, row.failed, row.durations[len(row.durations)/2].Round(time.Millisecond), row.durations[len(row.durations)-1].Round(time.Millisecond))
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
	slices.Sort(row.durations)
	return row
}

// publishItems writes each item of a publish under its own key, on condition that the key
// still has the version that was read. It is compared with publishing all items as one
// value. With publishItems, items come into force one by one and no history is stored.
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
