package agent

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/rollout"
)

// Directives is the message of inner.KindRolloutDirective, from the coordinator to a host.
type Directives struct {
	// Fence is the fencing number of the coordinator's term. Seq numbers the coordinator's messages to all hosts.
	Fence uint64 `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`
	// Process and Stamp repeat those of the host's last answer. Directives of the canary phase are valid for
	// directiveTTL from Stamp on, by the clock of the host: a message that was delayed, or that waited while the
	// host was suspended, is not valid for longer than one that was not.
	Process string        `cbor:"3,keyasint,omitempty"`
	Stamp   time.Duration `cbor:"4,keyasint,omitempty"`
	Pools   []Directive   `cbor:"5,keyasint"`
}

// Directive is what the coordinator orders for one pool.
type Directive struct {
	Order rollout.Order `cbor:"1,keyasint"`
	// Base is the revision of the order since which the evidence counts.
	Base   uint64   `cbor:"2,keyasint"`
	Old    []string `cbor:"3,keyasint,omitempty"`
	Barred []string `cbor:"4,keyasint,omitempty"`
	// Phase, Open, Step, Withdraw and BadAnswers are those of rollout.Decision.
	Phase      rollout.Phase `cbor:"5,keyasint"`
	Open       bool          `cbor:"6,keyasint,omitempty"`
	Step       float64       `cbor:"7,keyasint,omitempty"`
	Withdraw   bool          `cbor:"8,keyasint,omitempty"`
	BadAnswers int64         `cbor:"9,keyasint,omitempty"`
	// Halt is why the target is bad by the evidence of all hosts while the final phase is not stored yet.
	Halt string `cbor:"10,keyasint,omitempty"`
	// Done reports that the outcome is stored and published.
	Done bool `cbor:"11,keyasint,omitempty"`
}

// Answer is a host's answer to Directives.
type Answer struct {
	Process string        `cbor:"1,keyasint"`
	Stamp   time.Duration `cbor:"2,keyasint"`
	// Fence is the greatest fencing number that the host has seen.
	Fence uint64 `cbor:"3,keyasint"`
	// Reports holds one report for each pool of the directives.
	Reports []PoolReport `cbor:"4,keyasint"`
}

// PoolReport is a host's report on one pool.
type PoolReport struct {
	Pool   string             `cbor:"1,keyasint"`
	Report rollout.HostReport `cbor:"2,keyasint"`
}

// Codes of the inner.Failure with which a host refuses directives.
const (
	// CodeStaleFence means that the host has seen directives of a later term.
	CodeStaleFence = "stale_fence"
	// CodeStaleSeq means that the host has seen later directives of the same term.
	CodeStaleSeq = "stale_seq"
)

// Serve registers the handler of directives.
func (a *Agent) Serve(server *inner.Server) {
	inner.Register(server, inner.KindRolloutDirective, a.Handle)
}

// Handle applies directives and returns this host's reports. Its errors are of type *inner.Failure.
func (a *Agent) Handle(_ context.Context, m Directives) (Answer, error) {
	stamp := a.Elapsed()
	if code := a.refuses(m); code != "" {
		return Answer{}, &inner.Failure{Code: code}
	}
	answer := Answer{Process: a.process, Stamp: stamp, Fence: m.Fence}
	for _, d := range m.Pools {
		if err := d.validate(); err != nil {
			events.RolloutInvalid.Log(a.Logger, "source", "directive", "error", err)
			continue
		}
		p := a.pool(d.Order.Pool)
		expires := time.Duration(0)
		if m.Process == a.process {
			expires = m.Stamp + directiveTTL
		}
		p.applyDirective(d, expires)
		answer.Reports = append(answer.Reports, PoolReport{Pool: p.name, Report: p.report()})
	}
	return answer, nil
}

// refuses returns the code with which this host refuses directives, or an empty one.
func (a *Agent) refuses(m Directives) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case m.Fence < a.fence:
		return CodeStaleFence
	case m.Fence == a.fence && m.Seq <= a.seq:
		return CodeStaleSeq
	}
	a.fence, a.seq = m.Fence, m.Seq
	return ""
}

// maxVersionNames limits the versions that a directive names.
const maxVersionNames = 64

// DirectiveError reports a directive or a stored record with a field that is missing or out of range.
type DirectiveError struct {
	Pool, Field string
	Cause       error
}

