package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/workload"
)

const (
	overloadSeconds  = 120
	overloadMeasured = 60 // seconds after the warm-up
	overloadDeadline = 20 * time.Second
	overloadPlaces   = 24 // streams at an engine
	// overloadBase is the multiple of the users' rates that fills the engines.
	overloadBase = 1.3
)

func overloadExperiment() experiment {
	seeds := 2
	parser := flaggy.NewSubcommand("overload")
	parser.Description = "Short answers within 20 s at 1 to 4 times the capacity. Example: experiment overload --seeds 3"
	parser.Int(&seeds, "", "seeds", "Number of seeds, from 1 on")
	return experiment{parser, func() int { return runOverload(seeds) }}
}

func runOverload(seeds int) int {
	t := newTable("user", "bounded", "capacity x", "good/s", "not admitted", "first p99", "whole p99")
	for _, user := range []workload.User{workload.Ubumwe(), workload.Lanka()} {
		for _, places := range []int{overloadPlaces, 0} {
			for _, load := range []float64{1, 2, 3, 4} {
				r := overload(user, places, load, seeds)
				good := float64(r.Short.Whole.TotalCount()) / overloadMeasured / float64(seeds)
				t.add(user.Name, fmt.Sprint(places > 0), fmt.Sprint(load), fmt.Sprintf("%.1f", good),
					fmt.Sprint(r.NotAdmitted), millis(r.Short.First, 99), millis(r.Short.Whole, 99))
			}
		}
	}
	t.print(os.Stdout)
	return 0
}

func overload(user workload.User, places int, load float64, seeds int) *workload.Result {
	results := make([]*workload.Result, seeds)
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for seed := range results {
		group.Go(func() error {
			results[seed] = workload.Run(workload.Setup{
				User: user, Policy: routing.Adaptive{}, Hedge: true, Move: true, Priority: true,
				Places: places, Deadline: overloadDeadline,
				Options: workload.Options{
					Seed: uint64(seed + 1), Duration: overloadSeconds * time.Second, Load: load * overloadBase,
				},
			})
			return nil
		})
	}
	_ = group.Wait()
	out := workload.NewResult()
	for _, r := range results {
		out.Merge(r)
	}
	return out
}
