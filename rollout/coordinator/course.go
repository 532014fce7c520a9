package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/rollout"
	"github.com/cardamompier/cardamompier/rollout/agent"
)

// course is the coordinator's state of one pool's roll-out. tenure.mu guards it.
type course struct {
	*tenure
	pool string

	loaded  bool          // whether the stored record was read
	record  *agent.Record // the stored record; nil if there is none
	version kv.Version
	wanted  *agent.Record // the record that has to be stored; nil if there is none
	// published is the stored version of the record whose status is known to be written.
	published kv.Version
	storing   bool // whether calls to the store are under way

	// began is when this coordinator began to call the hosts for the pool.
	began     time.Duration
	processes map[string]rollout.HostReport // last report by process
	sentAt    map[string]time.Duration      // when the directive was sent that the report answers
	changed   bool                          // whether evidence has changed since it was stored
	savedAt   time.Duration
}

// take records a report of a host's process.
func (c *course) take(r rollout.HostReport, sentAt time.Duration) {
	if c.record == nil || r.Revision != c.record.Revision {
		return
	}
	c.processes[r.Process], c.sentAt[r.Process] = r, sentAt
	c.changed = true
}

// advance decides what follows for the pool and returns the directive; none while the record is not known.
func (c *course) advance(o agent.Order, list *hosts.Snapshot) (agent.Directive, bool) {
	c.wanted = nil
	if !c.loaded {
		return agent.Directive{}, false
	}
	if c.record == nil || o.Revision > c.record.Revision {
		c.begin(o, list)
		return agent.Directive{}, false
	}
	now := c.Now()
	if phase := c.laterPhase(*c.record, o); phase != c.record.Phase {
		c.want(restorePhase(*c.record, phase, now))
		return agent.Directive{}, false
	}
	decision := c.next(list, now)
	next := *c.record
	halt := ""
	switch {
	case decision.Phase != c.record.Phase:
		next.Record = c.record.Apply(decision, now)
		c.want(next)
		decision.Open = false
		if decision.Phase == rollout.PhaseRolledBack {
			halt = decision.Reason
		}
	case c.record.Phase.Final():
		c.wantPublished(next)
	default:
		c.save(next, list)
	}
	d := agent.DirectiveOf(*c.record, decision)
	d.Halt = halt
	return d, true
}

// begin prepares the record of a new order. It replaces the record of the pool's previous order.
func (c *course) begin(o agent.Order, list *hosts.Snapshot) {
	if kv.Version(o.Base).Era() < kv.Version(o.Revision).Era() || c.record != nil && o.Restores(c.record.Order) {
		c.want(c.restore(o, list))
		return
	}
	next := agent.Record{Base: o.Revision}
	var previous *rollout.Record
	if c.record != nil {
		previous = &c.record.Record
		next.Barred = barredAfter(c.record, o.Target)
		if previous.Target == o.Target && !previous.Phase.Final() {
			next.Base, next.Reports = c.record.Base, c.reports(*c.record)
		}
	}
	next.Record = rollout.Begin(previous, o.Order, c.oldVersions(o.Target, next.Barred, list), o.SeenAt)
	c.want(restorePhase(next, c.laterPhase(next, o), c.Now()))
}

// restore returns the record of an order that was read again after the store has come back from an older copy. The copy
// may lack the record of the roll-out, or what was decided since.
func (c *course) restore(o agent.Order, list *hosts.Snapshot) agent.Record {
	next := agent.Record{Base: o.Base, Barred: o.Barred}
	if c.record != nil && (c.record.Base == o.Base || o.Restores(c.record.Order)) {
		next = *c.record
		next.Order, next.Published = o.Order, false
	} else {
		old := append(slices.Clone(o.Old), c.oldVersions(o.Target, o.Barred, list)...)
		next.Record = rollout.Begin(nil, o.Order, old, o.SeenAt)
	}
	next = restorePhase(next, c.laterPhase(next, o), c.Now())
	Restored.Inc(string(next.Phase))
	return next
}

// laterPhase returns the latest phase of a record's roll-out that this host or one that has reported knows. Hosts know
// stored phases only, so that the store has lost a record if the phase is not the record's.
func (c *course) laterPhase(r agent.Record, o agent.Order) rollout.Phase {
	latest := r.Phase
	consider := func(revision, base uint64, phase rollout.Phase) {
		same := revision == r.Revision && (base == r.Base || kv.Version(base).Era() < kv.Version(revision).Era())
		if same && phase != "" && phase.Follows(latest) {
			latest = phase
		}
	}
	consider(o.Revision, o.Base, o.Phase)
	for _, report := range c.processes {
		consider(report.Revision, report.Base, report.Stored)
	}
	return latest
}