// Error returns the pool, the field and the cause.
func (e *DirectiveError) Error() string {
	msg := "roll-out directive for " + e.Pool + ": field " + e.Field
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause, or nil.
func (e *DirectiveError) Unwrap() error { return e.Cause }

// validate returns a *DirectiveError if a field is missing or out of range.
func (d Directive) validate() error {
	invalid := func(field string, cause error) error {
		return &DirectiveError{Pool: d.Order.Pool, Field: field, Cause: cause}
	}
	err := d.Order.Validate()
	switch {
	case err != nil:
		return invalid("order", err)
	case d.Order.Revision == 0 || d.Base == 0 || d.Base > d.Order.Revision:
		return invalid("revision", nil)
	case !d.Phase.Valid():
		return invalid("phase", nil)
	case !(d.Step >= 0 && d.Step <= 1):
		return invalid("step", nil)
	case len(d.Old) > maxVersionNames || len(d.Barred) > maxVersionNames:
		return invalid("versions", nil)
	}
	return nil
}

// applyDirective puts a directive in force. expires is when one of the canary phase loses its validity.
func (p *pool) applyDirective(d Directive, expires time.Duration) {
	withdraw := false
	p.change(func(s *state) bool {
		if !p.adopt(s, d) {
			return false
		}
		s.heardAt, s.expires = p.agent.Elapsed(), expires
		s.open, s.step, s.bad = d.Open, d.Step, d.BadAnswers
		if s.stopped != "" && d.Halt == "" && expires-directiveTTL >= s.stoppedAt {
			// The coordinator knows the evidence of this host and of all others.
			events.RolloutResumed.Log(p.agent.Logger, "pool", p.name, "target", s.order.Target, "revision", s.order.Revision, "reason", s.stopped)
			s.stopped = ""
		}
		if d.Halt != "" && s.stopped == "" {
			s.stopped, s.stoppedAt = d.Halt, p.agent.Elapsed()
			events.RolloutStopped.Log(p.agent.Logger, "pool", p.name, "target", s.order.Target, "revision", s.order.Revision, "reason", d.Halt)
		}
		withdraw = d.Withdraw && s.phase == rollout.PhasePromoting
		return true
	})
	if withdraw {
		p.withdraw()
	}
}

// adopt takes over the order, the phase and the versions of a directive or a record. It returns false if they are
// older than what this host knows.
func (p *pool) adopt(s *state, d Directive) bool {
	if d.Order.Revision < s.order.Revision || s.replacedBefore(d.Order) {
		return false
	}
	if d.Order.Revision > s.order.Revision {
		s.replaceOrder(d.Order, p.agent.Now(), p.agent.Bounds)
	}
	if d.Base != s.base && !s.restoredBefore(d) { // the coordinator decides whether a repeated order keeps the evidence
		s.base, s.recorder = d.Base, &rollout.Recorder{}
		s.stopped, s.phase = "", ""
		s.credit = rollout.NewCredit(p.agent.Bounds)
	}
	s.old, s.barred = d.Old, d.Barred
	s.done = s.done || d.Done
	if !d.Phase.Follows(s.phase) {
		return true
	}
	if s.phase != d.Phase {
		p.enter(s, d.Phase)
	}
	return true
}

// enter changes the phase of a roll-out.
func (p *pool) enter(s *state, next rollout.Phase) {
	events.RolloutApplied.Log(p.agent.Logger, "pool", p.name, "target", s.order.Target, "revision", s.order.Revision, "phase", string(next), "before", string(s.phase))
	Applied.Inc(string(next))
	s.phase = next
	switch next {
	case rollout.PhasePromoting:
		s.promotedAt = p.agent.Elapsed()
	case rollout.PhaseComplete:
		p.known = map[string]bool{s.order.Target: true}
		for _, version := range s.old {
			delete(p.firstSeen, version)
		}
	case rollout.PhaseRolledBack:
		delete(p.known, s.order.Target)
	}
}

// withdraw moves the resumable streams from old upstreams to the target.
func (p *pool) withdraw() {
	target := p.current.Load().state.order.Target
	if n := p.agent.Withdraw(p.name, func(h hosts.Host) bool { return h.Version != target }); n > 0 {
		events.RolloutWithdrawn.Log(p.agent.Logger, "pool", p.name, "target", target, "streams", n)
	}
}

// report returns this host's report on the pool.
func (p *pool) report() rollout.HostReport {
	s := p.current.Load().state // before the requests in flight are read, see Send
	r := rollout.HostReport{Host: p.agent.Host, Process: p.agent.process, Applied: s.phase, Revision: s.order.Revision, Stored: s.phase, Base: s.base}
	switch {
	case s.stopped != "" && !s.phase.Final():
		r.Applied = rollout.PhaseRolledBack
	case s.phase == rollout.PhasePromoting && s.promotedShare(p.agent.Elapsed()) < 1:
		r.Applied = rollout.PhaseCanary // some requests still go to old upstreams
	}
	r.AtOld, r.ResumableAtOld, r.AtTarget = p.inFlightAt(s.order.Target)
	if s.recorder != nil {
		r.Evidence = s.recorder.Snapshot()
	}
	return r
}
