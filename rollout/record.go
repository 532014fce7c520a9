package rollout

import "time"

// Record is the stored state of a roll-out, under rollout/POOL.
type Record struct {
	Order
	Phase Phase
	// Old are the versions of the pool's upstreams when the roll-out started, without the target.
	Old []string
	// Started is when the time limit of the order began, and Since when the phase began.
	Started, Since time.Time
	// Ended is the evidence of processes that have ended.
	Ended Evidence
	// Reason explains a final phase.
	Reason string
}

// RecordError reports a stored record that cannot be encoded or decoded.
type RecordError struct {
	// Field is the field that is missing or out of range; empty if the value as a whole is at fault.
	Field string
	// Cause may be nil if Field is set.
	Cause error
}

// Error returns the text with the field, if there is one, and the cause.
func (e *RecordError) Error() string {
	msg := "roll-out record"
	if e.Field != "" {
		msg += ": field " + e.Field
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause, or nil.
func (e *RecordError) Unwrap() error { return e.Cause }

// EncodeRecord returns the stored form of a record. Its errors are of type *RecordError.
func EncodeRecord(r Record) ([]byte, error) { return nil, nil }

// DecodeRecord decodes the stored form of a record. Its errors are of type *RecordError.
func DecodeRecord(value []byte) (Record, error) { return Record{}, nil }

// Begin returns the record with which a roll-out starts. The previous record of the pool, if there is one,
// decides what an order under a new revision means: the same target while its roll-out runs keeps phase and
// evidence, and the time limit starts anew; anything else is a new roll-out.
func Begin(previous *Record, o Order, old []string, now time.Time) Record { return Record{} }

// Apply returns the record after a decision at the given time. A final phase is never changed.
func (r Record) Apply(d Decision, now time.Time) Record { return r }
