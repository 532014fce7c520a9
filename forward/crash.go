package forward

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/quarantine"
	"github.com/cardamompier/cardamompier/upstream/connpool"
)

const (
	// crashCheckTimeout bounds the check whether the process of an upstream has ended. A
	// machine whose process has ended refuses a connection within one round trip.
	crashCheckTimeout = 150 * time.Millisecond
	// crashCheckValidity is how long the result of a check is used for other requests at
	// the same upstream.
	crashCheckValidity = 500 * time.Millisecond
	// minSilence is how long an upstream must have sent nothing when an attempt is abandoned for the
	// upstream to be checked.
	minSilence = 500 * time.Millisecond
	// answeredAfter is how long a stream must go on after its first event to prove that its
	// content does not crash the upstream.
	answeredAfter = 100 * time.Millisecond
	// maxPartKeys limits the prompt parts by which a request is tracked: the last ones, beside
	// the key of the whole request.
	maxPartKeys = quarantine.MaxKeys - 1
)

// contentKeys returns the keys of the content that may crash upstreams: the prompt parts
// that other requests may share, and the request as a whole, which its caller may repeat.
func (e *exchange) contentKeys() []quarantine.Key {
	digest := xxhash.New()
	for _, text := range []string{e.r.Method, e.r.Host, requestTarget(e.r), e.accountName()} {
		_, _ = digest.WriteString(text + "\x00")
	}
	for _, block := range e.body {
		_, _ = digest.Write(block)
	}
	keys := []quarantine.Key{quarantine.Key(digest.Sum64())}
	if n := len(e.meta.Prompt); n > 1 {
		for _, part := range e.meta.Prompt[max(0, n-1-maxPartKeys) : n-1] {
			keys = append(keys, quarantine.Key(part.Digest))
		}
	}
	return keys
}

// accountName returns the name of the client account; empty for none.
func (e *exchange) accountName() string {
	if e.account == nil {
		return ""
	}
	return e.account.Name
}

// quarantined returns the refusal of a request whose content is quarantined because it
// crashes upstreams, and nil for any other request. The refusal has a status after which the
// caller may try again, because the quarantine ends.
func (e *exchange) quarantined() *apierr.Error {
	if e.inTrial && e.possibleRuns == 0 {
		return nil
	}
	now := time.Now()
	until, refused := e.f.Crashes.Refused(e.keys, now)
	if !refused {
		e.inTrial = !until.IsZero()
		return nil
	}
	refusal := apierr.New(apierr.CodeQuarantined, "requests with this content crash the upstreams that run them")
	if e.possibleRuns > 0 {
		return refusal.WithRan(apierr.RanUnknown)
	}
	return refusal.WithRetryAfter(max(until.Sub(now), minTrialRetryAfter))
}

// Withdraw ends the attempts of the requests with quarantined content that wait at upstreams,
// so that the upstreams drop them from their queues. It does not block.
func (f *Forwarder) Withdraw(set quarantine.Set) {
	f.exchanges.Range(func(key, _ any) bool {
		if e := key.(*exchange); set.In(e.keys) && e.waiting.CompareAndSwap(true, false) {
			Withdrawals.Inc(e.pool)
			e.cancel(errWithdrawn)
		}
		return true
	})
}

// withdrawn reports whether Withdraw has ended the request.
func (e *exchange) withdrawn() bool { return errors.Is(context.Cause(e.ctx), errWithdrawn) }

// withdrawnError is the cause of a context that Withdraw ended.
type withdrawnError struct{}

// Error implements error.
func (withdrawnError) Error() string { return "the request's content was quarantined while it waited" }

var errWithdrawn = withdrawnError{}

// minTrialRetryAfter is the Retry-After time while a trial of quarantined content is under
// way or due at another host.
const minTrialRetryAfter = time.Second

// reportBegun reports, once per request, that an upstream has begun an answer at the given time
// and did not crash, so that the prompt parts are not the cause of earlier crashes. The request
// as a whole may still end the upstream before its answer is complete.
func (e *exchange) reportBegun(at time.Time) {
	if !e.begunReported {
		e.begunReported = true
		e.f.Crashes.Answered(e.keys[1:], at)
	}
}

// reportAnswered reports that an upstream's answer is complete.
func (e *exchange) reportAnswered() { e.f.Crashes.Answered(e.keys, time.Now()) }

// reportLoss handles an attempt that ended with the given error before a whole event or answer
// arrived, at the given upstream. It reports the loss unless the upstream announced its end.
// begun is whether the upstream had begun its answer; reportLoss then waits for the check and
// returns whether the request may have caused the crash, so that it must not be sent again.
func (e *exchange) reportLoss(t selectedUpstream, begun bool, cause error) (suspect bool) {
	if e.abandoned() {
		e.reportBroken(t)
		return false
	}
	c := e.crashAt(t)
	c.Begun = begun
	var head *connpool.HeadError
	answered := errors.As(cause, &head) && head.Whole()
	if !begun {
		go e.f.reportCrash(t.Host, c, e.meta.RequestID, answered)
		return false
	}
	return e.f.reportCrash(t.Host, c, e.meta.RequestID, answered) && !e.f.Crashes.Proven(e.keys[1:])
}

