package config

import "strconv"

// PublishReason classifies a failed publish.
type PublishReason string

// These constants are the reasons for which a publish fails.
const (
	// PublishConflict means that another publish changed the same item first.
	// Nothing was published.
	PublishConflict PublishReason = "conflict"
	// PublishUnavailable means that the key-value service could not be used.
	// Nothing was published.
	PublishUnavailable PublishReason = "unavailable"
	// PublishUnknown means that the key-value service did not report whether the
	// write succeeded. Resolve determines it later from the error's Nonce and
	// Revision.
	PublishUnknown PublishReason = "unknown"
	// PublishTooLarge means that the whole configuration exceeds kv.MaxValueSize.
	PublishTooLarge PublishReason = "too_large"
	// PublishCorrupt means that the stored configuration could not be decoded.
	PublishCorrupt PublishReason = "corrupt"
	// PublishNoRevision means that the revision was never published or is no
	// longer in the history.
	PublishNoRevision PublishReason = "no_such_revision"
)

// PublishError reports a publish that was not accepted, or whose outcome is unknown.
type PublishError struct {
	Reason PublishReason
	// Item is the item in conflict: the failed publish started from the item's
	// revision Base, and revision Current has replaced it since.
	Item          Item
	Base, Current uint64
	// Revision and Nonce identify a publish that may have succeeded.
	Revision uint64
	Nonce    string
	Cause    error
}

// Error implements error.
func (e *PublishError) Error() string {
	msg := "publish: " + string(e.Reason)
	if e.Item.Name != "" {
		msg += " on " + e.Item.String() + ": this publish started from its revision " + itoa(e.Base) +
			", another publish changed it in revision " + itoa(e.Current)
	}
	if e.Reason == PublishUnknown {
		msg += ": revision " + itoa(e.Revision) + " with nonce " + e.Nonce
	}
	if e.Reason == PublishNoRevision {
		msg += " " + itoa(e.Revision)
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the underlying error, or nil.
func (e *PublishError) Unwrap() error { return e.Cause }

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
