package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/admission"
)

// Parameters of the limits experiment, which runs in virtual time.
const (
	limitsStep     = time.Millisecond
	limitsSpan     = 20 * time.Second
	limitsLossAt   = 10 * time.Second
	viewDelay      = 1500 * time.Millisecond // until all hosts have detected the loss of a domain
	grantTrip      = 3 * time.Millisecond    // round trip between failure domains
	limitsRate     = 200.0                   // the client account's limit, in requests per second
	overloadFactor = 3.0                     // offered load divided by the limit
	limitsDomains  = 4
)

type limitsOptions struct{ seeds int }

func limitsExperiment() experiment {
	o := limitsOptions{seeds: 10}
	parser := flaggy.NewSubcommand("limits")
	parser.Description = "An account's limit over all entry hosts while a failure domain of them is lost. Example: experiment limits --seeds 10"
	parser.Int(&o.seeds, "", "seeds", "number of seeds")
	return experiment{parser: parser, run: func() int { return runLimits(o) }}
}

// limitsResult holds the outcome of one run: admitted requests as shares of the limit, and
// grant messages per second and host.
type limitsResult struct{ steady, worstSecond, lossSecond, messages float64 }

func runLimits(o limitsOptions) int {
	fmt.Printf("%-8s %-8s %12s %14s %16s %18s\n", "hosts", "callers", "steady", "worst second", "second of loss", "messages/s/host")
	for _, hosts := range []int{9, 40, 120, 340} {
		for _, skewed := range []bool{false, true} {
			var sum limitsResult
			for seed := range o.seeds {
				r := newLimitsRun(hosts, skewed, uint64(seed)+1).run()
				sum.steady += r.steady / float64(o.seeds)
				sum.messages += r.messages / float64(o.seeds)
				sum.worstSecond = max(sum.worstSecond, r.worstSecond)
				sum.lossSecond = max(sum.lossSecond, r.lossSecond)
			}
			callers := "even"
			if skewed {
				callers = "skewed"
			}
			fmt.Printf("%-8d %-8s %11.1f%% %13.1f%% %15.1f%% %18.2f\n", hosts, callers,
				100*sum.steady, 100*sum.worstSecond, 100*sum.lossSecond, sum.messages)
		}
	}
	return 0
}

// limitsHost is one simulated entry host of the limits experiment.
type limitsHost struct {
	limiter *admission.Limiter
	granter *admission.Granter
	alive   bool
	waiting int       // number of requests that wait for a grant
	answer  time.Time // when the pending grant or its failure arrives; zero if none is pending
	grant   admission.Grant
	failed  bool
	request admission.GrantRequest
	sent    time.Time
}

// limitsRun is one simulation of the limits experiment.
type limitsRun struct {
	random   *rand.Rand
	hosts    []*limitsHost
	weights  []float64 // share of the requests that arrive at each host
	limits   admission.Limits
	start    time.Time
	lossAt   time.Time
	admitted []int // admitted requests in each step
	messages int
}

func newLimitsRun(hosts int, skewed bool, seed uint64) *limitsRun {
	r := &limitsRun{random: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(1_000_000, 0)}
	r.lossAt = r.start.Add(limitsLossAt)
	r.limits = admission.Limits{RequestsPerSecond: limitsRate}
	total := 0.0
	for range hosts {
		r.hosts = append(r.hosts, &limitsHost{limiter: admission.NewLimiter(), granter: admission.NewGranter(), alive: true})
		weight := 1.0
		if skewed {
			weight = r.random.ExpFloat64() * r.random.ExpFloat64()
		}
		r.weights = append(r.weights, weight)
		total += weight
	}
	for i := range r.weights {
		r.weights[i] /= total
	}
	return r
}

const limitsAccount = "account"

// granterOf returns the index of the host that issues grants at the given time. Lost hosts
// are excluded once viewDelay has passed since the loss.
func (r *limitsRun) granterOf(now time.Time) int {
	best, bestWeight := -1, uint64(0)
	for i, host := range r.hosts {
		if !host.alive && now.Sub(r.lossAt) > viewDelay {
			continue
		}
		if weight := xxhash.Sum64String(fmt.Sprintf("%s/%d", limitsAccount, i)); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

func (r *limitsRun) run() limitsResult {
	for now := r.start; now.Before(r.start.Add(limitsSpan)); now = now.Add(limitsStep) {
		if now.Equal(r.lossAt) {
			r.failDomain(r.granterOf(now))
		}
		granter := r.granterOf(now)
		count := 0
		for i, host := range r.hosts {
			if host.alive {
				count += r.stepHost(i, host, granter, now)
			}
		}
		r.admitted = append(r.admitted, count)
	}
	return r.result()
}

// failDomain stops all hosts in the granter's failure domain. Losing the host that issues
// the grants is the worst case.
func (r *limitsRun) failDomain(granter int) {
	for i, host := range r.hosts {
		host.alive = host.alive && i%limitsDomains != granter%limitsDomains
	}
}

// stepHost simulates one time step of a host: it adds random request arrivals and returns
// the number of admitted requests.
func (r *limitsRun) stepHost(i int, host *limitsHost, granter int, now time.Time) int {
	arrivals := limitsRate * overloadFactor * r.weights[i] * limitsStep.Seconds()
	for arrivals > 0 && r.random.Float64() < arrivals {
		host.waiting++
		arrivals--
	}
	if !host.answer.IsZero() && !now.Before(host.answer) {
		r.deliver(host, now)
	}
	admitted := 0
	for ; host.waiting > 0; host.waiting-- {
		verdict, _ := host.limiter.Admit(limitsAccount, r.limits, now)
		if verdict == admission.Empty {
			r.requestGrant(host, granter, now)
			break
		}
		if verdict == admission.Admitted {
			admitted++
		}
	}
	return admitted
}

func (r *limitsRun) requestGrant(host *limitsHost, granter int, now time.Time) {
	req, ok := host.limiter.CreditRequest(limitsAccount, now)
	if !ok {
		return
	}
	r.messages++
	host.request, host.sent, host.answer = req, now, now.Add(grantTrip)
	host.failed = !r.hosts[granter].alive
	if host.failed {
		host.answer = now.Add(150 * time.Millisecond)
		return
	}
	settled := now.Sub(r.lossAt.Add(viewDelay)).Abs() > time.Second
	host.grant = r.hosts[granter].granter.Grant(req, r.limits, settled, now)
}

func (r *limitsRun) deliver(host *limitsHost, now time.Time) {
	host.answer = time.Time{}
	if host.failed {
		host.limiter.UseEqualShare(host.request, r.limits, len(r.hosts), now)
		return
	}
	host.limiter.ApplyGrant(limitsAccount, host.grant, host.sent, now)
}

func (r *limitsRun) result() limitsResult {
	second := int(time.Second / limitsStep)
	sum := func(from, to int) float64 {
		n := 0
		for _, count := range r.admitted[from:to] {
			n += count
		}
		return float64(n)
	}
	var out limitsResult
	loss := int(limitsLossAt / limitsStep)
	for at := second; at+second <= len(r.admitted); at += second / 20 {
		share := sum(at, at+second) / limitsRate
		out.worstSecond = max(out.worstSecond, share)
		if at+second > loss && at < loss+4*second {
			out.lossSecond = max(out.lossSecond, share)
		}
	}
	out.steady = sum(second, loss) / limitsRate / (limitsLossAt.Seconds() - 1)
	out.messages = float64(r.messages) / limitsSpan.Seconds() / float64(len(r.hosts))
	return out
}
