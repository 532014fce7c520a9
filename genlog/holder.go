package genlog

import (
	"sync"
	"time"
)

// LeaseTTL is how long an owner may show tokens that its holder has not
// acknowledged, and how long a holder waits before it lets another host take
// over from an owner that did not leave.
const LeaseTTL = 1500 * time.Millisecond

// Holder keeps the copies of other hosts' requests and decides who owns each:
// it takes progress of the highest epoch only.
type Holder struct {
	retention time.Duration
	mu        sync.Mutex
	copies    map[string]*held
	claims    map[string]claim
}

type held struct {
	Copy
	renewed time.Time
	endedAt time.Time // zero while the answer grows
}

// NewHolder returns a holder that keeps the copy of an ended answer for the
// given time.
func NewHolder(retention time.Duration) *Holder {
	return &Holder{retention: retention, copies: map[string]*held{}, claims: map[string]claim{}}
}

// Create takes a whole copy. Where a copy is there already, a smaller epoch,
// or the same epoch of another owner, is fenced.
func (h *Holder) Create(c Copy) Ack {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := c.Record.RequestID
	old, known := h.copies[id]
	if known && (old.Epoch > c.Epoch || old.Epoch == c.Epoch && old.Owner.ID != c.Owner.ID) {
		return Ack{Status: AckFenced}
	}
	if known && old.Epoch == c.Epoch && old.State != StateMoved && len(old.Ends) > len(c.Ends) {
		return old.ack()
	}
	next := &held{Copy: c, renewed: time.Now()}
	next.noteEnd()
	h.copies[id] = next
	return next.ack()
}

// Append takes an owner's progress and renews its lease.
func (h *Holder) Append(p Progress) Ack {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, known := h.copies[p.RequestID]
	switch {
	case !known:
		return Ack{Status: AckUnknown}
	case c.Epoch != p.Epoch || c.Owner.ID != p.OwnerID:
		return Ack{Status: AckFenced}
	case p.Dropped:
		c.drop()
		return Ack{}
	case c.State == StateMoved:
		return Ack{Status: AckUnknown}
	}
	c.renewed = time.Now()
	if p.Attempt != nil && p.Attempt.Number > c.Attempt.Number {
		c.Attempt, c.Branches = *p.Attempt, p.Branches
	}
	if p.From <= len(c.Ends) && c.State == StateRunning {
		c.take(p)
		c.noteEnd()
	}
	return c.ack()
}

// take adds the tokens that the copy misses.
func (c *held) take(p Progress) {
	offset := uint32(0)
	for i, size := range p.Sizes {
		if p.From+i == len(c.Ends) {
			c.Text = append(c.Text, p.Text[offset:offset+size]...)
			c.Ends = append(c.Ends, uint32(len(c.Text)))
		}
		offset += size
	}
	if p.From+len(p.Sizes) == len(c.Ends) {
		c.State, c.Failed, c.Released = p.State, p.Failed, p.Released || c.Released
	}
}

// drop keeps the epoch alone, so that an older owner stays fenced.
func (c *held) drop() {
	c.State, c.Text, c.Ends, c.Record.Prompt = StateMoved, nil, nil, ""
	c.noteEnd()
}

func (c *held) noteEnd() {
	if c.State != StateRunning && c.endedAt.IsZero() {
		c.endedAt = time.Now()
	}
}

func (c *held) ack() Ack {
	return Ack{Count: len(c.Ends), Attempt: c.Attempt.Number, State: c.State, Released: c.Released}
}

// TakeOverStatus classifies the answer to a take-over.
type TakeOverStatus uint8

// The answers to a take-over.
const (
	TakenOver TakeOverStatus = iota
	// TakeOverUnknown: there is no copy here.
	TakeOverUnknown
	// TakeOverStale: the copy has another epoch than the caller believes.
	TakeOverStale
	// TakeOverOwnerAlive: the owner renewed its lease a short while ago.
	TakeOverOwnerAlive
)

// TakeOver makes another host the owner under the next epoch, when epoch is
// the copy's and its owner left or let its lease lapse. It returns the copy.
func (h *Holder) TakeOver(requestID string, epoch uint64, owner Owner) (Copy, TakeOverStatus) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, known := h.copies[requestID]
	switch {
	case !known:
		return Copy{}, TakeOverUnknown
	case c.Epoch != epoch || c.State != StateRunning:
		return Copy{}, TakeOverStale
	case !c.Released && time.Since(c.renewed) < LeaseTTL:
		return Copy{}, TakeOverOwnerAlive
	}
	result := c.Copy
	result.Epoch, result.Owner = epoch+1, owner
	c.Epoch, c.Owner, c.Released, c.renewed = epoch+1, owner, false, time.Now()
	return result.clone(), TakenOver
}

// Get returns a request's copy.
func (h *Holder) Get(requestID string) (Copy, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, known := h.copies[requestID]
	if !known || c.State == StateMoved {
		return Copy{}, false
	}
	return c.clone(), true
}

// Look returns a request's copy without its text, and the number of its tokens.
func (h *Holder) Look(requestID string) (Copy, int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, known := h.copies[requestID]
	if !known || c.State == StateMoved {
		return Copy{}, 0, false
	}
	out := c.Copy
	out.Text, out.Ends = nil, nil
	return out, len(c.Ends), true
}

// Orphans returns the requests whose owner left or let its lease lapse for
// longer than grace.
func (h *Holder) Orphans(grace time.Duration) []Copy {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Copy
	for _, c := range h.copies {
		if c.State == StateRunning && (c.Released || time.Since(c.renewed) > LeaseTTL+grace) {
			out = append(out, c.Copy)
		}
	}
	return out
}

// Growing returns the copies of the answers that are not whole.
func (h *Holder) Growing() []Copy {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Copy
	for _, c := range h.copies {
		if c.State == StateRunning {
			out = append(out, c.clone())
		}
	}
	return out
}

// Expire drops the copies whose retention has ended, and those whose owner
// and deadline are long gone.
func (h *Holder) Expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, c := range h.copies {
		ended := !c.endedAt.IsZero() && time.Since(c.endedAt) > h.retention
		if ended || time.Since(c.Record.Deadline) > h.retention {
			delete(h.copies, id)
		}
	}
	for id, c := range h.claims {
		if time.Since(c.at) > claimRetention {
			delete(h.claims, id)
		}
	}
}

// clone copies the slices that the holder goes on to append to.
func (c Copy) clone() Copy {
	c.Text, c.Ends = append([]byte(nil), c.Text...), append([]uint32(nil), c.Ends...)
	return c
}
