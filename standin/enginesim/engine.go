// Package enginesim is a small stand-in for a model engine. It batches
// continuously: each step yields one token for every running stream and takes
// longer the more there are.
//
// It is for tests and demonstrations; the daemons do not link it.
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

// Engine is the stand-in's state. Use New.
type Engine struct {
	options Options

	mu       sync.Mutex
	streams  map[string]*stream
	imports  map[string]exported
	cache    *prefixCache
	stats    Stats
	leaving  bool
	stalled  time.Time // until when no step is made
	stepping bool
	arrivals int
	breaks   chan struct{} // closed to break the connections of token streams
	reports  []upstream.LoadReport
	orders   Orders
}

type stream struct {
	request enginehttp.GenerateBody
	arrival int
	prefill int // tokens to compute before the first token
	tokens  []string
	first   int // index of tokens[0] in the whole answer
	length  int
	done    bool
	gone    bool // cancelled
	changed chan struct{}
}

// exported is the form of an exported KV cache, followed by its padding.
type exported struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
	Data   []byte `json:"data"`
}

// New returns a running engine.
func New(options Options) *Engine {
	options = options.withDefaults()
	return &Engine{
		options: options, streams: map[string]*stream{}, imports: map[string]exported{},
		cache: newPrefixCache(options.CacheBlocks, options.EventLoss), breaks: make(chan struct{}),
	}
}

// Start begins an attempt.
func (e *Engine) Start(req enginehttp.GenerateBody) upstream.Reason {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.stats.Refused++
		return upstream.ReasonLeaving
	}
	if _, taken := e.streams[req.StreamID]; taken || req.StreamID == "" {
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

// prefill returns how many tokens are computed before the first of an answer.
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

// Cancel ends an attempt.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[id]; ok {
		e.stats.Cancelled++
		s.gone = true
		delete(e.streams, id)
		s.notify()
	}
}

// Export returns the KV cache of an attempt.
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

// Import prepares an attempt from an exported KV cache.
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

// Control takes a test's wish.
func (e *Engine) Control(c Control) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Leaving != nil {
		e.leaving = *c.Leaving
	}
	if c.StallMS > 0 {
		e.stalled = time.Now().Add(time.Duration(c.StallMS) * time.Millisecond)
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

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Running = len(e.batch())
	return stats
}

// run makes steps until no stream is left.
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

// batch returns the streams of the next step, those of higher priority first.
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

func (e *Engine) stepTime(batch []*stream) time.Duration {
	wait := e.options.TokenTime + time.Duration(len(batch)-1)*e.options.StreamTime
	for _, s := range batch {
		wait += time.Duration(s.prefill) * e.options.PrefillTime
		s.prefill = 0
	}
	return wait + max(0, time.Until(e.stalled))
}

// yield adds the next token to a stream.
func (e *Engine) yield(s *stream) {
	if s.gone {
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

// read returns the tokens from an index, or waits on changed.
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

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// maxReports bounds the load reports that wait for their lag to pass.
const maxReports = 256

// report notes the load of now; it is shown after the lag.
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

// load returns the newest report that is older than the lag.
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

// token returns text that names its request, so that a mixed answer shows,
// and its engine, so that a regenerated prefix differs from the first.
func (e *Engine) token(s *stream, index int) string {
	return fmt.Sprintf("%s.%d.%x ", s.request.RequestID, index, (e.options.Salt+uint64(index))%251)
}

// lengthPrefix lets a prompt ask for an answer of a given length: "tokens=40 ...".
const lengthPrefix = "tokens="

const defaultAnswerLength = 24 // tokens

// AnswerLength returns how many tokens the answer to a prompt has.
func AnswerLength(prompt string, maxTokens int) int {
	length := defaultAnswerLength
	if at := strings.Index(prompt, lengthPrefix); at >= 0 {
		_, _ = fmt.Sscanf(prompt[at+len(lengthPrefix):], "%d", &length)
	}
	return min(length, maxTokens)
}

// SaltOf derives a salt from an engine's name.
func SaltOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
