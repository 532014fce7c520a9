package rollout

import "time"

// HostReport is the answer of one process of a host to a directive.
type HostReport struct {
	// Host is the host's name in Situation.Listed, and Process identifies its process.
	Host    string `cbor:"1,keyasint"`
	Process string `cbor:"2,keyasint"`
	// Applied is the phase that the host applies, of the order with the given revision.
	Applied  Phase  `cbor:"3,keyasint"`
	Revision uint64 `cbor:"4,keyasint"`
	// Evidence holds the counts of the process since the order.
	Evidence Evidence `cbor:"5,keyasint"`
	// AtOld and AtTarget are the requests in hand at upstreams of the old versions and of the target.
	// ResumableAtOld are those of AtOld that can be resumed at another upstream.
	AtOld          int64 `cbor:"6,keyasint"`
	AtTarget       int64 `cbor:"7,keyasint"`
	ResumableAtOld int64 `cbor:"8,keyasint"`
	// ReportedAgo is the time since the directive was sent that the report answers. The coordinator measures it.
	ReportedAgo time.Duration `cbor:"-"`
}

// Situation is what the coordinator knows when it decides.
type Situation struct {
	Now    time.Time
	Bounds Bounds
	// LongestTimeout is the longest time-out of the pool's routes.
	LongestTimeout time.Duration
	// Hosts are the last reports of all processes whose evidence is not in Record.Ended.
	Hosts []HostReport
	// Listed are the hosts that have to apply the roll-out.
	Listed []string
	// OldSlots and TargetSlots are the sums of the slots of live upstreams of other versions and of the target.
	OldSlots, TargetSlots int
	// TargetUpstreams is the number of the target's live upstreams.
	TargetUpstreams int
}

// Decision is what the coordinator orders the hosts to do.
type Decision struct {
	Phase Phase
	// Open reports whether hosts may send requests to the target in PhaseCanary.
	Open bool
	// Step is the share of the requests that goes to the target: in PhaseCanary while the exposure is open, and
	// in PhasePromoting.
	Step float64
	// Withdraw orders the hosts to withdraw resumable streams from old upstreams and to resume them at the target.
	Withdraw bool
	// Reason explains a change of the phase.
	Reason string
	// BadAnswers is that of the verdict.
	BadAnswers int64
}

// Next decides what follows in a situation. It depends on nothing but its arguments, so that a successor of the
// coordinator decides the same.
func Next(r Record, s Situation) Decision { return Decision{} }
