package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// probeInterval is the time between two probes; each probe checks one successor.
	probeInterval = time.Second
	probeTimeout  = 700 * time.Millisecond
	// indirectProbeCount is the number of members that probe a target on behalf
	// of this host when the direct probe fails.
	indirectProbeCount = 2
	// suspicionTimeout is the time from suspicion until a member that did not
	// refute it is declared dead.
	suspicionTimeout = 15 * time.Second
	// longSuspicionTimeout is how long a suspected member stays in View.Members.
	longSuspicionTimeout = 4 * time.Second
	// isolatedSuspicionTimeout replaces suspicionTimeout while no successor
	// answers, because then this host itself may be cut off.
	isolatedSuspicionTimeout = time.Minute
	// pauseThreshold is the delay that indicates a pause: if a probe round exceeds
	// its timeouts by more than this, the host assumes that it was paused.
	pauseThreshold = time.Second
	// endedRetention is how long this host keeps the record of an ended member and
	// retries that member if it is dead.
	endedRetention = 2 * time.Hour
	// deadRetryInterval is the time between two attempts to reach a dead member.
	deadRetryInterval = 5 * time.Second
	flushTimeout      = 500 * time.Millisecond
)

// Probes counts probes by their outcome.
var Probes = metrics.New("member_probes_total", "Probes of entry hosts, by outcome.")

const (
	labelAnswered    = "answered"
	labelAnsweredVia = "answered_via"
	labelUnanswered  = "unanswered"
	labelOwnPause    = "own_pause"
	labelDeadRetry   = "dead_tried"
)

// detector is the failure detector: the state of this host's probe loop.
type detector struct {
	*Registry
	lastProbed      int // index in View.neighbours of the last probed successor
	unansweredInRow int // unanswered probes since the last answered one
	lastDeadRetry   time.Duration
}

// probeLoop probes one successor per probeInterval, expires suspected and ended
// members and retries dead ones until ctx ends.
func (r *Registry) probeLoop(ctx context.Context) {
	d := &detector{Registry: r}
	ticker := wait.NewTicker(probeInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.beforeTick()
		d.advanceClock(time.Since(last))
		last = time.Now()
		d.probeNext(ctx)
		d.expireMembers()
		d.retryDead(ctx)
	}
}

