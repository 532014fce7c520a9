package order

import (
	"time"

	"github.com/google/uuid"
)

// Clock returns the current time.
type Clock func() time.Time

const (
	// KeyMaxAge is the maximum accepted age of an idempotency key.
	KeyMaxAge = 2 * time.Hour
	// MaxClockSkew is the largest difference between the clocks of callers and
	// entry hosts that Retention allows for.
	MaxClockSkew = 5 * time.Minute
	// Retention is the time from a key's creation until its record is deleted.
	// The margin over KeyMaxAge covers the clock skew of two entry hosts and of
	// the host that deletes the record, and the longest request.
	Retention = KeyMaxAge + 30*time.Minute
)

// uuidVersion7 is the version of UUIDs that begin with a timestamp.
const uuidVersion7 = 7

// KeyCreationTime returns when a key was created: the timestamp of a UUIDv7 key, or
// else the RFC 3339 time in created. It returns false if neither contains a time.
func KeyCreationTime(key, created string) (time.Time, bool) {
	if id, err := uuid.Parse(key); err == nil && id.Version() == uuidVersion7 {
		seconds, nanoseconds := id.Time().UnixTime()
		return time.Unix(seconds, nanoseconds).UTC(), true
	}
	at, err := time.Parse(time.RFC3339, created)
	return at.UTC(), err == nil
}

// KeyAge classifies a key as accepted, too old, or created in the future.
type KeyAge int

// The results of ClassifyKeyAge.
const (
	AgeAccepted KeyAge = iota
	AgeTooOld
	AgeInFuture
)

// ClassifyKeyAge returns AgeTooOld for a key older than KeyMaxAge, AgeInFuture for a key
// created more than MaxClockSkew after now, and AgeAccepted otherwise.
func ClassifyKeyAge(created, now time.Time) KeyAge {
	switch age := now.Sub(created); {
	case age > KeyMaxAge:
		return AgeTooOld
	case age < -MaxClockSkew:
		return AgeInFuture
	default:
		return AgeAccepted
	}
}
