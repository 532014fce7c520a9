package genlog

import "time"

// Progress is an update from a request's owner to the holder of its copy: the tokens and the state
// that the copy lacks.
type Progress struct {
	RequestID string `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	// OwnerID is the id of the owner that sends the update. It is empty where the enclosing message
	// names the sender.
	OwnerID string `cbor:"3,keyasint,omitempty"`
	// From is the index of the first token in Text.
	From int    `cbor:"4,keyasint"`
	Text []byte `cbor:"5,keyasint,omitempty"`
	// Sizes holds the length of each token in Text, in bytes.
	Sizes    []uint32 `cbor:"6,keyasint,omitempty"`
	State    State    `cbor:"7,keyasint,omitempty"`
	Failed   *Failure `cbor:"8,keyasint,omitempty"`
	Attempt  *Attempt `cbor:"9,keyasint,omitempty"`
	Branches []Branch `cbor:"10,keyasint,omitempty"`
	// Released reports that the owner has stopped running the request and hands it over to the
	// holder.
	Released bool `cbor:"11,keyasint,omitempty"`
	// Dropped reports that the owner now copies to another holder.
	Dropped bool `cbor:"12,keyasint,omitempty"`
}

// Ack is a holder's answer to one Progress or one whole copy.
type Ack struct {
	// Status is AckOK, or the reason for which the holder rejected the update.
	Status AckStatus `cbor:"2,keyasint,omitempty"`
	// Count is the number of tokens in the holder's copy.
	Count int `cbor:"3,keyasint,omitempty"`
	// Attempt is the number of the newest attempt recorded in the holder's copy.
	Attempt uint64 `cbor:"4,keyasint,omitempty"`
	// State is the state of the answer in the holder's copy.
	State State `cbor:"5,keyasint,omitempty"`
	// Released reports that the holder has recorded the owner's handover of the request.
	Released bool `cbor:"6,keyasint,omitempty"`
}

// AckStatus is the result of an update to a holder. The zero value is AckOK.
type AckStatus uint8

// These are the results of an update to a holder.
const (
	AckOK AckStatus = iota
	// AckFenced means that another host owns the request, so the sender must stop running it.
	AckFenced
	// AckUnknown means that the holder has no copy of the request.
	AckUnknown
)

// SetCopyLease records that a holder has a copy of the log. From then on readers see tokens that
// the holder has not acknowledged only during the owner's lease, which ends at until.
func (l *Log) SetCopyLease(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == modeLocal {
		l.mode = modeLeased
	}
	l.leaseUntil = until
}

// RequireAckBeforeRead makes each token visible to readers only after the holder has acknowledged
// it. It has no effect on a log without a copy.
func (l *Log) RequireAckBeforeRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == modeLeased {
		l.mode = modeCopyFirst
	}
}

// Acknowledge applies a holder's answer to an update: it extends the owner's lease to until, unless
// the lease already ends later, and makes the acknowledged tokens visible to readers.
func (l *Log) Acknowledge(ack Ack, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.leaseUntil) {
		l.leaseUntil = until
	}
	l.ackedAttempt = max(l.ackedAttempt, ack.Attempt)
	if count := min(ack.Count, len(l.ends)); count > l.visible && l.state != StateMoved {
		l.visible = count
		l.notify()
	}
	l.updateVisible()
	if l.visible == len(l.ends) && l.state != StateRunning {
		l.notify()
	}
}

// ProgressFrom returns the update for a holder whose copy has the first from tokens and the given
// attempt number. It includes the attempt and the branches only when the attempt number differs.
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

// CopyFor returns the whole log as a copy for a new holder, with owner as its owner. The copy
// shares memory with the log.
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

// ContinueAfterFailure returns a running log that continues a failed one after its last token, with
// the next epoch. It replaces the request by record.
func (l *Log) ContinueAfterFailure(record Record, owner Owner) *Log {
	c := l.CopyFor(owner).clone()
	c.Record, c.Epoch, c.State, c.Failed = record, l.Epoch+1, StateRunning, nil
	return NewLogFromCopy(c)
}

// SupersededFor reports whether a caller has read tokens of a later epoch than this log's, which
// means that a newer owner exists. The argument seen is the epoch of the last branch that the
// caller has read.
func (l *Log) SupersededFor(seen uint64) bool { return seen > l.Epoch }

// SetBranches replaces the branches of a log that mirrors the log of another host.
func (l *Log) SetBranches(branches []Branch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.branches = branches
}

// Branches returns the branches of the log. The caller must not modify the slice.
func (l *Log) Branches() []Branch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.branches
}

// Extends reports whether the log begins with the text that a caller has read: the tokens before
// index from, where the last branch that the caller has read has the epoch seen.
func (l *Log) Extends(seen uint64, from int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return extends(l.branches, seen, from)
}
