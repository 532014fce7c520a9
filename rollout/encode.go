package rollout

import (
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

const (
	// maxRecordBytes bounds a stored record: twice MaxKeys keys of two names and Buckets counts with their encoding.
	maxRecordBytes = 512 << 10
	// maxOld is the maximum number of old versions of a pool.
	maxOld = 32
	// maxCount is the maximum of a count. Sums of the counts of many processes stay below the end of int64.
	maxCount = 1 << 44
	// maxUnixNS is the end of the year 2200, in Unix nanoseconds.
	maxUnixNS = 7_289_654_400_000_000_000
)

// RecordError reports a stored record or evidence that cannot be encoded or decoded.
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
		msg += ": field " + e.Field + " is missing or out of range"
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause, or nil.
func (e *RecordError) Unwrap() error { return e.Cause }

// wireRecord is the stored form of a record.
type wireRecord struct {
	Pool       string   `cbor:"1,keyasint"`
	Target     string   `cbor:"2,keyasint"`
	DurationNS int64    `cbor:"3,keyasint"`
	Revision   uint64   `cbor:"4,keyasint"`
	Phase      Phase    `cbor:"5,keyasint"`
	Old        []string `cbor:"6,keyasint"`
	StartedNS  int64    `cbor:"7,keyasint"` // Unix time
	SinceNS    int64    `cbor:"8,keyasint"` // Unix time
	Ended      Evidence `cbor:"9,keyasint"`
	Reason     string   `cbor:"10,keyasint"`
	Before     Evidence `cbor:"11,keyasint,omitempty"`
}

// wireCounts is one entry of encoded evidence. Latency ends with the last bucket that is not empty.
type wireCounts struct {
	_       struct{} `cbor:",toarray"`
	Version string
	Route   string
	Ended   int64
	Failed  int64
	Latency []int64
}

// strict rejects whatever EncodeRecord and Evidence.MarshalCBOR do not write.
var strict = lo.Must(cbor.DecOptions{
	DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	MaxArrayElements: MaxKeys, MaxMapPairs: 16, MaxNestedLevels: 8, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
}.DecMode())

// EncodeRecord returns the stored form of a record. Its errors are of type *RecordError.
func EncodeRecord(r Record) ([]byte, error) {
	if field := r.invalid(); field != "" {
		return nil, &RecordError{Field: field}
	}
	value, err := cbor.Marshal(wireRecord{
		Pool: r.Pool, Target: r.Target, DurationNS: int64(r.Duration), Revision: r.Revision, Phase: r.Phase, Old: r.Old,
		StartedNS: r.Started.UnixNano(), SinceNS: r.Since.UnixNano(), Ended: r.Ended, Reason: r.Reason, Before: r.Before,
	})
	if err != nil {
		return nil, &RecordError{Cause: err}
	}
	return value, nil
}

// DecodeRecord decodes the stored form of a record. Its errors are of type *RecordError.
func DecodeRecord(value []byte) (Record, error) {
	if len(value) > maxRecordBytes {
		return Record{}, &RecordError{Field: "size"}
	}
	var w wireRecord
	if err := strict.Unmarshal(value, &w); err != nil {
		return Record{}, &RecordError{Cause: err}
	}
	r := Record{
		Order: Order{Pool: w.Pool, Target: w.Target, Duration: time.Duration(w.DurationNS), Revision: w.Revision},
		Phase: w.Phase, Old: w.Old, Started: time.Unix(0, w.StartedNS), Since: time.Unix(0, w.SinceNS), Ended: w.Ended, Reason: w.Reason, Before: w.Before,
	}
	if r.Ended == nil {
		r.Ended = Evidence{}
	}
	if field := r.invalid(); field != "" {
		return Record{}, &RecordError{Field: field}
	}
	return r, nil
}

// invalid returns the name of a field that is missing or out of range, or an empty string.
func (r Record) invalid() string {
	switch err := r.Validate(); {
	case err != nil:
		return "order"
	case r.Revision == 0:
		return "revision"
	case !r.Phase.Valid():
		return "phase"
	case len(r.Old) > maxOld || !lo.EveryBy(r.Old, shortText):
		return "old"
	case !storable(r.Started):
		return "started"
	case !storable(r.Since):
		return "since"
	case len(r.Reason) > maxReason || !utf8.ValidString(r.Reason):
		return "reason"
	}
	return ""
}

// storable reports whether a time is after 1970 and within the range of Unix nanoseconds.
func storable(at time.Time) bool {
	return at.Unix() > 0 && at.Unix() < maxUnixNS/int64(time.Second)
}

// shortText reports whether the name of a version or route, which may be empty, can be encoded.
func shortText(name string) bool { return name == "" || validName(name) }

// valid reports whether counts can be encoded.
func (c Counts) valid() bool {
	return c.Failed >= 0 && c.Ended >= c.Failed && c.Ended <= maxCount &&
		lo.EveryBy(c.Latency[:], func(n int64) bool { return n >= 0 && n <= maxCount })
}

// MarshalCBOR encodes the evidence in the order of its keys. Its errors are of type *RecordError.
func (e Evidence) MarshalCBOR() ([]byte, error) {
	entries := make([]wireCounts, 0, len(e))
	for _, key := range e.keys() {
		counts := e[key]
		if !shortText(key.Version) || !shortText(key.Route) || !counts.valid() {
			return nil, &RecordError{Field: "evidence"}
		}
		last := Buckets
		for last > 0 && counts.Latency[last-1] == 0 {
			last--
		}
		entries = append(entries, wireCounts{
			Version: key.Version, Route: key.Route, Ended: counts.Ended, Failed: counts.Failed, Latency: counts.Latency[:last],
		})
	}
	if len(entries) > MaxKeys {
		return nil, &RecordError{Field: "evidence"}
	}
	return cbor.Marshal(entries)
}

// UnmarshalCBOR replaces the evidence. Its errors are of type *RecordError.
func (e *Evidence) UnmarshalCBOR(data []byte) error {
	var entries []wireCounts
	if err := strict.Unmarshal(data, &entries); err != nil {
		return &RecordError{Field: "evidence", Cause: err}
	}
	out := make(Evidence, len(entries))
	for _, w := range entries {
		key, counts := EvidenceKey{Version: w.Version, Route: w.Route}, Counts{Ended: w.Ended, Failed: w.Failed}
		_, known := out[key]
		if known || len(w.Latency) > Buckets || !shortText(w.Version) || !shortText(w.Route) {
			return &RecordError{Field: "evidence"}
		}
		copy(counts.Latency[:], w.Latency)
		if !counts.valid() {
			return &RecordError{Field: "evidence"}
		}
		out[key] = counts
	}
	*e = out
	return nil
}
