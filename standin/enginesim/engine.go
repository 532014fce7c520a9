// Package enginesim is a small stand-in for a model engine. It batches
// continuously: each step yields one token for every running stream.
//
// It is for tests and demonstrations; the daemons do not link it.
package enginesim

import (
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

// Options configure an Engine. The zero value is a fast engine.
type Options struct {
	ID string
	// TokenTime is the time of one step. Default 5 ms.
	TokenTime time.Duration
	// Salt makes the text of one engine differ from another's, as sampling does.
	Salt uint64
}

const defaultTokenTime = 5 * time.Millisecond

// Engine is the stand-in's state. Use New.
type Engine struct {
	options Options
	mu      sync.Mutex
	streams map[string]*stream
}

type stream struct {
	request enginehttp.GenerateBody
	tokens  []string
	first   int // index of tokens[0] in the whole answer
	done    bool
	gone    bool // cancelled
	changed chan struct{}
}

// New returns a running engine.
func New(options Options) *Engine {
	if options.TokenTime == 0 {
		options.TokenTime = defaultTokenTime
	}
	return &Engine{options: options, streams: map[string]*stream{}}
}

// Start begins an attempt.
func (e *Engine) Start(req enginehttp.GenerateBody) upstream.Reason {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, taken := e.streams[req.StreamID]; taken || req.StreamID == "" {
		return upstream.ReasonRefused
	}
	s := &stream{request: req, first: req.PriorTokens, changed: make(chan struct{})}
	e.streams[req.StreamID] = s
	go e.run(s)
	return ""
}

// Cancel ends an attempt.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[id]; ok {
		s.gone = true
		delete(e.streams, id)
		s.notify()
	}
}

// run generates one token a step until the answer's length is reached.
func (e *Engine) run(s *stream) {
	length := AnswerLength(s.request.Prompt, s.request.MaxTokens)
	ticker := time.NewTicker(e.options.TokenTime)
	defer ticker.Stop()
	for index := s.first; index < length; index++ {
		<-ticker.C
		e.mu.Lock()
		if s.gone {
			e.mu.Unlock()
			return
		}
		s.tokens = append(s.tokens, e.token(s, index))
		s.notify()
		e.mu.Unlock()
	}
	e.mu.Lock()
	s.done = true
	s.notify()
	e.mu.Unlock()
}

// read returns the tokens from an index, or waits on changed.
func (e *Engine) read(id string, from int) (lines []enginehttp.Line, changed <-chan struct{}, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, known := e.streams[id]
	if !known || from < s.first {
		return nil, nil, false
	}
	for i := from - s.first; i < len(s.tokens); i++ {
		lines = append(lines, enginehttp.Line{Index: s.first + i, Text: s.tokens[i]})
	}
	if s.done {
		lines = append(lines, enginehttp.Line{Index: s.first + len(s.tokens), Done: true})
	}
	return lines, s.changed, true
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
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
