package membudget

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is the state of a holder that may be shed.
type Candidate struct {
	Phase   Phase
	Writing bool
	// Held is the memory that it holds, and Moved what it has received and sent, in bytes.
	Held, Moved int64
	// Served is the number of requests that were answered.
	Served int64
	// Age is the time since it was opened, Stalled since its last progress and InPhase since its phase began.
	Age, Stalled, InPhase time.Duration
	// Caller identifies the caller, who may have several holders.
	Caller string
}

const (
	// stallTime is the time without progress after which an unfinished request may be shed. A caller within the limits
	// that pauses longer is shed only while memory is used up.
	stallTime = 500 * time.Millisecond
	// youngTime is the age up to which an unfinished request that makes progress is not shed.
	youngTime = time.Second
	// idleTime is the time after which an idle connection may be shed for memory or connections. Callers use idle
	// connections again, and cannot know whether a request ran that they sent when it was closed.
	idleTime = 2 * time.Second
)

// rank orders the candidates that may be shed: the lower, the sooner.
type rank int

const (
	rankStalled rank = iota // an unfinished request, or an answer that is not read, without progress
	rankUnused              // a connection that has sent nothing
	rankIdle                // an idle connection; other hosts open theirs again
	rankSlow                // an unfinished request that makes progress
	rankNever               // a request that runs, or is too young
)

// unfinished returns whether the candidate holds memory because of what its caller has yet to do.
func (c Candidate) unfinished() bool {
	return c.Phase == PhaseHead || c.Phase == PhaseBody || c.Phase == PhaseEnding || c.Writing
}

func (c Candidate) rank() rank {
	switch {
	case c.Phase == PhaseHead && c.Moved == 0 && c.Stalled >= stallTime:
		return rankUnused
	case c.unfinished() && c.Stalled >= stallTime:
		return rankStalled
	case (c.Phase == PhaseIdle || c.Phase == PhasePeer) && c.Stalled >= idleTime:
		return rankIdle
	case c.unfinished() && !c.Writing && c.InPhase >= youngTime:
		return rankSlow
	default:
		return rankNever
	}
}

// rate returns the bytes received and sent per second of the candidate's age.
func (c Candidate) rate() float64 { return float64(c.Moved) / max(c.Age.Seconds(), 0.001) }

// Choose returns the indices of the candidates that are shed so that need bytes become free. Those without progress
// come first, of the callers that hold the most; requests that run are never shed. For a large request no request is
// shed that makes progress: it would gain what the other loses.
func Choose(candidates []Candidate, need int64, large bool) []int {
	last := rankSlow
	if large {
		last = rankStalled
	}
	heldBy := map[string]int64{}
	var order []int
	for i, c := range candidates {
		heldBy[c.Caller] += c.Held
		if c.rank() <= last {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := candidates[i], candidates[j]
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(heldBy[b.Caller], heldBy[a.Caller]),
			cmp.Compare(a.rate(), b.rate()), cmp.Compare(b.Stalled, a.Stalled))
	})
	for n, i := range order {
		if need -= candidates[i].Held; need <= 0 {
			return order[:n+1]
		}
	}
	return order
}
