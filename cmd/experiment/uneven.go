package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/workload"
)

// unevenSeconds is the duration of one run on uneven upstreams, in virtual seconds.
const unevenSeconds = 24

// unevenVariant is a policy of the forwarder and whether it uses measured rates.
type unevenVariant struct {
	name    string
	plain   bool
	measure bool
	policy  func(workload.UnevenChoice) routing.Policy
}

func unevenVariants() []unevenVariant {
	backlog := func(c workload.UnevenChoice) routing.Policy { return routing.LeastBacklog{Domain: c.Domain} }
	two := func(workload.UnevenChoice) routing.Policy { return routing.TwoChoices{} }
	return []unevenVariant{
		{"two-choices", false, false, two},
		{"least-backlog", false, false, backlog},
		{"prefill", false, false, func(c workload.UnevenChoice) routing.Policy { return c.Prefill }},
		{"expected-current", false, true, func(c workload.UnevenChoice) routing.Policy { return routing.ExpectedFinish{Prefill: c.Prefill} }},
		{"expected-no-rates", false, false, func(c workload.UnevenChoice) routing.Policy {
			return routing.ExpectedFinish{Prefill: c.Prefill, Arrived: c.Arrived}
		}},
		{"expected-finish", false, true, func(c workload.UnevenChoice) routing.Policy {
			return routing.ExpectedFinish{Prefill: c.Prefill, Arrived: c.Arrived}
		}},
		{"two-choices", true, false, two},
		{"least-backlog", true, false, backlog},
		{"expected-current", true, true, func(c workload.UnevenChoice) routing.Policy { return routing.LeastExpectedWait{Domain: c.Domain} }},
		{"expected-no-rates", true, false, func(c workload.UnevenChoice) routing.Policy {
			return routing.LeastExpectedWait{Domain: c.Domain, Arrived: c.Arrived}
		}},
		{"expected-wait", true, true, func(c workload.UnevenChoice) routing.Policy {
			return routing.LeastExpectedWait{Domain: c.Domain, Arrived: c.Arrived}
		}},
	}
}

// runUneven compares the forwarder's policies on upstreams of equal and of different speeds, with and without
// temporary slow-downs, behind 76 hosts whose sums of each other's loads are up to 0.4 s old.
func runUneven(flags *policyFlags) int {
	table := newTable("requests", "speeds", "slow-downs", "load", "policy", "mean ms", "p50", "p99", "in time")
	for _, plain := range []bool{false, true} {
		for _, speeds := range [][]float64{{1}, {0.55, 1.2, 1.2, 1.2}} {
			for _, slowdowns := range []bool{false, true} {
				for _, load := range []float64{0.4, 0.7, 0.85} {
					for _, v := range unevenVariants() {
						if v.plain != plain || flags.only != "" && !slices.Contains(strings.Split(flags.only, ","), v.name) {
							continue
						}
						table.add(unevenRow(flags.seeds, v, workload.UnevenSetup{
							Hosts: 76, Upstreams: 24, Speeds: speeds, Load: load * flags.load, Plain: plain, Slowdowns: slowdowns,
							Duration: unevenSeconds * time.Second, Measure: v.measure, Policy: v.policy,
						})...)
					}
				}
			}
		}
	}
	table.print(os.Stdout)
	return table.write(flags.csv, flags.svg)
}

// unevenRow runs a setup with each seed and returns the row of all of them together.
func unevenRow(seeds int, v unevenVariant, setup workload.UnevenSetup) []string {
	results := make([]*workload.UnevenResult, seeds)
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for seed := range results {
		group.Go(func() error {
			s := setup
			s.Seed = uint64(seed + 1)
			results[seed] = workload.RunUneven(s)
			return nil
		})
	}
	_ = group.Wait()
	all := &workload.UnevenResult{}
	for _, r := range results {
		all.Merge(r)
	}
	kind, speeds := "prompts", "equal"
	if setup.Plain {
		kind = "plain"
	}
	if len(setup.Speeds) > 1 {
		speeds = "uneven"
	}
	return []string{
		kind, speeds, fmt.Sprint(setup.Slowdowns), fmt.Sprint(setup.Load), v.name,
		fmt.Sprint(all.Mean().Milliseconds()), fmt.Sprint(all.Percentile(50).Milliseconds()), fmt.Sprint(all.Percentile(99).Milliseconds()),
		fmt.Sprintf("%.3f", all.InTime),
	}
}
