package genlog

import "time"

// Progress is what a holder misses of a log.
type Progress struct {
	RequestID string `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	// OwnerID may be left out where the message names the owner.
	OwnerID string `cbor:"3,keyasint,omitempty"`
	// From is the index of the first token.
	From int    `cbor:"4,keyasint"`
	Text []byte `cbor:"5,keyasint,omitempty"`
	// Sizes are the lengths of the tokens, in bytes.
	Sizes    []uint32 `cbor:"6,keyasint,omitempty"`
	State    State    `cbor:"7,keyasint,omitempty"`
	Failed   *Failure `cbor:"8,keyasint,omitempty"`
	Attempt  *Attempt `cbor:"9,keyasint,omitempty"`
	Branches []Branch `cbor:"10,keyasint,omitempty"`
	// Released hands the request to the holder.
	Released bool `cbor:"11,keyasint,omitempty"`
	// Dropped says that the owner copies to another holder now.
	Dropped bool `cbor:"12,keyasint,omitempty"`
}

// Ack is a holder's answer to one Progress.
type Ack struct {
	// Status is AckOK, or why nothing was taken.
	Status AckStatus `cbor:"2,keyasint,omitempty"`
	// Count is the number of tokens that the holder has.
	Count int `cbor:"3,keyasint,omitempty"`
	// Attempt is the number of the attempt that the holder knows.
	Attempt uint64 `cbor:"4,keyasint,omitempty"`
	// State is the state that the holder knows.
	State State `cbor:"5,keyasint,omitempty"`
	// Released says that the owner left the request to the holder.
	Released bool `cbor:"6,keyasint,omitempty"`
}

// AckStatus classifies an Ack.
type AckStatus uint8

// The answers of a holder.
const (
	AckOK AckStatus = iota
	// AckFenced: another owner has the request under a higher epoch.
	AckFenced
	// AckUnknown: the holder has no copy.
	AckUnknown
)

// Copied makes the log show its tokens only under the holder's lease.
func (l *Log) Copied(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == modeLocal {
		l.mode = modeBehind
	}
	l.leaseUntil = until
}

// CopyFirst makes the log show a token only once the holder has it.
func (l *Log) CopyFirst() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == modeBehind {
		l.mode = modeStrict
	}
}

// Acknowledge takes a holder's answer to progress that was sent for a lease
// that ends at until.
func (l *Log) Acknowledge(ack Ack, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.leaseUntil) {
		l.leaseUntil = until
	}
	l.ackedAttempt = max(l.ackedAttempt, ack.Attempt)
	if count := min(ack.Count, len(l.ends)); count > l.released && l.state != StateMoved {
		l.released = count
		l.notify()
	}
	l.release()
	if l.released == len(l.ends) && l.state != StateRunning {
		l.notify()
	}
}

// ProgressFrom returns what a holder misses that has the first from tokens
// and knows an attempt by its number.
func (l *Log) ProgressFrom(from int, attempt uint64) Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := Progress{RequestID: l.RequestID, Epoch: l.Epoch, From: from, State: l.state, Failed: FailureOf(l.failed)}
	if from < len(l.ends) {
		start := uint32(0)
		if from > 0 {
			start = l.ends[from-1]
		}
		p.Text = l.text[start:]
		p.Sizes = make([]uint32, 0, len(l.ends)-from)
		for _, end := range l.ends[from:] {
			p.Sizes = append(p.Sizes, end-start)
			start = end
		}
	}
	if l.attempt.Number != attempt {
		p.Attempt = &Attempt{}
		*p.Attempt = l.attempt
		p.Branches = l.branches
	}
	if l.state == StateMoved {
		p.State = StateRunning
	}
	return p
}

// CopyFor returns the whole log as a copy for a new holder.
func (l *Log) CopyFor(owner Owner) Copy {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Copy{
		Record: l.Record, Epoch: l.Epoch, Owner: owner, Text: l.text, Ends: l.ends,
		State: l.state, Failed: FailureOf(l.failed), Attempt: l.attempt, Branches: l.branches,
	}
	if c.State == StateMoved {
		c.State = StateRunning
	}
	return c
}

// Again returns a log that carries a failed one on from its text, under the
// next epoch.
func (l *Log) Again(record Record, owner Owner) *Log {
	c := l.CopyFor(owner).clone()
	c.Record, c.Epoch, c.State, c.Failed = record, l.Epoch+1, StateRunning, nil
	return NewLogFromCopy(c)
}

// Behind says whether a caller has read from a newer owner than this log's.
func (l *Log) Behind(seen uint64) bool { return seen > l.Epoch }

// SetBranches replaces the branches of a log that follows another one.
func (l *Log) SetBranches(branches []Branch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.branches = branches
}

// Branches returns the log's branches, which are not changed in place.
func (l *Log) Branches() []Branch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.branches
}

// Extends says whether the log holds what a caller has that saw the tokens
// before from, the last of them after the branch of epoch seen.
func (l *Log) Extends(seen uint64, from int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return extends(l.branches, seen, from)
}
