package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/rollout/agent"
	"github.com/cardamompier/cardamompier/routes"
	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/upstream/connpool"
)

// Moves counts streams that were withdrawn from upstreams of an old version, by upstream pool.
var Moves = metrics.New("forward_version_moves_total", "Streams withdrawn from upstreams of an old version to be resumed at the new one, by upstream pool.")

// Versions restricts which upstreams get requests while a pool's upstreams are replaced by those of another
// version. Package rollout/agent implements it.
type Versions interface {
	// Choose returns which upstreams of a pool the next attempt may use, by id: those of first and, if none of
	// them can be chosen, those of then. If first is nil, all may be used; if then is nil, there is no
	// second choice.
	Choose(pool string, list *hosts.Snapshot) (first, then func(id string) bool)
	// Send is called before the first byte of an attempt is written. It returns false if the attempt must not be
	// sent. Otherwise the caller calls End of the returned attempt when the attempt has ended.
	Send(h hosts.Host, route string, resumable bool) (*agent.Attempt, bool)
}

var _ Versions = (*agent.Agent)(nil)

// versionedSend is one attempt of a request while Config.Versions is set.
type versionedSend struct {
	host      hosts.Host
	ctx       context.Context // of the attempt
	cancel    context.CancelCauseFunc
	resumable bool           // whether another upstream may continue the answer
	use       *agent.Attempt // nil until the attempt is sent
	begun     bool           // whether an event of its answer has arrived
}

// movedError is the cause of the context of an attempt that WithdrawStreams ended.
type movedError struct{}

// Error implements error.
func (movedError) Error() string { return "the stream continues at an upstream of another version" }

var errMoved = movedError{}

// pickByVersion selects an upstream by the policy among those that Config.Versions allows.
func (e *exchange) pickByVersion(policy routing.Policy, v *poolView, req *routing.Request, random uint64) routing.Choice {
	first, then := e.f.Versions.Choose(e.pool, v.source)
	if first == nil {
		return policy.Pick(v.snapshot, req, random)
	}
	closed := req.Closed
	choice := routing.Choice{Index: -1, Reason: routing.ReasonNone}
	for _, allowed := range []func(string) bool{first, then} {
		if choice.Index >= 0 || allowed == nil {
			continue
		}
		req.Closed = func(id string) bool { return !allowed(id) || closed != nil && closed(id) }
		choice = policy.Pick(v.snapshot, req, random)
	}
	return choice
}

// prepareVersion ends the previous attempt and returns the context for an attempt at t.
func (e *exchange) prepareVersion(t selectedUpstream) context.Context {
	e.endVersion()
	if e.f.Versions == nil {
		return e.ctx
	}
	s := &versionedSend{host: t.Host, resumable: e.route.Kind == routes.ResumableStream && e.possibleRuns+1 < e.route.MaxAttempts}
	s.ctx, s.cancel = context.WithCancelCause(e.ctx)
	e.versioned = s
	return s.ctx
}

// admitsVersion is the last check before an attempt is sent. It reports whether Config.Versions allows it.
func (e *exchange) admitsVersion() bool {
	s := e.versioned
	if s == nil {
		return true
	}
	use, ok := e.f.Versions.Send(s.host, e.route.Name, s.resumable)
	if !ok {
		return false
	}
	s.use = use
	e.movable.Store(s)
	return true
}

// endVersion ends the current attempt for Config.Versions, if there is one.
func (e *exchange) endVersion() {
	if s := e.versioned; s != nil {
		e.versioned = nil
		e.movable.Store(nil)
		s.use.End()
		s.cancel(nil)
	}
}

// recordVersion records how the current attempt ended or that its answer began, as evidence on the version of
// its upstream. It records nothing if the attempt was ended by the caller or by this host, as that is no
// evidence on the upstream.
func (e *exchange) recordVersion(failed bool) {
	s := e.versioned
	if s == nil || e.r.Context().Err() != nil || e.withdrawn() || e.stopping() || e.moved() {
		return
	}
	s.use.Record(failed, time.Since(e.sentAt))
}

// recordWhole records the outcome of an attempt with an answer that is not an event stream. As evidence on the
// version, an empty answer counts as failed.
func (e *exchange) recordWhole(t selectedUpstream, a *connpool.Answer, failed bool, bodyLen int) {
	t.live.RecordOutcome(failed, time.Now())
	empty := bodyLen == 0 && a.StatusCode == http.StatusOK && e.r.Method != http.MethodHead
	e.recordVersion(failed || empty)
}

// closeBroken closes an answer that is broken or not marked as an answer of the upstream.
func (e *exchange) closeBroken(a *connpool.Answer) {
	a.Close(false)
	e.recordVersion(true)
}

// recordStreamEnd records that a stream has ended without an error after the given number of events. One without any
// counts as failed.
func (e *exchange) recordStreamEnd(received int) {
	if s := e.versioned; s != nil && received == 0 {
		s.begun = true
		e.recordVersion(true)
	}
}

// recordStreamBegun records, once for each attempt, that an event of a stream has arrived.
func (e *exchange) recordStreamBegun() {
	if s := e.versioned; s != nil && !s.begun {
		s.begun = true
		e.recordVersion(false)
	}
}

// noteStreamEnd records that a stream broke off, unless WithdrawStreams has ended it. It then returns true, and
// the next attempt of the request is charged to no retry budget, as WithdrawStreams has charged it.
func (e *exchange) noteStreamEnd(t selectedUpstream) (moved bool) {
	if e.moved() {
		e.retryReserved = true
		return true
	}
	e.recordVersion(true)
	if e.ctx.Err() == nil {
		t.live.RecordOutcome(true, time.Now())
		t.live.Fail(time.Now())
	}
	return false
}

// classifyMoved is classifyFailure for an attempt that WithdrawStreams has ended. sent is whether the upstream
// may have run the request.
func (e *exchange) classifyMoved(sent bool) (outcome, error) {
	e.retryReserved = true
	if !sent {
		return attemptUnsent, errMoved
	}
	e.sends++
	e.possibleRuns++
	return attemptFailed, errMoved
}

// moved reports whether WithdrawStreams has ended the current attempt.
func (e *exchange) moved() bool {
	return e.versioned != nil && errors.Is(context.Cause(e.versioned.ctx), errMoved)
}

// WithdrawStreams ends the attempts at the upstreams of a pool for which old returns true whose answers another
// upstream can continue. They are resumed elsewhere. An attempt for which the retry budget of the pool is used
// up goes on. It returns the number of withdrawn attempts.
func (f *Forwarder) WithdrawStreams(pool string, old func(hosts.Host) bool) int {
	withdrawn := 0
	f.exchanges.Range(func(key, _ any) bool {
		e := key.(*exchange)
		s := e.movable.Load()
		if s == nil || !s.resumable || s.host.Pool != pool || !old(s.host) {
			return true
		}
		if !f.repeats.Allow(pool, f.Hosts(), clock.SinceBoot()).Allowed {
			return false
		}
		if e.movable.CompareAndSwap(s, nil) {
			withdrawn++
			s.cancel(errMoved)
		}
		return true
	})
	if withdrawn > 0 {
		Moves.Add(pool, int64(withdrawn))
	}
	return withdrawn
}

// versionField returns the log field with the version of an upstream; none while Config.Versions is not set.
func (e *exchange) versionField(t selectedUpstream) []any {
	if e.f.Versions == nil {
		return nil
	}
	return []any{"version", t.Version}
}
