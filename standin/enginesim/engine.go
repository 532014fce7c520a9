// Package enginesim is a small stand-in for a model engine. It batches continuously:
// each step yields one token for every running stream and lasts longer with more streams.
//
// The package is for tests and demonstrations. The daemons do not link it.
package enginesim

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

// Engine is the state of the stand-in. Use New to create one.
type Engine struct {
	options Options

	mu           sync.Mutex
	streams      map[string]*stream  // by stream id
	imports      map[string]exported // KV caches for streams that have not started, by stream id
	cache        *prefixCache
	stats        Stats
	leaving      bool                  // whether the engine rejects new attempts
	stalledUntil time.Time             // end of a stall, during which the engine makes no step
	stepping     bool                  // whether run is active
	arrivals     int                   // attempts started so far
	breaks       chan struct{}         // closed to break the connections of token streams
	reports      []upstream.LoadReport // the newest last
	orders       Orders
}

// stream is one attempt and its part of the answer.
type stream struct {
	request   enginehttp.GenerateBody
	arrival   int // position in the order of arrival
	prefill   int // tokens to compute before the first token
	tokens    []string
	first     int // index of tokens[0] in the whole answer
	length    int // tokens of the whole answer
	done      bool
	cancelled bool
	changed   chan struct{} // closed and replaced at each change
}

// exported is an exported KV cache. Data is padding, with a size of
// Options.CacheTokenBytes for each token of the prompt and the answer.
type exported struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
	Data   []byte `json:"data"`
}

// New returns an engine that accepts attempts.
func New(options Options) *Engine {
	options = options.withDefaults()
	return &Engine{
		options: options, streams: map[string]*stream{}, imports: map[string]exported{},
		cache: newPrefixCache(options.CacheBlocks, options.EventLoss), breaks: make(chan struct{}),
	}
}

// Start starts an attempt. It returns an empty reason, ReasonLeaving if the engine is
// leaving, or ReasonRefused if the stream id is empty or in use.
func (e *Engine) Start(req enginehttp.GenerateBody) upstream.Reason {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.stats.Refused++
		return upstream.ReasonLeaving
	}
	if _, inUse := e.streams[req.StreamID]; inUse || req.StreamID == "" {
		e.stats.Refused++
		return upstream.ReasonRefused
	}
	e.arrivals++
	s := &stream{
		request: req, arrival: e.arrivals, first: req.PriorTokens, changed: make(chan struct{}),
		length: AnswerLength(req.Prompt, req.MaxTokens), prefill: e.prefill(req),
	}
	e.streams[req.StreamID] = s
	e.stats.Started++
	e.report()
	if !e.stepping {
		e.stepping = true
		go e.run()
	}
	return ""
}

// prefill returns how many tokens the engine must compute before the first answer token.
// Tokens in the prefix cache or in an imported KV cache are not computed again.
func (e *Engine) prefill(req enginehttp.GenerateBody) int {
	prompt := len(req.Prompt) / bytesPerToken
	hit := e.cache.use(req.Prompt)
	e.stats.CacheHits += hit
	e.stats.CacheMisses += prompt - hit
	need := prompt - hit + req.PriorTokens
	if in, ok := e.imports[req.StreamID]; ok && in.Prompt == req.Prompt {
		need = max(0, req.PriorTokens-in.Tokens)
		delete(e.imports, req.StreamID)
	}
	e.stats.Prefilled += need
	if req.PriorTokens > 0 {
		e.stats.Recomputed += need
	}
	return need
}

// Cancel ends and removes an attempt. Unknown ids are ignored.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[id]; ok {
		e.stats.Cancelled++
		s.cancelled = true
		delete(e.streams, id)
		s.notify()
	}
}

// Export returns the KV cache of an attempt, or ReasonNoStream if the id is unknown or
// the engine cannot export.
func (e *Engine) Export(id string) ([]byte, upstream.Reason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, known := e.streams[id]
	if !known || e.options.NoExport {
		return nil, upstream.ReasonNoStream
	}
	e.stats.Exported++
	tokens := s.first + len(s.tokens)
	size := (len(s.request.Prompt)/bytesPerToken + tokens) * e.options.CacheTokenBytes
	data, err := json.Marshal(exported{Prompt: s.request.Prompt, Tokens: tokens, Data: make([]byte, size)})
	if err != nil {
		return nil, upstream.ReasonRefused
	}
	return data, ""
}

// Import stores an exported KV cache for a later attempt with this stream id.
func (e *Engine) Import(id string, data []byte) upstream.Reason {
	var in exported
	if json.Unmarshal(data, &in) != nil {
		return upstream.ReasonRefused
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.NoExport {
		return upstream.ReasonRefused
	}
	if e.leaving {
		return upstream.ReasonLeaving
	}
	e.stats.Imported++
	in.Data = nil
	e.imports[id] = in
	return ""
}

// Control applies a test's changes to the running engine.
func (e *Engine) Control(c Control) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Leaving != nil {
		e.leaving = *c.Leaving
	}
	if c.StallMS > 0 {
		e.stalledUntil = time.Now().Add(time.Duration(c.StallMS) * time.Millisecond)
	}
	if c.TokenTimeMS > 0 {
		e.options.TokenTime = time.Duration(c.TokenTimeMS) * time.Millisecond
	}
	if c.Break {
		close(e.breaks)
		e.breaks = make(chan struct{})
	}
	e.report()
}

