package forward

import (
	"strconv"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/upstream/condition"
)

// Announcements counts conditions that upstreams announced and that were news to this host.
var Announcements = metrics.New("forward_announcements_total", "Conditions that upstreams announced in their answers and that were news to this host, by condition and source.")

// How this host learned a condition; also part of the labels of the Announcements counter.
const (
	sourceAnswer = "answer"
	sourcePeers  = "peers"
)

// closedError is the cause of an attempt that was not sent because the upstream takes no requests.
type closedError struct{}

// Error implements error.
func (closedError) Error() string { return "the upstream takes no requests from this host now" }

var errClosed = closedError{}

func runOf(h hosts.Host) condition.Run { return condition.Run{ID: h.ID, StartedMS: h.StartedMS} }

// nextOpening returns the time until the first upstream of a pool takes requests of this host again;
// zero if one of them takes requests now or none ever will.
func (f *Forwarder) nextOpening(pool string, now time.Time) time.Duration {
	list := f.Upstreams()
	if list == nil || f.conditions.Empty() {
		return 0
	}
	var earliest time.Time
	for _, h := range list.Pool(pool) {
		if h.State != hosts.StateLive || f.conditions.Leaving(runOf(h)) {
			continue
		}
		until, closed := f.conditions.ClosedUntil(runOf(h), now)
		if !closed {
			return 0
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return max(0, earliest.Sub(now))
}

// stillListed reports whether the upstream is still listed as live if the list has changed since it
// was chosen.
func (f *Forwarder) stillListed(t selectedUpstream) bool {
	list := f.Upstreams()
	if list == t.list || list == nil {
		return true
	}
	listed, live := list.Live(t.Pool, t.ID)
	return live && listed.Address == t.Address
}

// admits reports whether a request to an upstream that was chosen may be sent now.
func (f *Forwarder) admits(t selectedUpstream) bool {
	run, now := runOf(t.Host), time.Now()
	if _, limited := f.conditions.LimitOf(run, now); limited && !t.permitted {
		return false
	}
	_, paused := f.conditions.PausedUntil(run, now)
	return !paused && !f.conditions.Leaving(run) && f.stillListed(t)
}

// takePermit asks for a permit if the upstream names a limit. It returns false if the request must not be
// sent; until the host may ask again, the upstream is closed.
func (e *exchange) takePermit(h hosts.Host) (permitted, ok bool) {
	rate, limited := e.f.conditions.LimitOf(runOf(h), time.Now())
	if !limited {
		return false, true
	}
	retryAfter, ok := e.f.Permits.Permit(e.ctx, h.ID+"/"+strconv.FormatInt(h.StartedMS, 10), rate)
	if !ok {
		now := time.Now()
		e.f.conditions.Defer(runOf(h), now.Add(retryAfter), now)
	}
	return ok, ok
}

// noteAnnouncements records what an upstream announces in the head of an answer to a request that was
// sent at the given time.
func (f *Forwarder) noteAnnouncements(h hosts.Host, m AnswerMetadata, sentAt time.Time) {
	if m.WrongInstance {
		return // the answer of another upstream
	}
	if m.Leaving {
		f.noteLeaving(h, sourceAnswer)
	}
	run, now := runOf(h), time.Now()
	switch {
	case m.Limited:
		if f.conditions.Limit(run, m.RateLimit, now) {
			Announcements.Inc("limited_" + sourceAnswer)
			events.ForwardLimit.Log(f.Logger, "upstream", h.ID, "upstream_started_ms", h.StartedMS, "limited", true, "per_s", m.RateLimit)
		}
	case f.conditions.EndLimit(run, sentAt, now):
		events.ForwardLimit.Log(f.Logger, "upstream", h.ID, "upstream_started_ms", h.StartedMS, "limited", false)
	}
	if m.RetryAfter > 0 && f.conditions.Pause(run, m.RetryAfter, now) {
		Announcements.Inc("paused_" + sourceAnswer)
		events.ForwardPause.Log(f.Logger, "upstream", h.ID, "upstream_started_ms", h.StartedMS, "pause_ms", m.RetryAfter.Milliseconds())
	}
}

// noteLeaving records that an upstream has announced that it leaves.
func (f *Forwarder) noteLeaving(h hosts.Host, source string) {
	if !f.conditions.Leave(runOf(h), time.Now()) {
		return
	}
	Announcements.Inc("leaving_" + source)
	events.ForwardNotice.Log(f.Logger, "upstream", h.ID, "upstream_started_ms", h.StartedMS, "condition", "leaving", "listed", string(h.State), "source", source)
}

// Keys under which hosts share the numbers of upstreams with conditions.
var (
	anyLeavingKey = loadshare.UpstreamHash("leaving")
	anyLimitKey   = loadshare.UpstreamHash("limit")
)

// rateScale converts limits to thousandths, the unit in which hosts exchange them.
const rateScale = 1000

// conditionKey is the key under which hosts share a condition of a run of an upstream.
func conditionKey(condition string, h hosts.Host) uint32 {
	return loadshare.UpstreamHash(condition + "/" + h.ID + "/" + strconv.FormatInt(h.StartedMS, 10))
}

// localConditions returns the conditions that this host shares with the others, encoded as loads: which
// upstreams leave, and the limits that they named in answers to this host.
func (f *Forwarder) localConditions(now time.Time) []loadshare.Load {
	if f.conditions.Empty() {
		return nil
	}
	var out []loadshare.Load
	leaving, limited := int64(0), int64(0)
	f.eachLive(func(h hosts.Host, _ *routing.UpstreamStats) {
		if f.conditions.Leaving(runOf(h)) {
			leaving++
			out = append(out, loadshare.Load{Upstream: conditionKey("leaving", h), InFlight: 1})
		}
		if rate, ok := f.conditions.OwnLimit(runOf(h), now); ok {
			limited++
			out = append(out, loadshare.Load{Upstream: conditionKey("limit", h), PendingPromptTokens: int64(rate * rateScale), InFlight: 1})
		}
	})
	if leaving > 0 {
		out = append(out, loadshare.Load{Upstream: anyLeavingKey, InFlight: leaving})
	}
	if limited > 0 {
		out = append(out, loadshare.Load{Upstream: anyLimitKey, InFlight: limited})
	}
	return out
}

// applyPeerConditions records the conditions that other hosts share. Of different limits for one upstream, the
// mean is used.
func (f *Forwarder) applyPeerConditions(byKey map[uint32]loadshare.Load) {
	someLeave, someLimited := byKey[anyLeavingKey].InFlight > 0, byKey[anyLimitKey].InFlight > 0
	if !someLeave && !someLimited {
		return
	}
	now := time.Now()
	f.eachLive(func(h hosts.Host, _ *routing.UpstreamStats) {
		if byKey[conditionKey("leaving", h)].InFlight > 0 {
			f.noteLeaving(h, sourcePeers)
		}
		if l := byKey[conditionKey("limit", h)]; l.InFlight > 0 {
			f.conditions.ShareLimit(runOf(h), float64(l.PendingPromptTokens)/float64(l.InFlight)/rateScale, now)
		}
	})
}