// reportBroken reports an answer that broke off after a part of it was relayed, and an attempt that was
// abandoned while the upstream was silent. It does not block. Other requests, at the start of their
// answers, are likelier causes of a crash, so that it counts as a loss only. The upstream of an
// abandoned attempt may be slow: it counts only if its machine opens no connection either.
func (e *exchange) reportBroken(t selectedUpstream) {
	abandoned := e.abandoned()
	if abandoned && (e.withdrawn() || e.stopping() || time.Since(e.heardAt) < minSilence) {
		return
	}
	c := e.crashAt(t)
	go func() {
		reached, _, counts := e.f.examine(t.Host)
		counts = counts && (!abandoned || reached != connpool.Opened)
		if counts {
			e.f.Crashes.AddLoss(c)
		}
		e.f.logLoss(t.Host, c, e.meta.RequestID, reached, counts)
	}()
}

// abandoned reports whether the request ended by its deadline, by its caller or by a quarantine.
func (e *exchange) abandoned() bool { return e.ctx.Err() != nil }

// crashAt returns the evidence that an attempt at an upstream ended now. It is called once for each such
// attempt.
func (e *exchange) crashAt(t selectedUpstream) quarantine.Crash {
	return e.f.Crashes.Ended(quarantine.Crash{
		Upstream: xxhash.Sum64String(upstreamKey(t.Host)), At: time.Now(), SentAt: e.sentAt, Account: xxhash.Sum64String(e.accountName()), Keys: e.keys,
	})
}

// reportCrash adds the evidence of a lost attempt and returns whether the upstream's process has
// ended for certain. An upstream that answered, though not validly, and still opens connections
// has not crashed.
func (f *Forwarder) reportCrash(h hosts.Host, c quarantine.Crash, requestID string, answered bool) bool {
	reached, ended, counts := f.examine(h)
	counts = counts && (!answered || ended || reached != connpool.Opened)
	if counts {
		f.Crashes.AddLoss(c)
	}
	if !ended {
		f.logLoss(h, c, requestID, reached, counts)
		return false
	}
	f.Crashes.Add(c)
	known, counted := f.Crashes.Evidence(c.Keys[0])
	events.UpstreamCrash.Log(f.Logger, "id", requestID, "upstream", h.ID, "upstream_started_ms", h.StartedMS, "begun", c.Begun, "keys", c.Keys,
		"known", known, "counted", counted)
	return true
}

// examine checks an upstream at which an attempt was lost. reached is how its machine reacts to a new
// connection; empty if the upstream has announced its end. ended is whether its process has ended for
// certain: it refuses connections, or another run of it is listed. counts is whether the loss may have
// been caused by the request.
func (f *Forwarder) examine(h hosts.Host) (reached connpool.Reachability, ended, counts bool) {
	list := f.Upstreams()
	if list == nil || list.Departed(h) || f.conditions.Leaving(runOf(h)) {
		return "", false, false
	}
	record, listed := list.Find(h.Pool, h.ID)
	restarted := listed && record.StartedMS != h.StartedMS
	if listed && !restarted && record.State == hosts.StateLeaving {
		return "", false, false
	}
	reached = f.probe(h.Address)
	if reached == connpool.Silent && !f.Crashes.Connected(time.Now()) {
		return reached, false, false // the links of this host may be cut
	}
	// The record of an upstream that is not listed any more has expired, or the upstream leaves without
	// having announced it.
	return reached, restarted || listed && reached == connpool.Refused, true
}

// logLoss logs an attempt that ended without an answer and is no proof of a crash. reached is
// empty if the upstream has announced its end.
func (f *Forwarder) logLoss(h hosts.Host, c quarantine.Crash, requestID string, reached connpool.Reachability, counts bool) {
	events.UpstreamLoss.Log(f.Logger, "id", requestID, "upstream", h.ID, "upstream_started_ms", h.StartedMS, "begun", c.Begun, "reached", string(reached), "counts", counts, "keys", c.Keys)
}

// endChecks holds the newest checks of the ends of upstream processes, by address. The zero
// value is ready to use.
type endChecks struct {
	mu     sync.Mutex
	checks map[string]*endCheck
}

// endCheck is one check; reached is valid when done is closed.
type endCheck struct {
	done    chan struct{}
	at      time.Time
	reached connpool.Reachability
}

// probe returns how the machine at an address reacts to a new connection. If it refuses, the
// upstream's process has ended. If it is silent, the link to it may be cut. Concurrent calls
// for one address share a check.
func (f *Forwarder) probe(address string) connpool.Reachability {
	f.endChecks.mu.Lock()
	check := f.endChecks.checks[address]
	if check == nil || time.Since(check.at) > crashCheckValidity {
		check = &endCheck{done: make(chan struct{}), at: time.Now()}
		if f.endChecks.checks == nil || len(f.endChecks.checks) >= maxEndChecks {
			f.endChecks.checks = map[string]*endCheck{}
		}
		f.endChecks.checks[address] = check
		go func() {
			defer close(check.done)
			ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
			defer cancel()
			check.reached = f.conns.Probe(ctx, address)
		}()
	}
	f.endChecks.mu.Unlock()
	<-check.done
	return check.reached
}

// maxEndChecks limits the checks that are kept.
const maxEndChecks = 256

// suspectError is the cause of a request that is not sent again because it may have crashed
// its upstream.
type suspectError struct{ cause error }

// Error implements error.
func (e *suspectError) Error() string {
	return "the upstream crashed at the start of its answer: " + e.cause.Error()
}

// Unwrap returns the error with which the attempt failed.
func (e *suspectError) Unwrap() error { return e.cause }

// isSuspect reports whether an attempt failed with a suspectError.
func isSuspect(err error) bool {
	var suspect *suspectError
	return errors.As(err, &suspect)
}
