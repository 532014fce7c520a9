package membudget

import (
	"sync/atomic"
	"time"
)

// Phase is what a holder, a caller's connection, does.
type Phase int32

// The phases of a caller's connection.
const (
	// PhaseIdle: it waits for its next request.
	PhaseIdle Phase = iota
	// PhaseHead: the head of a request is read, or no byte has arrived yet.
	PhaseHead
	// PhaseBody: the body of a request is read.
	PhaseBody
	// PhaseRunning: the whole request was read and is served.
	PhaseRunning
	// PhaseEnding: the request was answered, and the rest of its body is read.
	PhaseEnding
	// PhasePeer: the connection carries messages between hosts.
	PhasePeer
)

// ShedReason is the reason for which a caller was shed.
type ShedReason string

// The reasons for which a caller is shed.
const (
	// ShedMemory: the memory for callers was used up.
	ShedMemory ShedReason = "memory"
	// ShedConnections: the connections of callers were used up.
	ShedConnections ShedReason = "connections"
	// ShedSilent: the caller sent nothing of its request, or read nothing of its answer, for too long.
	ShedSilent ShedReason = "silent"
)

// Holder is what one caller's connection holds of a budget. A nil Holder charges nothing. Use Budget.Open.
type Holder struct {
	budget *Budget
	shard  *shard
	caller string
	group  any
	base   int64
	opened time.Time
	shed   func(ShedReason)

	held    atomic.Int64
	moved   atomic.Int64 // bytes received and sent
	phase   atomic.Int32
	changes atomic.Int64 // changes of the phase
	served  atomic.Int64 // requests that were answered
	writing atomic.Bool  // whether a part of an answer waits until its caller reads
	wasShed atomic.Pointer[ShedReason]

	seenMoved, seenChanges int64        // used only by Budget.Observe
	progressAt, phaseAt    atomic.Int64 // last progress and last change of the phase that were observed, in Unix ns
}

// Grow charges bytes before they are allocated. If the budget is used up, other holders are shed, or Grow returns an
// *ExhaustedError after at most 100 ms.
func (h *Holder) Grow(n int64) error {
	if h == nil || h.budget.charge(h, n) {
		return nil
	}
	return h.budget.chargeByShedding(h, n)
}

// Force charges bytes also when the budget is used up, for a request that has run and must be answered. Other holders
// are then shed without a wait for what they give back.
func (h *Holder) Force(n int64) {
	if h == nil || h.budget.charge(h, n) {
		return
	}
	h.budget.held.Add(n)
	h.addHeld(n)
	if h.budget.shedding.TryLock() {
		h.budget.shedFor(h, n)
		h.budget.shedding.Unlock()
	}
}

// addHeld adds to what the holder holds, without a check of the budget.
func (h *Holder) addHeld(n int64) {
	for {
		old := h.held.Load()
		if h.held.CompareAndSwap(old, old+n) {
			h.budget.large.Add(excess(old+n) - excess(old))
			return
		}
	}
}

// Shrink gives back bytes.
func (h *Holder) Shrink(n int64) {
	if h != nil {
		h.budget.release(h, n)
	}
}

// Reset gives back all bytes but those that Open charged.
func (h *Holder) Reset() {
	if extra := h.held.Load() - h.base; extra > 0 {
		h.budget.release(h, extra)
	}
}

// Close gives back all bytes and removes the holder from the budget. It may be called again.
func (h *Holder) Close() {
	h.shard.mu.Lock()
	_, open := h.shard.holders[h]
	delete(h.shard.holders, h)
	h.shard.mu.Unlock()
	if open {
		h.budget.release(h, h.held.Load())
	}
}

// Begin sets the phase.
func (h *Holder) Begin(p Phase) {
	if h == nil {
		return
	}
	if Phase(h.phase.Swap(int32(p))) != p {
		h.changes.Add(1)
	}
	if p == PhaseIdle {
		h.served.Add(1)
	}
}

// Phase returns the phase.
func (h *Holder) Phase() Phase {
	if h == nil {
		return PhaseIdle
	}
	return Phase(h.phase.Load())
}

// Moved records bytes that were received or sent, which is progress.
func (h *Holder) Moved(n int) { h.moved.Add(int64(n)) }

// Writing records whether a part of an answer is being written.
func (h *Holder) Writing(writing bool) { h.writing.Store(writing) }

// Shed sheds the holder, unless it was shed before.
func (h *Holder) Shed(reason ShedReason) {
	if h.wasShed.CompareAndSwap(nil, &reason) {
		h.shed(reason)
	}
}

// WasShed returns whether the holder was shed.
func (h *Holder) WasShed() bool { return h != nil && h.wasShed.Load() != nil }

// ShedFor returns the reason for which the holder was shed; empty if it was not.
func (h *Holder) ShedFor() ShedReason {
	if !h.WasShed() {
		return ""
	}
	return *h.wasShed.Load()
}

// large returns whether the holder would hold more than SmallBytes with n more.
func (h *Holder) large(n int64) bool { return h.held.Load()+n > SmallBytes }

// observe updates the times of the last progress and of the last change of the phase.
func (h *Holder) observe(now time.Time) Candidate {
	if moved, changes := h.moved.Load(), h.changes.Load(); moved != h.seenMoved || changes != h.seenChanges {
		if changes != h.seenChanges {
			h.phaseAt.Store(now.UnixNano())
		}
		h.seenMoved, h.seenChanges = moved, changes
		h.progressAt.Store(now.UnixNano())
	}
	return h.candidate(now)
}

// candidate returns the state of the holder for the decision whom to shed.
func (h *Holder) candidate(now time.Time) Candidate {
	since := func(unix *atomic.Int64) time.Duration {
		return now.Sub(time.Unix(0, max(unix.Load(), h.opened.UnixNano())))
	}
	return Candidate{
		Phase: h.Phase(), Writing: h.writing.Load(), Held: h.held.Load(), Moved: h.moved.Load(), Served: h.served.Load(),
		Age: now.Sub(h.opened), Stalled: since(&h.progressAt), InPhase: since(&h.phaseAt), Caller: h.caller,
	}
}
