package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/workload"
)

const (
	limitRate    = 200.0 // requests a second of the account
	limitSpan    = 60 * time.Second
	limitLoss    = 30 * time.Second // when hosts are lost
	limitNotice  = 3 * time.Second  // until the member view shows it
	limitRound   = 500 * time.Millisecond
	limitLag     = 300 * time.Millisecond
	limitAccount = "large"
	limitWarmUp  = 5 // seconds
)

// limitHost is one entry host of the limits experiment.
type limitHost struct {
	limiter admission.Limiter
	usage   admission.Usage // own, newest
	seen    admission.Usage // as the others see it
	lost    bool
}

func limitsExperiment() experiment {
	seeds := 10
	parser := flaggy.NewSubcommand("limits")
	parser.Description = "An account's rate over all entry hosts while a failure domain is lost. Example: experiment limits --seeds 10"
	parser.Int(&seeds, "", "seeds", "Number of seeds, from 1 on")
	return experiment{parser, func() int {
		t := newTable("seed", "hosts", "lost", "offered x", "admitted/rate", "worst 1 s/rate", "worst 1 s around loss/rate", "first 5 s after loss/rate")
		for seed := range seeds {
			for _, offered := range []float64{1.5, 4} {
				t.add(runLimits(uint64(seed+1), 8, 2, offered)...)
			}
		}
		t.print(os.Stdout)
		return 0
	}}
}

// runLimits offers a multiple of the rate, unevenly over hosts of which some
// are lost in the middle; their callers go to the others.
func runLimits(seed uint64, count, lost int, offered float64) []string {
	clock := &workload.Clock{}
	random := rand.New(rand.NewPCG(seed, 1))
	list := make([]*limitHost, count)
	for i := range list {
		list[i] = &limitHost{usage: admission.Usage{}, seen: admission.Usage{}}
		var round func()
		round = func() {
			limitsRound(clock, list, list[i])
			clock.After(limitRound, round)
		}
		clock.At(time.Duration(i)*limitRound/time.Duration(count), round)
	}
	clock.At(limitLoss, func() {
		for _, h := range list[:lost] {
			h.lost = true
		}
	})
	perSecond := make([]int, int(limitSpan/time.Second)*10) // by tenths
	for at := time.Duration(0); at < limitSpan; at += time.Duration(random.ExpFloat64() / (limitRate * offered) * float64(time.Second)) {
		pick := min(random.IntN(count), random.IntN(count)) // the first hosts get more
		clock.At(at, func() {
			for list[pick].lost {
				pick = (pick + 1 + pick%3) % count
			}
			if list[pick].limiter.Admit(clock.Time(), limitAccount, limitRate) == nil {
				perSecond[int(clock.Now()/(100*time.Millisecond))]++
			}
		})
	}
	clock.Run(limitSpan)
	return limitsRow(seed, count, lost, offered, perSecond)
}

// limitsRound ends a round at one host and shares the rate again.
func limitsRound(clock *workload.Clock, list []*limitHost, h *limitHost) {
	if h.lost {
		return
	}
	usage := h.limiter.Round(limitRound)
	h.usage = usage
	clock.After(limitLag, func() { h.seen = usage })
	var usages []admission.Usage
	hosts := 0
	for _, other := range list {
		if other.lost && clock.Now() > limitLoss+limitNotice {
			continue
		}
		hosts++
		if other == h {
			usages = append(usages, usage)
		} else {
			usages = append(usages, other.seen)
		}
	}
	h.limiter.Share(limitAccount, limitRate, usage, usages, hosts)
}

func limitsRow(seed uint64, count, lost int, offered float64, tenths []int) []string {
	window := func(from, to int) float64 { // worst second, from and to in seconds
		worst := 0
		for at := from * 10; at+10 <= to*10; at++ {
			sum := 0
			for _, n := range tenths[at : at+10] {
				sum += n
			}
			worst = max(worst, sum)
		}
		return float64(worst) / limitRate
	}
	total := 0
	for _, n := range tenths[limitWarmUp*10:] {
		total += n
	}
	after := 0
	loss := int(limitLoss / time.Second)
	for _, n := range slices.Clip(tenths[loss*10 : (loss+5)*10]) {
		after += n
	}
	end := len(tenths) / 10
	return []string{
		fmt.Sprint(seed), fmt.Sprint(count), fmt.Sprint(lost), fmt.Sprint(offered),
		fmt.Sprintf("%.3f", float64(total)/limitRate/float64(end-limitWarmUp)),
		fmt.Sprintf("%.3f", window(limitWarmUp, end)),
		fmt.Sprintf("%.3f", window(loss-1, loss+10)), fmt.Sprintf("%.3f", float64(after)/limitRate/5),
	}
}
