package membership

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/gossip"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
)

// Changes counts state changes of members by the new state, and members that
// started to leave.
var Changes = metrics.New("member_changes_total", "Changes of entry hosts, by the new state.")

const labelLeaving = "leaving"

// Options are the settings and dependencies of a Registry.
type Options struct {
	Self Member
	// Seeds are inner addresses that a joining host contacts before it reads the
	// stored seeds; may be empty.
	Seeds []string
	Store kv.Store
	// Table stores the member records among other values and spreads them by gossip.
	Table     *gossip.Table
	Transport inner.Transport
	Logger    hclog.Logger
}

// Registry holds this host's copy of the membership and runs this host's probes.
// Create it with New.
type Registry struct {
	Options
	spreader *gossip.Spreader
	view     atomic.Pointer[View] // cached by View; nil after a change
	joined   atomic.Bool

	mu           sync.Mutex
	self         Member
	members      map[string]Member
	changedAt    map[string]time.Duration // value of unpausedTime at the last change, by member id
	unpausedTime time.Duration            // time since the start, excluding pauses of this host

	// beforeTick runs before each round of the probe loop; tests block in it to
	// simulate a pause of this host.
	beforeTick func()
}

// New returns a registry with a record of this host only.
func New(options Options) *Registry {
	r := &Registry{
		Options: options, self: options.Self,
		members: map[string]Member{}, changedAt: map[string]time.Duration{}, beforeTick: func() {},
	}
	r.self.Incarnation = uint64(time.Now().UnixMilli())
	r.spreader = gossip.NewSpreader(r.Table, r.self.InnerAddress, r.Transport, r.neighbours)
	r.Table.SubscribePrefix(recordPrefix, r.applyRecord)
	r.Table.Filter(r.accepts)
	r.publish(r.self)
	return r
}

// Register registers the handlers of gossip and probe messages on server.
func (r *Registry) Register(server *inner.Server) {
	r.spreader.Register(server)
	inner.Register(server, inner.KindProbe, r.serveProbe)
	inner.Register(server, inner.KindIndirectProbe, r.serveProbeVia)
}

// View returns the current view of the members.
func (r *Registry) View() *View {
	if v := r.view.Load(); v != nil {
		return v
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var readAt time.Time
	if r.joined.Load() {
		readAt = time.Now()
	}
	all := lo.Filter(lo.Values(r.members), func(m Member, _ int) bool { return m.maybeRunning() })
	v := newView(all, r.longSuspected, r.self.ID, readAt)
	r.view.Store(v)
	return v
}

// longSuspected reports whether a member has been suspect for longSuspicionTimeout.
// The caller must hold r.mu.
func (r *Registry) longSuspected(m Member) bool {
	return m.State == StateSuspect && r.unpausedTime-r.changedAt[m.ID] >= longSuspicionTimeout
}

// Self returns this host's own record.
func (r *Registry) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Joined reports whether this host has reached another member, or has added itself
// to the stored seeds because no seed answered.
func (r *Registry) Joined() bool { return r.joined.Load() }

// Run joins the membership and participates in it until ctx ends. If Leave was
// called, Run then publishes that this host has left.
func (r *Registry) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { r.spreader.Run(ctx) })
	running.Go(func() { r.probeLoop(ctx) })
	running.Go(func() { r.seedLoop(ctx) })
	running.Wait()
	if self := r.Self(); self.Leaving {
		self.State = StateLeft
		r.publish(self)
		r.flush(context.Background())
	}
}

// Leave announces that this host accepts no new work. It returns after sending the
// announcement to the neighbours, or after flushTimeout.
func (r *Registry) Leave(ctx context.Context) {
	r.mu.Lock()
	r.self.Leaving = true
	r.self.Incarnation++
	self := r.self
	r.mu.Unlock()
	r.publish(self)
	r.flush(ctx)
}

// flush sends unsent values to the neighbours, for at most flushTimeout.
func (r *Registry) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	r.spreader.Flush(ctx)
}

// publish stores a member record in the gossip table, which spreads it.
func (r *Registry) publish(m Member) {
	value, err := cbor.Marshal(m)
	if err != nil {
		panic("membership: cannot encode a member record: " + err.Error())
	}
	r.Table.Set(m.recordName(), m.version(), value)
}

// neighbours returns the inner addresses of the members that this host sends
// gossip to.
func (r *Registry) neighbours() []string {
	v := r.View()
	out := make([]string, 0, len(v.neighbours))
	for _, m := range v.neighbours {
		out = append(out, m.InnerAddress)
	}
	return out
}

// accepts reports whether a gossip item may be stored. It rejects records of ended
// members that this host has removed, because hosts that remove a record at different
// times would otherwise send it back to each other.
func (r *Registry) accepts(item gossip.Item) bool {
	if !strings.HasPrefix(item.Name, recordPrefix) {
		return true
	}
	m, ok := decodeMember(item)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.members[m.ID]
	return known || m.maybeRunning() || m.ID == r.self.ID
}

// applyRecord stores a newer record of a member, and refutes a record of this host
// that another host made.
func (r *Registry) applyRecord(item gossip.Item) {
	m, ok := decodeMember(item)
	if !ok {
		return
	}
	r.mu.Lock()
	old, known := r.members[m.ID]
	r.members[m.ID] = m
	r.changedAt[m.ID] = r.unpausedTime
	refuted := r.refute(m)
	self := r.self
	r.view.Store(nil)
	r.mu.Unlock()
	if refuted {
		events.MemberRefuted.Log(r.Logger, "said", m.State.String(), "incarnation", self.Incarnation)
		r.publish(self)
		return
	}
	r.handleChange(old, known, m)
}

// refute raises this host's incarnation if m is a newer record of this host that
// another host published, and reports whether it did. It does not refute the record
// that this host has left.
func (r *Registry) refute(m Member) bool {
	own := r.self.version()
	if m.ID != r.self.ID || m.version() <= own || (m.State == StateLeft && r.self.Leaving && m.Incarnation == r.self.Incarnation) {
		return false
	}
	r.self.Incarnation = m.Incarnation + 1
	return true
}

// handleChange logs and counts a change of a member's state or leaving flag. It also
// drops the values in the gossip table that an ended member owns, and allows such values
// again once the member is alive.
func (r *Registry) handleChange(old Member, known bool, m Member) {
	changed := !known || old.State != m.State
	switch {
	case m.State == StateSuspect && changed:
		events.MemberSuspected.Log(r.Logger, "member", m.ID)
	case !m.maybeRunning() && changed:
		r.Table.DropOwner(m.ID)
		events.MemberLeft.Log(r.Logger, "member", m.ID, "state", m.State.String())
	case m.State == StateAlive && changed:
		r.Table.AllowOwner(m.ID)
		events.MemberJoined.Log(r.Logger, "member", m.ID, "failure_domain", m.FailureDomain)
	}
	if changed {
		Changes.Inc(m.State.String())
	}
	if m.Leaving && !old.Leaving {
		Changes.Inc(labelLeaving)
		events.MemberLeaving.Log(r.Logger, "member", m.ID)
	}
}