// restorePhase returns a record with a phase that may be later.
func restorePhase(r agent.Record, phase rollout.Phase, now time.Time) agent.Record {
	r.Record = r.Apply(rollout.Decision{Phase: phase, Reason: r.Reason}, now)
	return r
}

// barredAfter returns the versions that get no requests once an order for the target has replaced the record.
func barredAfter(r *agent.Record, target string) []string {
	barred := slices.Clone(r.Barred)
	if r.Phase != rollout.PhaseComplete && !slices.Contains(barred, r.Target) {
		barred = append(barred, r.Target)
	}
	return lo.Without(barred[max(0, len(barred)-maxBarred):], target)
}

// maxBarred limits the versions that stay barred.
const maxBarred = 32

// oldVersions returns the versions of the pool's live upstreams without the target and the barred ones.
func (c *course) oldVersions(target string, barred []string, list *hosts.Snapshot) []string {
	var out []string
	for _, h := range list.Pool(c.pool) {
		if h.State == hosts.StateLive && h.Version != target && !slices.Contains(barred, h.Version) {
			out = append(out, h.Version)
		}
	}
	return lo.Uniq(out)
}

// next returns the decision on the stored record.
func (c *course) next(list *hosts.Snapshot, now time.Time) rollout.Decision {
	s := rollout.Situation{Now: now, Bounds: c.Bounds, LongestTimeout: c.Table().LongestTimeout(c.pool), Asking: c.Elapsed() - c.began}
	s.Listed = lo.Map(c.Members().Members, func(m membership.Member, _ int) string { return m.ID })
	if !slices.Contains(s.Listed, c.Host) {
		s.Listed = append(s.Listed, c.Host)
	}
	elapsed := c.Elapsed()
	for process, r := range c.processes {
		r.ReportedAgo = elapsed - c.sentAt[process]
		s.Hosts = append(s.Hosts, r)
	}
	for _, h := range list.Pool(c.pool) {
		slots := max(h.Slots, 1)
		switch {
		case h.State != hosts.StateLive || slices.Contains(c.record.Barred, h.Version):
		case h.Version == c.record.Target:
			s.TargetSlots += slots
			s.TargetUpstreams++
		default:
			s.OldSlots += slots
		}
	}
	return rollout.Next(c.record.Record, s)
}

// want prepares a record that has to be stored.
func (c *course) want(next agent.Record) {
	next.Reports = c.reports(next)
	c.wanted = &next
}

// reports returns the evidence in a record together with the newer evidence of the processes that have reported.
func (c *course) reports(r agent.Record) map[string]rollout.Evidence {
	out := maps.Clone(r.Reports)
	if out == nil {
		out = map[string]rollout.Evidence{}
	}
	for process, report := range c.processes {
		if report.Revision == r.Revision {
			out[process] = report.Evidence
		}
	}
	return out
}

// wantPublished prepares the record for which the status was written after a final phase.
func (c *course) wantPublished(next agent.Record) {
	if !next.Published && c.published == c.version {
		next.Published = true
		c.want(next)
	}
}

// save prepares a record with newer evidence or newly seen old versions, at most every saveInterval.
func (c *course) save(next agent.Record, list *hosts.Snapshot) {
	observed, grown := next.Observe(c.oldVersions(next.Target, next.Barred, list))
	if !grown && (!c.changed || c.Elapsed()-c.savedAt < saveInterval) {
		return
	}
	next.Record = observed
	c.want(next)
}

// load takes over a record that was read from the store.
func (c *course) load(r *agent.Record, version kv.Version) {
	if c.record != nil && r != nil && r.Nonce != c.record.Nonce {
		events.RolloutReplaced.Log(c.Logger, "pool", c.pool, "revision", r.Revision, "phase", string(r.Phase), "writer", r.Writer)
	}
	c.loaded, c.record, c.version = true, r, version
	if r == nil {
		return
	}
	for process, report := range c.processes {
		if report.Revision != r.Revision {
			c.forget(process)
		}
	}
	for process, evidence := range r.Reports {
		if _, reported := c.processes[process]; !reported {
			// The host is not known: the report counts as evidence only.
			c.processes[process] = rollout.HostReport{Process: process, Revision: r.Revision, Evidence: evidence}
		}
	}
}

func (c *course) forget(process string) {
	delete(c.processes, process)
	delete(c.sentAt, process)
}
