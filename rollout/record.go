package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Record is the stored state of a roll-out, under rollout/POOL.
type Record struct {
	Order
	Phase Phase
	// Old are the versions of the pool's upstreams when the roll-out started, without the target, sorted.
	Old []string
	// Started is when the time limit of the order began, and Since when the phase began.
	Started, Since time.Time
	// Ended is the evidence of processes that have ended.
	Ended Evidence
	// Before is all evidence at the promotion. After it the target is judged by what came later: its earlier good answers
	// would hide a fault that shows under the whole load only.
	Before Evidence
	// Reason explains a final phase.
	Reason string
}

// maxReason is the maximum length of a reason, in bytes.
const maxReason = 512

// Begin returns the record with which a roll-out starts. The previous record of the pool, if there is one,
// decides what an order under a new revision means: the same target while its roll-out runs keeps phase and
// evidence, and the time limit starts anew; anything else is a new roll-out. An order that is not newer than the
// record changes nothing.
func Begin(previous *Record, o Order, old []string, now time.Time) Record {
	if previous != nil && o.Revision <= previous.Revision {
		return *previous
	}
	if previous != nil && previous.Target == o.Target && !previous.Phase.Final() {
		renewed := *previous
		renewed.Order, renewed.Started, renewed.Ended = o, now, maps.Clone(previous.Ended)
		renewed.Old = mergeVersions(o.Target, append(slices.Clone(previous.Old), old...))
		return renewed
	}
	return Record{Order: o, Phase: PhaseCanary, Old: mergeVersions(o.Target, old), Started: now, Since: now, Ended: Evidence{}}
}

// Observe returns the record with the versions of the pool's live upstreams added to the old ones, and whether it has
// changed. An order may arrive before any upstream of an old version is known.
func (r Record) Observe(versions []string) (Record, bool) {
	old := mergeVersions(r.Target, append(slices.Clone(r.Old), versions...))
	if r.Phase != PhaseCanary || slices.Equal(old, r.Old) {
		return r, false
	}
	r.Old = old
	return r, true
}

// mergeVersions returns the versions without duplicates and without the target, sorted.
func mergeVersions(target string, versions []string) []string {
	out := slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == target })
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), maxOld)]
}

// Apply returns the record after a decision at the given time. A final phase is never changed, and a promotion is
// never taken back to PhaseCanary.
func (r Record) Apply(d Decision, now time.Time) Record {
	if r.Phase.Final() || d.Phase == r.Phase || !d.Phase.Valid() || d.Phase == PhaseCanary {
		return r
	}
	r.Phase, r.Since = d.Phase, now
	if d.Phase == PhasePromoting {
		r.Before = maps.Clone(d.Before)
	}
	r.Reason = strings.ToValidUTF8(d.Reason[:min(len(d.Reason), maxReason)], "")
	return r
}
