package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

// Change holds the differences between a peer's copy of a key prefix and an older revision.
type Change struct {
	// Revision is the revision of the peer's copy.
	Revision kv.Version `cbor:"1,keyasint"`
	// AgeMS is the time since the key-value service last confirmed the peer's copy, in ms.
	AgeMS int64 `cbor:"2,keyasint"`
	// OutageAgoMS is the time since the end of the key-value service's last outage, in ms; it is
	// zero if there was none.
	OutageAgoMS int64 `cbor:"6,keyasint,omitempty"`
	// OutageForMS is how long the last outage of the key-value service lasted, in ms.
	OutageForMS int64 `cbor:"7,keyasint,omitempty"`
	// HeldMS is how long the peer waited for a change before it answered the request, in ms.
	HeldMS int64 `cbor:"8,keyasint,omitempty"`
	// Full is true if Entries and Packed together hold the whole copy.
	Full bool `cbor:"3,keyasint,omitempty"`
	// Entries holds the entries that are newer than the requested revision.
	Entries []kv.Entry `cbor:"4,keyasint,omitempty"`
	// Packed holds the entries of a large change in compressed form.
	Packed []byte `cbor:"10,keyasint,omitempty"`
	// Deleted lists the deletions after the requested revision.
	Deleted []Deletion `cbor:"5,keyasint,omitempty"`
	// AllKeys is true if Keys lists all keys of the copy, because the peer does not have every deletion
	// since the requested revision.
	AllKeys bool `cbor:"11,keyasint,omitempty"`
	// Keys is about a tenth of the size of the copy.
	Keys []string `cbor:"9,keyasint,omitempty"`
}

// empty reports whether the change contains no differences.
func (c *Change) empty() bool {
	return !c.Full && !c.AllKeys && len(c.Entries)+len(c.Packed)+len(c.Deleted) == 0
}

// age returns the time since the key-value service last confirmed the peer's copy.
func (c *Change) age() time.Duration { return time.Duration(c.AgeMS) * time.Millisecond }

// confirmedAt returns when the key-value service confirmed the peer's copy, on the clock of the
// host that sent its request to the peer at requestedAt.
func (c *Change) confirmedAt(requestedAt time.Time) time.Time {
	return requestedAt.Add(time.Duration(c.HeldMS-c.AgeMS) * time.Millisecond)
}

// since returns the differences between the view and an older revision. For revision 0, that of a
// host without a copy, it returns the whole copy.
func (v *View) since(after kv.Version, now time.Time) *Change {
	change := &Change{Revision: v.Revision, AgeMS: now.Sub(v.ReadAt).Milliseconds(), Full: after == 0}
	if !v.OutageEnded.IsZero() {
		change.OutageAgoMS = max(1, now.Sub(v.OutageEnded).Milliseconds())
		change.OutageForMS = v.OutageEnded.Sub(v.OutageBegan).Milliseconds()
	}
	if after >= v.Revision && !change.Full {
		return change
	}
	for _, e := range v.Entries {
		if change.Full || e.Version > after {
			change.Entries = append(change.Entries, e)
		}
	}
	switch {
	case change.Full:
	case after < v.Complete:
		change.AllKeys, change.Keys = true, slices.Collect(maps.Keys(v.Entries))
	default:
		for _, d := range v.Deleted {
			if d.Revision > after {
				change.Deleted = append(change.Deleted, d)
			}
		}
	}
	return change
}
