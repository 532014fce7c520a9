package order

import (
	"time"

	"github.com/google/uuid"
)

// Clock tells the time.
type Clock func() time.Time

const (
	// KeyMaxAge is the greatest age of a key that is accepted.
	KeyMaxAge = 2 * time.Hour
	// MaxClockSkew is the greatest difference of two clocks, of callers and
	// entry hosts, that the retention allows for.
	MaxClockSkew = 5 * time.Minute
	// Retention is how long a record is kept after its key was made. The
	// margin over KeyMaxAge covers the clocks of two entry hosts and of the
	// host that drops the record, and the longest request.
	Retention = KeyMaxAge + 30*time.Minute
)

// uuidVersionTime is the version of UUIDs that begin with their time.
const uuidVersionTime = 7

// CreatedOf returns when a key was made: the time of a UUIDv7, or the given
// text in RFC 3339; false when neither tells.
func CreatedOf(key, created string) (time.Time, bool) {
	if id, err := uuid.Parse(key); err == nil && id.Version() == uuidVersionTime {
		seconds, nanoseconds := id.Time().UnixTime()
		return time.Unix(seconds, nanoseconds).UTC(), true
	}
	at, err := time.Parse(time.RFC3339, created)
	return at.UTC(), err == nil
}

// Age says whether a key can be accepted by its time.
type Age int

// The ages of keys.
const (
	AgeAccepted Age = iota
	AgeTooOld
	AgeInFuture
)

// AgeOf classifies the time at which a key was made.
func AgeOf(created, now time.Time) Age {
	switch age := now.Sub(created); {
	case age > KeyMaxAge:
		return AgeTooOld
	case age < -MaxClockSkew:
		return AgeInFuture
	default:
		return AgeAccepted
	}
}
