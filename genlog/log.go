// Package genlog keeps the text of accepted requests while their callers may
// still read it: each request has a log of tokens that any number of readers
// follow from any offset, and a copy of it at a holder in another failure
// domain.
//
// It leaves finding, taking over and carrying out requests to package reclaim.
package genlog

import (
	"context"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/apierr"
)

// State says how far an answer is.
type State uint8

// The states of an answer. A fenced log's request goes on at another host.
const (
	StateRunning State = iota
	StateDone
	StateFailed
	StateMoved
)

// mode says when a token may be read.
type mode uint8

const (
	// modeLocal: at once; the log has no copy.
	modeLocal mode = iota
	// modeBehind: while the holder has renewed the owner's lease.
	modeBehind
	// modeStrict: once the holder has it.
	modeStrict
)

// Log is the answer of one request as it grows. Its writer is one goroutine.
type Log struct {
	// Record and Epoch never change.
	Record
	Epoch uint64

	mu       sync.Mutex
	text     []byte
	ends     []uint32 // end offset of each token in text
	released int      // tokens that readers may see
	state    State
	failed   *apierr.Error
	attempt  Attempt
	branches []Branch
	suspect  bool

	mode         mode
	leaseUntil   time.Time
	ackedAttempt uint64

	changed chan struct{} // closed on a change; nil while nobody waits
	moved   chan struct{} // closed in StateMoved
}

// NewLog returns an empty log.
func NewLog(record Record) *Log {
	return &Log{Record: record, Epoch: 1, moved: make(chan struct{})}
}

// NewLogFromCopy returns a log that goes on from a copy, under the copy's epoch.
func NewLogFromCopy(c Copy) *Log {
	return &Log{
		Record: c.Record, Epoch: c.Epoch, moved: make(chan struct{}),
		text: c.Text, ends: c.Ends, released: len(c.Ends), state: c.State, failed: c.Failed.APIError(),
		attempt: c.Attempt, ackedAttempt: c.Attempt.Number, branches: c.Branches,
	}
}

// BeginAttempt makes a the attempt whose tokens the log takes, and returns its
// number. Its tokens are readable once the holder knows the attempt.
func (l *Log) BeginAttempt(host, address, streamID string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempt = Attempt{Number: l.attempt.Number + 1, Host: host, Address: address, StreamID: streamID}
	return l.attempt.Number
}

// Branch notes that the tokens from here on may differ from those that an
// earlier owner showed after its last copy.
func (l *Log) Branch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspect = false
	l.branches = append(l.branches[:len(l.branches):len(l.branches)], Branch{Epoch: l.Epoch, Start: len(l.ends)})
}

// Suspect notes that the last owner may have shown more than the log has.
func (l *Log) Suspect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspect = true
}

// Suspected says whether the last owner may have shown more than the log has.
func (l *Log) Suspected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspect
}

// Attempt returns the attempt in progress; its number is zero before the first.
func (l *Log) Attempt() Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempt
}

// Append adds the token with the given index of an attempt. A token of another
// attempt, one that is already there and one that would leave a gap are
// ignored; Append says whether it was added.
func (l *Log) Append(attempt uint64, index int, text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if attempt != l.attempt.Number || index != len(l.ends) || l.state != StateRunning {
		return false
	}
	l.text = append(l.text, text...)
	l.ends = append(l.ends, uint32(len(l.text)))
	l.release()
	return true
}

// Finish marks the answer as whole.
func (l *Log) Finish() { l.end(StateDone, nil) }

// Fail ends the answer with an error.
func (l *Log) Fail(err *apierr.Error) { l.end(StateFailed, err) }

// Move ends the log here: its request goes on at another owner. No token is
// taken or shown after it.
func (l *Log) Move() { l.end(StateMoved, nil) }

func (l *Log) end(state State, failed *apierr.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != StateRunning {
		return
	}
	l.state, l.failed = state, failed
	if state == StateMoved {
		close(l.moved)
	}
	l.release()
	l.notify()
}

// Moved is closed when the request goes on at another owner.
func (l *Log) Moved() <-chan struct{} { return l.moved }

// State returns the log's state.
func (l *Log) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Failure returns the error of a log that has failed. While the log has
// nothing to show it waits, for at most the given time.
func (l *Log) Failure(ctx context.Context, wait time.Duration) *apierr.Error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_, _ = l.Read(ctx, l.Count())
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Prior returns the text so far and its number of tokens.
func (l *Log) Prior() (string, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text), len(l.ends)
}

// Count returns the number of tokens so far.
func (l *Log) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends)
}

// Read waits for something after the first from tokens. It returns ctx's
// error when ctx ends first.
func (l *Log) Read(ctx context.Context, from int) (Chunk, error) {
	for {
		chunk, changed := l.after(from)
		if changed == nil {
			return chunk, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Chunk{}, ctx.Err()
		}
	}
}

// after returns the chunk at an offset, or a channel to wait on.
func (l *Log) after(from int) (Chunk, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	chunk := Chunk{}
	if from < l.released {
		chunk = l.slice(from)
	}
	if l.state != StateRunning && (l.released == len(l.ends) || l.state == StateMoved) {
		chunk.State, chunk.Failed = l.state, l.failed
	}
	if chunk.Len() > 0 || chunk.State != StateRunning {
		return chunk, nil
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return chunk, l.changed
}

// slice shares the log's bytes, which never change once they are written.
func (l *Log) slice(from int) Chunk {
	chunk := Chunk{ends: l.ends[from:l.released], branch: l.branch()}
	if from > 0 {
		chunk.start = l.ends[from-1]
	}
	chunk.text = l.text[:l.ends[l.released-1]]
	return chunk
}

func (l *Log) branch() uint64 {
	if len(l.branches) == 0 {
		return 0
	}
	return l.branches[len(l.branches)-1].Epoch
}

// release shows readers what they may see now.
func (l *Log) release() {
	if l.mode != modeLocal {
		fresh := l.mode == modeBehind && time.Now().Before(l.leaseUntil)
		if !fresh || l.ackedAttempt != l.attempt.Number || l.state == StateMoved {
			return
		}
	}
	if l.released < len(l.ends) || l.state != StateRunning {
		l.released = len(l.ends)
		l.notify()
	}
}

func (l *Log) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
