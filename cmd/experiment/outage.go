package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/workload"
)

// outageShare is the share of engines that fail at the same time.
const outageShare = 0.5

func outageExperiment() experiment {
	seeds := 3
	parser := flaggy.NewSubcommand("outage")
	parser.Description = "Attempts for a request when half of the engines die at once. Example: experiment outage --seeds 10"
	parser.Int(&seeds, "", "seeds", "Number of seeds, from 1 on")
	return experiment{parser, func() int { return runOutage(seeds) }}
}

func runOutage(seeds int) int {
	t := newTable("user", "budget", "seed", "requests", "finished", "failed", "attempts/req", "denied/req")
	for _, user := range []workload.User{workload.Ubumwe(), workload.Lanka()} {
		for _, noBudget := range []bool{false, true} {
			for seed := range seeds {
				r := workload.Run(workload.Setup{
					User: user, Policy: routing.Adaptive{}, Hedge: true, Move: true, Priority: true,
					NoBudget: noBudget, Outage: outageShare,
					Options: workload.Options{Seed: uint64(seed + 1), Duration: 150 * time.Second, Load: 0.6},
				})
				per := func(n int) string { return fmt.Sprintf("%.3f", float64(n)/float64(r.Requests)) }
				t.add(user.Name, fmt.Sprint(!noBudget), fmt.Sprint(seed+1), fmt.Sprint(r.Requests),
					fmt.Sprint(r.Finished), fmt.Sprint(r.Failed), per(r.Attempts), per(r.Refused))
			}
		}
	}
	t.print(os.Stdout)
	return 0
}
