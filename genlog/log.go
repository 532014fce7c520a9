// Package genlog stores the generated text of accepted requests for as long as their callers may
// read it. Each request has an append-only log of tokens on the entry host that runs the request
// (its owner). Any number of readers can read the log from any offset. A second host (the holder),
// in another failure domain where there is one, stores a copy of the log.
//
// Package reclaim finds, takes over and runs requests.
package genlog

import (
	"context"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/apierr"
)

// State is the state of the answer to one request. The zero value is StateRunning.
type State uint8

// These are the states of an answer. StateMoved means that another host has continued the request,
// so this log neither grows nor serves readers any more.
const (
	StateRunning State = iota
	StateDone
	StateFailed
	StateMoved
)

// mode determines when readers may see a token of a log.
type mode uint8

const (
	// modeLocal shows a token at once, because the log has no copy.
	modeLocal mode = iota
	// modeLeased shows a token before the holder has it, but only while the owner's lease lasts.
	modeLeased
	// modeCopyFirst shows a token only after the holder has acknowledged it.
	modeCopyFirst
)

// Log is the growing answer to one request. One goroutine appends tokens; many may read them.
type Log struct {
	// Record is the request, and Epoch is the number of its current ownership period. Both are
	// constant during the life of the log.
	Record
	Epoch uint64

	mu       sync.Mutex
	text     []byte
	ends     []uint32 // end offset of each token in text, in bytes
	visible  int      // number of tokens that readers may see
	state    State
	failed   *apierr.Error
	attempt  Attempt
	branches []Branch
	suspect  bool

	mode         mode
	leaseUntil   time.Time
	ackedAttempt uint64

	changed chan struct{} // closed when the log changes; nil while no reader waits
	moved   chan struct{} // closed when the state becomes StateMoved
}

// NewLog returns an empty log for a request, with epoch 1.
func NewLog(record Record) *Log {
	return &Log{Record: record, Epoch: 1, moved: make(chan struct{})}
}

// NewLogFromCopy returns a log that continues the copied one, with the copy's epoch.
func NewLogFromCopy(c Copy) *Log {
	return &Log{
		Record: c.Record, Epoch: c.Epoch, moved: make(chan struct{}),
		text: c.Text, ends: c.Ends, visible: len(c.Ends), state: c.State, failed: c.Failed.APIError(),
		attempt: c.Attempt, ackedAttempt: c.Attempt.Number, branches: c.Branches,
	}
}

// BeginAttempt starts a new attempt (one run of the request at one engine) and returns its number.
// From then on the log accepts tokens of this attempt only. If the log has a copy, readers see the
// tokens after the holder has acknowledged the attempt.
func (l *Log) BeginAttempt(host, address, streamID string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempt = Attempt{Number: l.attempt.Number + 1, Host: host, Address: address, StreamID: streamID}
	return l.attempt.Number
}

// RecordBranch records that the tokens after the current end of the log may differ from tokens that
// an earlier owner showed to callers but did not copy to the holder.
func (l *Log) RecordBranch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspect = false
	l.branches = append(l.branches[:len(l.branches):len(l.branches)], Branch{Epoch: l.Epoch, Start: len(l.ends)})
}

// MarkPreviousOwnerAhead records that the previous owner may have shown callers tokens that this
// log lacks.
func (l *Log) MarkPreviousOwnerAhead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspect = true
}

// PreviousOwnerMayBeAhead reports whether the previous owner may have shown callers tokens that
// this log lacks.
func (l *Log) PreviousOwnerMayBeAhead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspect
}

// Attempt returns the current attempt. Its number is zero before the first attempt.
func (l *Log) Attempt() Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempt
}

// Append adds the token with the given index and reports whether it did. It ignores a token of an
// attempt other than the current one, a token that the log already has, a token that would leave a
// gap, and every token once the log is no longer running.
func (l *Log) Append(attempt uint64, index int, text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if attempt != l.attempt.Number || index != len(l.ends) || l.state != StateRunning {
		return false
	}
	l.text = append(l.text, text...)
	l.ends = append(l.ends, uint32(len(l.text)))
	l.updateVisible()
	return true
}

// Finish marks the answer as complete.
func (l *Log) Finish() { l.end(StateDone, nil) }

// Fail marks the answer as failed with the given error.
func (l *Log) Fail(err *apierr.Error) { l.end(StateFailed, err) }

// Move marks the request as continued by another owner. From then on this log accepts no tokens and
// shows readers no further ones.
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
	l.updateVisible()
	l.notify()
}

// Moved returns a channel that is closed when another owner continues the request.
func (l *Log) Moved() <-chan struct{} { return l.moved }

// State returns the current state of the answer.
func (l *Log) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Failure returns the error of a failed log, or nil. It first waits until the log has ended or
// shows a token beyond its current length, for at most the given time.
func (l *Log) Failure(ctx context.Context, wait time.Duration) *apierr.Error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_, _ = l.Read(ctx, l.Count())
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Text returns the text of all tokens in the log and their number.
func (l *Log) Text() (string, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text), len(l.ends)
}

// Count returns the number of tokens in the log, visible to readers or not.
func (l *Log) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends)
}

// Read returns the visible tokens from index from on. It blocks until there is at least one or the
// answer has ended. It returns the error of ctx when ctx ends first.
func (l *Log) Read(ctx context.Context, from int) (Chunk, error) {
	for {
		chunk, changed := l.chunkFrom(from)
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

// chunkFrom returns the visible tokens from an index on. When there are none and the answer has not
// ended, it returns a channel that is closed at the next change.
func (l *Log) chunkFrom(from int) (Chunk, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	chunk := Chunk{}
	if from < l.visible {
		chunk = l.slice(from)
	}
	if l.state != StateRunning && (l.visible == len(l.ends) || l.state == StateMoved) {
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

// slice returns the visible tokens from an index on. The chunk shares memory with the log, which is
// safe because bytes of the log never change after they are appended.
func (l *Log) slice(from int) Chunk {
	chunk := Chunk{ends: l.ends[from:l.visible], branch: l.lastBranchEpoch()}
	if from > 0 {
		chunk.start = l.ends[from-1]
	}
	chunk.text = l.text[:l.ends[l.visible-1]]
	return chunk
}

func (l *Log) lastBranchEpoch() uint64 {
	if len(l.branches) == 0 {
		return 0
	}
	return l.branches[len(l.branches)-1].Epoch
}

// updateVisible makes the tokens visible that the mode permits readers to see now, and wakes the
// readers.
func (l *Log) updateVisible() {
	if l.mode != modeLocal {
		leaseValid := l.mode == modeLeased && time.Now().Before(l.leaseUntil)
		if !leaseValid || l.ackedAttempt != l.attempt.Number || l.state == StateMoved {
			return
		}
	}
	if l.visible < len(l.ends) || l.state != StateRunning {
		l.visible = len(l.ends)
		l.notify()
	}
}

func (l *Log) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
