package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/admission"
)

// Parameters of the overload experiment, which runs in real time. All streams share the
// pool's token rate equally, and no stream is faster than streamRate.
const (
	poolRate     = 6000.0 // tokens per second
	streamRate   = 60.0   // tokens per second
	meanAnswer   = 40     // tokens
	poolStep     = 5 * time.Millisecond
	firstTarget  = 350 * time.Millisecond
	overloadWarm = 2 * time.Second // excluded from the results
)

type overloadOptions struct {
	span time.Duration
	seed uint64
}

func overloadExperiment() experiment {
	o := overloadOptions{span: 6 * time.Second, seed: 1}
	parser := flaggy.NewSubcommand("overload")
	parser.Description = "Answers within the latency target from 1 to 4 times the capacity, with the gate and without. Example: experiment overload"
	parser.Duration(&o.span, "", "span", "length of each load")
	parser.UInt64(&o.seed, "", "seed", "seed of the arrivals")
	return experiment{parser: parser, run: func() int { return runOverload(o) }}
}

func runOverload(o overloadOptions) int {
	fmt.Printf("%-8s %-8s %10s %10s %10s %14s %8s\n", "gate", "load", "offered/s", "good/s", "refused/s", "late answers/s", "slots")
	for _, gated := range []bool{true, false} {
		for _, factor := range []float64{1, 2, 3, 4} {
			r := newOverloadRun(o, gated)
			r.run(factor)
			perSecond := func(n int64) float64 { return float64(n) / (o.span - overloadWarm).Seconds() }
			fmt.Printf("%-8t %-8.0f %10.1f %10.1f %10.1f %14.1f %8d\n", gated, factor,
				perSecond(r.offered.Load()), perSecond(r.good.Load()), perSecond(r.refused.Load()), perSecond(r.late.Load()), r.gate.Slots())
		}
	}
	return 0
}

// poolStream is one stream of generated tokens in the simulated pool.
type poolStream struct {
	want  float64
	made  atomic.Uint64 // generated tokens, in thousandths of a token
	first time.Time
	done  chan struct{}
}

// Count implements admission.Progress: it returns the number of whole tokens generated.
func (s *poolStream) Count() int { return int(s.made.Load() / 1000) }

// overloadRun is one run of the overload experiment with one load.
type overloadRun struct {
	options overloadOptions
	gated   bool
	gate    *admission.Gate
	random  *rand.Rand
	begin   time.Time

	mu      sync.Mutex
	streams map[*poolStream]struct{}

	offered, good, refused, late atomic.Int64
}

func newOverloadRun(o overloadOptions, gated bool) *overloadRun {
	return &overloadRun{
		options: o, gated: gated, gate: admission.NewGate(),
		random: rand.New(rand.NewPCG(o.seed, 9)), streams: map[*poolStream]struct{}{},
	}
}

// run sends requests at factor times the pool's capacity for the configured span and waits
// until all requests have ended.
func (r *overloadRun) run(factor float64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.span)
	defer cancel()
	go r.generate(ctx)
	go r.sample(ctx)
	r.begin = time.Now()
	rate := factor * poolRate / meanAnswer
	var running sync.WaitGroup
	for at := time.Duration(0); at < r.options.span; at += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)) {
		arrival := r.begin.Add(at)
		time.Sleep(time.Until(arrival))
		stream := &poolStream{want: 1 + r.random.ExpFloat64()*(meanAnswer-1), done: make(chan struct{})}
		account := fmt.Sprintf("account-%d", r.random.IntN(5))
		running.Add(1)
		go func() {
			defer running.Done()
			r.request(ctx, stream, account, arrival)
		}()
	}
	running.Wait()
}

func (r *overloadRun) request(ctx context.Context, stream *poolStream, account string, arrival time.Time) {
	counted := arrival.Sub(r.begin) > overloadWarm
	if counted {
		r.offered.Add(1)
	}
	if r.gated {
		if _, full := r.gate.ShouldReject(account); full {
			if counted {
				r.refused.Add(1)
			}
			return
		}
		slot, err := r.gate.Enter(ctx, account, 1, stream)
		if err != nil {
			return
		}
		defer slot.Release()
	}
	admitted := time.Now()
	r.mu.Lock()
	r.streams[stream] = struct{}{}
	r.mu.Unlock()
	select {
	case <-stream.done:
	case <-ctx.Done():
		return
	}
	pace := time.Since(admitted) / time.Duration(max(1, stream.Count()))
	switch {
	case !counted:
	case stream.first.Sub(arrival) <= firstTarget && pace <= admission.TargetTokenTime+poolStep:
		r.good.Add(1)
	default:
		r.late.Add(1)
	}
}

// generate produces tokens until ctx ends. In each step it divides the pool's token rate
// equally among the open streams, up to streamRate for each stream.
func (r *overloadRun) generate(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(poolStep)
		now := time.Now()
		r.mu.Lock()
		pace := min(streamRate, poolRate/float64(max(1, len(r.streams)))) * now.Sub(last).Seconds()
		for stream := range r.streams {
			made := float64(stream.made.Add(uint64(pace*1000))) / 1000
			if made >= 1 && stream.first.IsZero() {
				stream.first = now
			}
			if made >= stream.want {
				close(stream.done)
				delete(r.streams, stream)
			}
		}
		r.mu.Unlock()
		last = now
	}
}

func (r *overloadRun) sample(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(admission.SampleInterval)
		r.gate.Sample(time.Now())
	}
}
