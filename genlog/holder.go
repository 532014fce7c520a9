package genlog

import (
	"sync"
	"time"
)

// LeaseTTL is the duration of an owner's lease from its holder. During the lease the owner may show
// callers tokens that the holder has not acknowledged, and the holder rejects take-overs by other
// hosts, unless the owner has handed the request over.
const LeaseTTL = 1500 * time.Millisecond

// Holder stores copies of other hosts' requests and decides which host owns each of them. It
// accepts updates only from the owner of the highest epoch.
type Holder struct {
	retention time.Duration
	mu        sync.Mutex
	copies    map[string]*heldCopy
	claims    map[string]claim
}

// heldCopy is a stored copy with its lease and retention times.
type heldCopy struct {
	Copy
	renewed time.Time // when the owner last renewed its lease
	endedAt time.Time // zero while the answer is incomplete
}

// NewHolder returns an empty holder that retains the copy of an ended answer for the given time.
func NewHolder(retention time.Duration) *Holder {
	return &Holder{retention: retention, copies: map[string]*heldCopy{}, claims: map[string]claim{}}
}

// Create stores a whole copy. If the holder has a copy of the same request, Create returns
// AckFenced for a lower epoch and for the same epoch of another owner, and ignores a copy of the
// same epoch with fewer tokens.
func (h *Holder) Create(c Copy) Ack {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := c.Record.RequestID
	existing, known := h.copies[id]
	if known && (existing.Epoch > c.Epoch || existing.Epoch == c.Epoch && existing.Owner.ID != c.Owner.ID) {
		return Ack{Status: AckFenced}
	}
	if known && existing.Epoch == c.Epoch && existing.State != StateMoved && len(existing.Ends) > len(c.Ends) {
		return existing.ack()
	}
	next := &heldCopy{Copy: c, renewed: time.Now()}
	next.recordEnd()
	h.copies[id] = next
	return next.ack()
}

// Append applies an owner's update to the copy and renews the owner's lease. It returns AckFenced
// to a host that is not the owner.
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
		c.appendMissing(p)
		c.recordEnd()
	}
	return c.ack()
}

// appendMissing adds the tokens of an update that the copy lacks.
func (c *heldCopy) appendMissing(p Progress) {
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

// drop deletes the text of the copy. The epoch remains, so that an older owner is still rejected.
func (c *heldCopy) drop() {
	c.State, c.Text, c.Ends, c.Record.Prompt = StateMoved, nil, nil, ""
	c.recordEnd()
}

func (c *heldCopy) recordEnd() {
	if c.State != StateRunning && c.endedAt.IsZero() {
		c.endedAt = time.Now()
	}
}

func (c *heldCopy) ack() Ack {
	return Ack{Count: len(c.Ends), Attempt: c.Attempt.Number, State: c.State, Released: c.Released}
}

// TakeOverStatus is the result of a take-over. The zero value is TakenOver.
type TakeOverStatus uint8

// These are the results of a take-over.
const (
	TakenOver TakeOverStatus = iota
	// TakeOverUnknown means that the holder has no copy of the request.
	TakeOverUnknown
	// TakeOverStale means that the copy has an epoch other than the caller's, or the answer has
	// ended.
	TakeOverStale
	// TakeOverOwnerAlive means that the lease of the current owner has not expired.
	TakeOverOwnerAlive
)

// TakeOver makes another host the owner of a request, with the next epoch, and returns the copy. It
// succeeds only if epoch equals the copy's, the answer has not ended, and the previous owner has
// handed the request over or its lease has expired.
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

// Get returns the copy of a request, or false if there is none.
func (h *Holder) Get(requestID string) (Copy, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, known := h.copies[requestID]
	if !known || c.State == StateMoved {
		return Copy{}, false
	}
	return c.clone(), true
}

// GetWithoutText returns the copy of a request without its text, and the number of its tokens.
func (h *Holder) GetWithoutText(requestID string) (Copy, int, bool) {
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

// Ownerless returns the running requests whose owner has handed them over, or whose owner's lease
// expired more than grace ago.
func (h *Holder) Ownerless(grace time.Duration) []Copy {
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

// Running returns the copies of the answers that are not yet complete.
func (h *Holder) Running() []Copy {
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

// Expire deletes the claims and copies whose retention has ended. The retention of a copy counts
// from the end of its answer or from the request's deadline, whichever comes first.
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
		if time.Since(c.claimedAt) > claimRetention {
			delete(h.claims, id)
		}
	}
}

// clone returns a copy with its own Text and Ends, because the holder appends to the original
// slices.
func (c Copy) clone() Copy {
	c.Text, c.Ends = append([]byte(nil), c.Text...), append([]uint32(nil), c.Ends...)
	return c
}
