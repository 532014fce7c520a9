// Package journal keeps the text of accepted requests while their callers may
// still read it: each request has a log of tokens that any number of readers
// follow from any offset.
package journal

import (
	"context"
	"sync"

	"github.com/cardamompier/cardamompier/apierr"
)

// Log is the answer of one request as it grows. Its writer is one goroutine.
type Log struct {
	// RequestID, Account and Service never change.
	RequestID string
	Account   string
	Service   string

	mu      sync.Mutex
	text    []byte
	ends    []uint32 // end offset of each token in text
	done    bool
	failed  *apierr.Error
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog(requestID, account, service string) *Log {
	return &Log{RequestID: requestID, Account: account, Service: service, changed: make(chan struct{})}
}

// Append adds the token with the given index. A token that is already there,
// or that would leave a gap, is ignored; Append says whether it was added.
func (l *Log) Append(index int, text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index != len(l.ends) || l.ended() {
		return false
	}
	l.text = append(l.text, text...)
	l.ends = append(l.ends, uint32(len(l.text)))
	l.notify()
	return true
}

// Finish marks the answer as whole.
func (l *Log) Finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended() {
		l.done = true
		l.notify()
	}
}

// Fail ends the answer with an error.
func (l *Log) Fail(err *apierr.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended() {
		l.failed = err
		l.notify()
	}
}

// Prior returns the text so far and its number of tokens.
func (l *Log) Prior() (string, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text), len(l.ends)
}

// Chunk is what a reader gets: the tokens from its offset on.
type Chunk struct {
	// Tokens are the texts of the tokens from the reader's offset.
	Tokens []string
	// Done is set when the answer is whole after these tokens.
	Done bool
	// Failed ends the answer early.
	Failed *apierr.Error
}

// Read waits for something after the first from tokens. It returns ctx's
// error when ctx ends first.
func (l *Log) Read(ctx context.Context, from int) (Chunk, error) {
	for {
		l.mu.Lock()
		chunk, changed := l.after(from), l.changed
		l.mu.Unlock()
		if len(chunk.Tokens) > 0 || chunk.Done || chunk.Failed != nil {
			return chunk, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Chunk{}, ctx.Err()
		}
	}
}

func (l *Log) after(from int) Chunk {
	chunk := Chunk{Done: l.done, Failed: l.failed}
	for i := from; i < len(l.ends); i++ {
		start := uint32(0)
		if i > 0 {
			start = l.ends[i-1]
		}
		chunk.Tokens = append(chunk.Tokens, string(l.text[start:l.ends[i]]))
	}
	return chunk
}

func (l *Log) ended() bool { return l.done || l.failed != nil }

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