// advanceClock adds the time since the last probe round to unpausedTime, unless this
// host was paused in between.
func (d *detector) advanceClock(elapsed time.Duration) {
	if limit := 2*probeTimeout + probeInterval + pauseThreshold; elapsed > limit {
		events.OwnPause.Log(d.Logger, "elapsed", elapsed.String())
		elapsed = 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unpausedTime += elapsed
}

// probeNext probes the next successor, directly and then through other members,
// and marks it suspect if no probe is answered.
func (d *detector) probeNext(ctx context.Context) {
	view := d.View()
	if len(view.neighbours) == 0 {
		return
	}
	d.lastProbed = (d.lastProbed + 1) % len(view.neighbours)
	target := view.neighbours[d.lastProbed]
	start := time.Now()
	answered := d.probe(ctx, target)
	label := labelAnswered
	if !answered {
		answered = d.probeIndirectly(ctx, view, target)
		label = labelAnsweredVia
	}
	if !answered {
		label = labelUnanswered
		if time.Since(start) > 2*probeTimeout+pauseThreshold {
			label = labelOwnPause
		}
	}
	Probes.Inc(label)
	if answered {
		d.unansweredInRow = 0
	}
	if label == labelUnanswered && ctx.Err() == nil {
		d.unansweredInRow++
		d.suspect(target)
	}
}

// suspect publishes that a member is suspect, unless a newer record of the member
// has arrived since the probe started.
func (d *detector) suspect(target Member) {
	d.mu.Lock()
	now := d.members[target.ID]
	d.mu.Unlock()
	if now.State == StateAlive && now.Incarnation == target.Incarnation {
		now.State = StateSuspect
		d.publish(now)
	}
}

// probe sends a probe to a member and reports whether that member answered.
func (r *Registry) probe(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply probeReply
	message := probe{To: target.ID, ToVersion: target.version(), From: r.Options.Self.ID}
	if r.Transport.Call(ctx, target.InnerAddress, inner.KindProbe, message, &reply) != nil || reply.ID != target.ID {
		return false
	}
	r.observeOwnVersion(reply.FromVersion)
	return true
}

// observeOwnVersion raises this host's incarnation and publishes its record again if
// another host holds a newer version of that record.
func (r *Registry) observeOwnVersion(version uint64) {
	r.mu.Lock()
	refuted := false
	if version > r.self.version() {
		r.self.Incarnation = incarnationOf(version) + 1
		refuted = true
	}
	self := r.self
	r.mu.Unlock()
	if refuted {
		r.publish(self)
	}
}

// probeIndirectly has up to indirectProbeCount other successors probe a member
// and reports whether one of them received an answer.
func (d *detector) probeIndirectly(ctx context.Context, view *View, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	message := probeVia{To: target.ID, Address: target.InnerAddress, Version: target.version()}
	asked := 0
	answers := make(chan bool, indirectProbeCount)
	for _, i := range rand.Perm(len(view.neighbours)) {
		if via := view.neighbours[i]; asked < indirectProbeCount && via.ID != target.ID {
			asked++
			go func() {
				var reply probeViaReply
				err := d.Transport.Call(ctx, via.InnerAddress, inner.KindIndirectProbe, message, &reply)
				answers <- err == nil && reply.Answered
			}()
		}
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

// refutationTimeout returns how long a suspected member may take to refute the
// suspicion. It is longer while no successor answers, as this host may be isolated.
func (d *detector) refutationTimeout() time.Duration {
	if d.unansweredInRow >= max(2, len(d.View().neighbours)) {
		return isolatedSuspicionTimeout
	}
	return suspicionTimeout
}

// expireMembers declares suspected members dead if they did not refute in time, and
// removes the records of members that ended at least endedRetention ago.
func (d *detector) expireMembers() {
	timeout := d.refutationTimeout()
	var dead []Member
	d.mu.Lock()
	for id, m := range d.members {
		age := d.unpausedTime - d.changedAt[id]
		if d.longSuspected(m) {
			d.view.Store(nil)
		}
		switch {
		case m.State == StateSuspect && age >= timeout:
			dead = append(dead, m)
		case !m.maybeRunning() && age >= endedRetention:
			delete(d.members, id)
			delete(d.changedAt, id)
			d.Table.Remove(m.recordName())
		}
	}
	d.mu.Unlock()
	for _, m := range dead {
		m.State = StateDead
		d.publish(m)
	}
}

// retryDead exchanges records with one random dead member per deadRetryInterval.
// A region or host that was cut off rejoins through this exchange.
func (d *detector) retryDead(ctx context.Context) {
	d.mu.Lock()
	due := d.unpausedTime-d.lastDeadRetry >= deadRetryInterval
	var dead []Member
	for _, m := range d.members {
		if m.State == StateDead {
			dead = append(dead, m)
		}
	}
	if due {
		d.lastDeadRetry = d.unpausedTime
	}
	d.mu.Unlock()
	if !due || len(dead) == 0 {
		return
	}
	Probes.Inc(labelDeadRetry)
	target := dead[rand.IntN(len(dead))]
	go d.spreader.ExchangeAll(ctx, target.InnerAddress)
}

// serveProbe answers a probe with this host's id and the version that this host holds
// of the sender's record.
func (r *Registry) serveProbe(_ context.Context, req probe) (probeReply, error) {
	self := r.Self()
	if req.To == self.ID {
		r.observeOwnVersion(req.ToVersion)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return probeReply{ID: self.ID, FromVersion: r.members[req.From].version()}, nil
}

// serveProbeVia probes a member on behalf of another host.
func (r *Registry) serveProbeVia(ctx context.Context, req probeVia) (probeViaReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	target := Member{ID: req.To, InnerAddress: req.Address, Incarnation: incarnationOf(req.Version)}
	return probeViaReply{Answered: r.probe(ctx, target)}, nil
}
