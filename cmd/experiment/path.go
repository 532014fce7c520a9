package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

// Range in microseconds, and number of significant digits, of the latency histograms.
const (
	histogramMin    = 1
	histogramMax    = 60_000_000
	histogramDigits = 3
	pathCallTimeout = 30 * time.Second
)

// pathOptions holds the flags of the path experiment.
type pathOptions struct {
	entry, inner, engine, desk    string
	key, chatService, callService string
	rate                          float64
	span                          time.Duration
	tokens                        int
	streams                       int
	seed                          uint64
}

func pathExperiment() experiment {
	o := pathOptions{
		key: "secret", chatService: "badge-wording", callService: "job-status",
		rate: 500, span: 20 * time.Second, tokens: 50, streams: 200, seed: 1,
	}
	parser := flaggy.NewSubcommand("path")
	parser.Description = "Time that an entry host adds, against the same load sent straight to the upstreams. See scripts/measure-path."
	parser.String(&o.entry, "", "entry", "an entry host's address for callers")
	parser.String(&o.inner, "", "inner", "its inner address")
	parser.String(&o.engine, "", "engine", "address of the stand-in engine")
	parser.String(&o.desk, "", "desk", "address of the stand-in plain service")
	parser.Float64(&o.rate, "", "rate", "requests a second")
	parser.Duration(&o.span, "", "span", "length of each load")
	parser.Int(&o.tokens, "", "tokens", "tokens of an answer")
	parser.Int(&o.streams, "", "streams", "streams open at once in the memory and processor measurement")
	parser.UInt64(&o.seed, "", "seed", "seed of the arrivals")
	return experiment{parser: parser, run: func() int { return runPath(o) }}
}

// runPath measures calls and streams, both directly to the upstreams and through the entry
// host.
func runPath(o pathOptions) int {
	client := &http.Client{
		Timeout:   pathCallTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxConnsPerHost: 0},
	}
	straight := o.load(func() error { return call(client, "http://"+o.desk+"/status", "") })
	through := o.load(func() error { return call(client, "http://"+o.entry+"/services/"+o.callService+"/status", o.key) })
	printPath("plain call", straight, through)
	engine := enginehttp.NewClient("engine", o.engine, enginehttp.NewTransport(), upstream.NewReplyBudget())
	straight = o.load(func() error { return generateDirectly(engine, o.prompt(1), 1) })
	through = o.load(func() error { return o.chat(client, 1) })
	printPath("chat, one token", straight, through)
	return o.measureStreams(client)
}

// result holds the latencies of the successful requests of one load, in microseconds, and
// the number of failed requests.
type result struct {
	latency *hdrhistogram.Histogram
	failed  int64
}

// load calls work at Poisson arrival times. Latency is measured from the intended arrival
// time, so that the delay of a late start is included.
func (o pathOptions) load(work func() error) result {
	random := rand.New(rand.NewPCG(o.seed, 0))
	out := result{latency: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
	var mu sync.Mutex
	var running sync.WaitGroup
	begin := time.Now()
	for at := time.Duration(0); at < o.span; at += time.Duration(random.ExpFloat64() / o.rate * float64(time.Second)) {
		arrival := begin.Add(at)
		time.Sleep(time.Until(arrival))
		running.Add(1)
		go func() {
			defer running.Done()
			err := work()
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.failed++
				return
			}
			_ = out.latency.RecordValue(time.Since(arrival).Microseconds())
		}()
	}
	running.Wait()
	return out
}

func printPath(name string, straight, through result) {
	fmt.Printf("%-16s %8s %10s %10s %10s %8s\n", name, "requests", "p50 us", "p99 us", "p99.9 us", "failed")
	for _, row := range []struct {
		name string
		r    result
	}{{"straight", straight}, {"through", through}} {
		h := row.r.latency
		fmt.Printf("%-16s %8d %10d %10d %10d %8d\n", "  "+row.name, h.TotalCount(),
			h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), row.r.failed)
	}
	added := func(q float64) int64 { return through.latency.ValueAtQuantile(q) - straight.latency.ValueAtQuantile(q) }
	fmt.Printf("%-16s %8s %10d %10d %10d\n", "  added", "", added(50), added(99), added(99.9))
}

// measureStreams opens long streams and prints the entry host's processor time per token
// and memory per stream.
func (o pathOptions) measureStreams(client *http.Client) int {
	before, err := readProcess(o.inner)
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		return 1
	}
	var running sync.WaitGroup
	var failed atomic.Int64
	for range o.streams {
		running.Add(1)
		go func() {
			defer running.Done()
			if o.chat(client, o.tokens) != nil {
				failed.Add(1)
			}
		}()
	}
	time.Sleep(o.settleTime())
	during, _ := readProcess(o.inner)
	running.Wait()
	after, _ := readProcess(o.inner)
	tokens := float64(max(1, o.streams-int(failed.Load())) * o.tokens)
	fmt.Printf("streams %d of %d tokens, %d failed: %.2f us processor time a token, %.1f KiB heap and stack a stream\n",
		o.streams, o.tokens, failed.Load(), (after.CPUSeconds-before.CPUSeconds)*1e6/tokens,
		float64(during.HeapBytes+during.StackBytes-before.HeapBytes-before.StackBytes)/float64(o.streams)/1024)
	return 0
}

// settleTime returns the wait after which all streams are open and none has ended yet.
func (o pathOptions) settleTime() time.Duration { return time.Second }

func (o pathOptions) prompt(tokens int) string { return "tokens=" + strconv.Itoa(tokens) + " names" }

// chat sends a chat request to the entry host and reads the streamed answer to its end.
func (o pathOptions) chat(client *http.Client, tokens int) error {
	body := `{"model":"` + o.chatService + `","stream":true,"messages":[{"role":"user","content":"` + o.prompt(tokens) + `"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+o.entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	return drainAnswer(client, req, o.key)
}

func call(client *http.Client, url, key string) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return drainAnswer(client, req, key)
}

func drainAnswer(client *http.Client, req *http.Request, key string) error {
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return &statusError{Status: res.StatusCode}
	}
	return nil
}

// statusError is the error for an HTTP response with a status other than 200.
type statusError struct{ Status int }

// Error implements error and contains the HTTP status code.
func (e *statusError) Error() string { return "status " + strconv.Itoa(e.Status) }

var streamNumber atomic.Uint64

func generateDirectly(engine *enginehttp.Client, prompt string, tokens int) error {
	ctx, cancel := context.WithTimeout(context.Background(), pathCallTimeout)
	defer cancel()
	id := "straight-" + strconv.FormatUint(streamNumber.Add(1), 10)
	stream, err := engine.Generate(ctx, upstream.GenerateRequest{StreamID: id, RequestID: id, Prompt: prompt, MaxTokens: tokens})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		_, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func readProcess(inner string) (metrics.Process, error) {
	var vars struct {
		Process metrics.Process `json:"cardamompier_process"`
	}
	res, err := http.Get("http://" + inner + "/debug/vars")
	if err != nil {
		return vars.Process, err
	}
	defer func() { _ = res.Body.Close() }()
	return vars.Process, json.NewDecoder(res.Body).Decode(&vars)
}
