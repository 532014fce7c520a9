package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"github.com/cardamompier/cardamompier/routing"
)

// promptFlags holds the flags of the prompts experiment.
type promptFlags struct {
	seeds, seconds, hosts, upstreams int
	rates, only, csv                 string
	skew                             float64
}

// promptVariant is a policy of the prompts experiment.
type promptVariant struct {
	name   string
	policy promptPolicy
}

func promptVariants() []promptVariant {
	return []promptVariant{
		{"two-choices", blindPolicy{routing.TwoChoices{}}},
		{"least-backlog", blindPolicy{routing.LeastBacklog{}}},
		{"prefill", prefillPolicy{}},
		{"expected-finish", prefillPolicy{byRate: true}},
		{"weigh-by-rate", weighPolicy{surcharge: routing.DefaultCopySurcharge, byRate: true}},
		{"weigh", weighPolicy{surcharge: routing.DefaultCopySurcharge}},
		{"weigh-surcharge-0", weighPolicy{}},
		{"weigh-surcharge-0.7", weighPolicy{surcharge: 0.7}},
		{"weigh-surcharge-1.5", weighPolicy{surcharge: 1.5}},
		{"weigh-surcharge-6", weighPolicy{surcharge: 6}},
		{"weigh-own-only", weighPolicy{surcharge: routing.DefaultCopySurcharge, ownOnly: true}},
		{"weigh-half-wrong", weighPolicy{surcharge: routing.DefaultCopySurcharge, wrongBy: 0.5}},
		{"weigh-exact", weighPolicy{surcharge: routing.DefaultCopySurcharge, exact: true}},
	}
}

func promptsExperiment() experiment {
	flags := &promptFlags{seeds: 3, seconds: 90, hosts: 12, upstreams: 60, rates: "100,300,500,700"}
	parser := flaggy.NewSubcommand("prompts")
	parser.Description = "Policies for prompts that share parts. Example: experiment prompts --seeds 2 --only prefill,weigh"
	parser.Int(&flags.seeds, "", "seeds", "Number of seeds, from 1 on")
	parser.Int(&flags.seconds, "", "seconds", "Arrivals of one run, in virtual seconds, the first 20 being warm-up")
	parser.Int(&flags.hosts, "", "hosts", "Number of entry hosts")
	parser.Int(&flags.upstreams, "", "upstreams", "Number of upstreams")
	parser.Float64(&flags.skew, "", "skew", "Exponent of the Zipf distribution of the parts; 0 means that all are equally frequent")
	parser.String(&flags.rates, "", "rates", "Requests per second, with commas")
	parser.String(&flags.only, "", "only", "Policies to run, with commas; empty means all")
	parser.String(&flags.csv, "", "csv", "File for the table as CSV")
	return experiment{parser, func() int { return runPrompts(flags) }}
}

func runPrompts(flags *promptFlags) int {
	out := newTable("rate", "policy", "held of shared", "wrong of shared", "long p50", "long p99", "middle p50", "middle p99", "short p50", "short p99")
	for _, text := range strings.Split(flags.rates, ",") {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		for _, v := range promptVariants() {
			if flags.only == "" || strings.Contains(","+flags.only+",", ","+v.name+",") {
				out.add(promptRow(flags, v, rate)...)
			}
		}
	}
	out.print(os.Stdout)
	return out.write(flags.csv, "")
}

// promptRow plays all seeds of a policy and returns a row of the table. Times are in milliseconds.
func promptRow(flags *promptFlags, v promptVariant, rate float64) []string {
	results := make([]*promptResult, flags.seeds)
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i := range results {
		group.Go(func() error {
			results[i] = newPromptSim(flags, v.policy, rate, uint64(i+1)).play()
			return nil
		})
	}
	_ = group.Wait()
	total := results[0]
	for _, r := range results[1:] {
		total.sharedTokens += r.sharedTokens
		total.heldTokens += r.heldTokens
		total.wrongTokens += r.wrongTokens
		for class, h := range r.first {
			total.first[class].Merge(h)
		}
	}
	share := func(tokens int) string {
		return fmt.Sprintf("%.3f", float64(tokens)/float64(max(total.sharedTokens, 1)))
	}
	row := []string{fmt.Sprint(rate), v.name, share(total.heldTokens), share(total.wrongTokens)}
	for _, h := range total.first {
		row = append(row, millis(h, 50), millis(h, 99))
	}
	return row
}
