package config

import "strconv"

// PublishReason classifies a failed publish.
type PublishReason string

// The reasons of a failed publish.
const (
	// PublishConflict: another publish changed the same item first. Nothing
	// was published.
	PublishConflict PublishReason = "conflict"
	// PublishUnavailable: the service could not be used. Nothing was published.
	PublishUnavailable PublishReason = "unavailable"
	// PublishUnknown: the service could not say whether the publish won. Nonce
	// and Revision let Resolve tell it later.
	PublishUnknown PublishReason = "unknown"
	// PublishTooLarge: the whole configuration exceeds kv.MaxValueSize.
	PublishTooLarge PublishReason = "too_large"
	// PublishCorrupt: the stored configuration could not be read.
	PublishCorrupt PublishReason = "corrupt"
	// PublishNoRevision: the revision is not kept, or was never published.
	PublishNoRevision PublishReason = "no_such_revision"
)

// PublishError is a publish that was not accepted, or whose outcome is unknown.
type PublishError struct {
	Reason PublishReason
	// Item clashed: this publish started from the item's revision Base, and
	// Current is the revision that holds it now.
	Item          Item
	Base, Current uint64
	// Revision and Nonce identify the publish that may have won.
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

// Unwrap returns the cause.
func (e *PublishError) Unwrap() error { return e.Cause }

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
