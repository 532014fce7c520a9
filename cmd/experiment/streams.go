package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/reclaim"
	"github.com/cardamompier/cardamompier/standin/enginesim"
)

// streamsOptions holds the flags of the streams experiment.
type streamsOptions struct {
	streams, tokens, prompt int
	tokenTime, prefillTime  time.Duration
}

func streamsExperiment() experiment {
	o := streamsOptions{
		streams: 40, tokens: 200, prompt: 1000,
		tokenTime: 20 * time.Millisecond, prefillTime: 20 * time.Microsecond,
	}
	parser := flaggy.NewSubcommand("streams")
	parser.Description = "Tokens recomputed and interruption of running streams for each way of losing a host, and the cost of copies."
	parser.Int(&o.streams, "", "streams", "streams open at once")
	parser.Int(&o.tokens, "", "tokens", "tokens of an answer")
	parser.Int(&o.prompt, "", "prompt", "tokens of a prompt")
	parser.Duration(&o.tokenTime, "", "token-time", "time of an engine's step")
	parser.Duration(&o.prefillTime, "", "prefill-time", "time to compute one token of a prompt or prior text")
	return experiment{parser: parser, run: func() int { return runStreams(o) }}
}

// failureCase is one kind of host failure that interrupts running streams.
type failureCase struct {
	name     string
	noExport bool
	inject   func(f *fleet)
}

// listRead is the time within which every entry host reads a changed host list.
const listRead = time.Second

// drainTimeout is the time that a stopping entry host has to drain its streams.
const drainTimeout = time.Second

func failureCases() []failureCase {
	return []failureCase{
		{name: "none", inject: func(*fleet) {}},
		{name: "engine leaving, KV cache moved", inject: func(f *fleet) { f.setState("engine-1", hosts.StateLeaving) }},
		{name: "engine leaving, no KV export", noExport: true, inject: func(f *fleet) { f.setState("engine-1", hosts.StateLeaving) }},
		{name: "engine's connections broken", inject: func(f *fleet) { f.engines["engine-1"].Control(enginesim.Control{Break: true}) }},
		{name: "engine killed", inject: func(f *fleet) { f.kill("engine-1") }},
		{name: "entry host stopped (notice 1s)", inject: func(f *fleet) { f.stop("entry-1") }},
		{name: "entry host and engine reclaimed", inject: func(f *fleet) {
			f.setState("engine-1", hosts.StateLeaving)
			f.stop("entry-1")
		}},
	}
}

// runStreams measures each kind of host failure with a newly started fleet.
func runStreams(o streamsOptions) int {
	fmt.Printf("%d streams of %d tokens, prompt %d tokens, step %s, prefill %s a token; 3 entry hosts, 2 engines, one process\n",
		o.streams, o.tokens, o.prompt, o.tokenTime, o.prefillTime)
	fmt.Printf("%-34s %6s %5s %14s %12s %12s %10s %14s %18s\n",
		"lost", "whole", "lost", "recomputed/str", "gap p50 ms", "gap max ms", "reconnects", "accept p50 ms", "text/all B a token")
	failed := 0
	for _, w := range failureCases() {
		if err := measureCase(o, w); err != nil {
			fmt.Printf("%-34s %v\n", w.name, err)
			failed = 1
		}
	}
	return failed
}

func measureCase(o streamsOptions, w failureCase) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := newFleet(ctx, o, w.noExport)
	if err != nil {
		return err
	}
	defer f.close()
	before, innerBefore := reclaim.CopyBytes.Value("append"), inner.Bytes.Value("sent")
	readers := make([]*streamReader, o.streams)
	var running sync.WaitGroup
	for i := range readers {
		readers[i] = &streamReader{fleet: f, options: o, number: i}
		running.Add(1)
		go func() {
			defer running.Done()
			readers[i].run(ctx)
		}()
	}
	time.Sleep(o.tokenTime * time.Duration(o.tokens) / 3)
	f.addEngine("engine-2", w.noExport)
	time.Sleep(listRead)
	f.countGaps.Store(true)
	w.inject(f)
	running.Wait()
	copied, messages := reclaim.CopyBytes.Value("append")-before, inner.Bytes.Value("sent")-innerBefore
	report(w, f, readers, copied, messages)
	return nil
}

func report(w failureCase, f *fleet, readers []*streamReader, copied, messages int64) {
	accepted := hdrhistogram.New(1, histogramMax, histogramDigits)
	gaps := hdrhistogram.New(1, histogramMax, histogramDigits)
	whole, lost, reconnects, tokens := 0, 0, 0, 0
	for _, r := range readers {
		_ = gaps.RecordValue(r.longestGap.Microseconds())
		_ = accepted.RecordValue(r.accepted.Microseconds())
		reconnects += r.connections - 1
		tokens += r.tokens
		if r.done && r.fault == "" {
			whole++
		} else {
			lost++
		}
	}
	recomputed := 0
	for _, e := range f.engines {
		recomputed += e.Stats().Recomputed
	}
	perToken := func(bytes int64) float64 { return float64(bytes) / float64(max(1, tokens)) }
	fmt.Printf("%-34s %6d %5d %14.1f %12.1f %12.1f %10d %14.1f %10.1f/%.1f\n", w.name, whole, lost,
		float64(recomputed)/float64(len(readers)), float64(gaps.ValueAtQuantile(50))/1000, float64(gaps.Max())/1000,
		reconnects, float64(accepted.ValueAtQuantile(50))/1000, perToken(copied), perToken(messages))
}