// Stats returns the counts since the start and the number of running streams.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Running = len(e.batch())
	return stats
}

// run makes steps until no unfinished stream is left.
func (e *Engine) run() {
	for {
		e.mu.Lock()
		batch := e.batch()
		if len(batch) == 0 {
			e.stepping = false
			e.mu.Unlock()
			return
		}
		wait := e.stepTime(batch)
		e.mu.Unlock()
		time.Sleep(wait)
		e.mu.Lock()
		for _, s := range batch {
			e.yield(s)
		}
		e.mu.Unlock()
	}
}

// batch returns at most MaxRunning streams for the next step, ordered by priority and
// then by arrival.
func (e *Engine) batch() []*stream {
	var out []*stream
	for _, s := range e.streams {
		if !s.done {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.request.Priority != b.request.Priority {
			return a.request.Priority > b.request.Priority
		}
		return a.arrival < b.arrival
	})
	if limit := e.options.MaxRunning; limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out
}

// stepTime returns the duration of a step, including the prefill of new streams and the
// rest of a stall. It marks the prefill of these streams as computed.
func (e *Engine) stepTime(batch []*stream) time.Duration {
	wait := e.options.TokenTime + time.Duration(len(batch)-1)*e.options.StreamTime
	for _, s := range batch {
		wait += time.Duration(s.prefill) * e.options.PrefillTime
		s.prefill = 0
	}
	return wait + max(0, time.Until(e.stalledUntil))
}

// yield appends the next token to a stream, or crashes the engine if the prompt contains
// the crash mark.
func (e *Engine) yield(s *stream) {
	if s.cancelled {
		return
	}
	if mark := e.options.CrashMark; mark != "" && strings.Contains(s.request.Prompt, mark) {
		e.options.Crash()
	}
	if index := s.first + len(s.tokens); index < s.length {
		s.tokens = append(s.tokens, e.token(s, index))
		e.stats.Generated++
	}
	if s.first+len(s.tokens) >= s.length {
		s.done = true
		e.report()
	}
	s.notify()
}

// read returns the available tokens from an index on, a channel that is closed when the
// stream changes and a channel that is closed to break connections. ok is false if the
// stream is unknown or starts after the index.
func (e *Engine) read(id string, from int) (lines []enginehttp.Line, changed, broken <-chan struct{}, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, known := e.streams[id]
	if !known || from < s.first {
		return nil, nil, nil, false
	}
	for i := from - s.first; i < len(s.tokens); i++ {
		lines = append(lines, enginehttp.Line{Index: s.first + i, Text: s.tokens[i]})
	}
	if s.done {
		lines = append(lines, enginehttp.Line{Index: s.first + len(s.tokens), Done: true})
	}
	return lines, s.changed, e.breaks, true
}

// notify wakes all readers of the stream.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// maxReports limits the load reports that are stored until their lag has passed.
const maxReports = 256

// report stores the current load, which load returns once Options.ReportLag has passed.
func (e *Engine) report() {
	running := 0
	for _, s := range e.streams {
		if !s.done {
			running++
		}
	}
	report := upstream.LoadReport{Running: running, CacheUsed: e.cache.used(), Leaving: e.leaving, At: time.Now()}
	if limit := e.options.MaxRunning; limit > 0 && running > limit {
		report.Running, report.Waiting = limit, running-limit
	}
	e.reports = append(e.reports, report)
	if len(e.reports) > maxReports {
		e.reports = e.reports[1:]
	}
}

// load returns the newest report that is at least Options.ReportLag old, or an idle
// report if there is none.
func (e *Engine) load() upstream.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.reports) - 1; i >= 0; i-- {
		if time.Since(e.reports[i].At) >= e.options.ReportLag {
			return e.reports[i]
		}
	}
	return upstream.LoadReport{At: time.Now()}
}

// token returns a token text that contains the request id, so that tests detect an answer
// mixed from two requests, and the engine's salt, so that a prefix that another engine
// generates again differs from the original.
func (e *Engine) token(s *stream, index int) string {
	return fmt.Sprintf("%s.%d.%x ", s.request.RequestID, index, (e.options.Salt+uint64(index))%251)
}

// lengthPrefix precedes the length of the answer in a prompt, as in "tokens=40 ...".
const lengthPrefix = "tokens="

const defaultAnswerLength = 24 // tokens

// AnswerLength returns the number of tokens in the answer to a prompt, at most maxTokens.
func AnswerLength(prompt string, maxTokens int) int {
	length := defaultAnswerLength
	if at := strings.Index(prompt, lengthPrefix); at >= 0 {
		_, _ = fmt.Sscanf(prompt[at+len(lengthPrefix):], "%d", &length)
	}
	return min(length, maxTokens)
}

// SaltOf returns a salt for Options.Salt, derived from an engine's name.
func SaltOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
