package forward

import (
	"strconv"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/metrics"
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

// closed reports whether a run of an upstream has announced that it takes no requests from this host
// now.
func (f *Forwarder) closed(r condition.Run) bool {
	_, paused := f.conditions.PausedUntil(r, time.Now())
	return paused || f.conditions.Leaving(r)
}

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
		until, paused := f.conditions.PausedUntil(runOf(h), now)
		if !paused {
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

// noteAnnouncements records what an upstream announces in the head of an answer.
func (f *Forwarder) noteAnnouncements(h hosts.Host, m AnswerMetadata) {
	if m.Leaving {
		f.noteLeaving(h, sourceAnswer)
	}
	if m.Limited {
		events.ForwardLimit.Log(f.Logger, "upstream", h.ID, "upstream_started_ms", h.StartedMS, "per_s", m.RateLimit, "source", sourceAnswer)
	}
	if m.RetryAfter > 0 && f.conditions.Pause(runOf(h), m.RetryAfter, time.Now()) {
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

// anyLeavingKey is the key under which hosts share the number of upstreams that leave.
var anyLeavingKey = loadshare.UpstreamHash("leaving")

// leavingKey is the key under which hosts share that a run of an upstream leaves.
func leavingKey(h hosts.Host) uint32 {
	return loadshare.UpstreamHash("leaving/" + h.ID + "/" + strconv.FormatInt(h.StartedMS, 10))
}
