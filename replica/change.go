package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

// Change is what a peer knows beyond a revision.
type Change struct {
	Revision kv.Version `cbor:"1,keyasint"`
	// AgeMS is how long ago the service confirmed the peer's copy.
	AgeMS int64 `cbor:"2,keyasint"`
	// OutageAgoMS is how long ago an outage ended, zero for none; OutageForMS is
	// how long it lasted.
	OutageAgoMS int64 `cbor:"6,keyasint,omitempty"`
	OutageForMS int64 `cbor:"7,keyasint,omitempty"`
	// HeldMS is how long the question waited for a change.
	HeldMS int64 `cbor:"8,keyasint,omitempty"`
	// Full says that Entries and Packed are the whole copy.
	Full    bool       `cbor:"3,keyasint,omitempty"`
	Entries []kv.Entry `cbor:"4,keyasint,omitempty"`
	// Packed are the entries of a large change, compressed.
	Packed  []byte     `cbor:"10,keyasint,omitempty"`
	Deleted []Deletion `cbor:"5,keyasint,omitempty"`
	// Keys are all keys of the copy, where the peer does not know every deletion
	// since the revision that was asked for. They are a tenth of the copy.
	Keys []string `cbor:"9,keyasint,omitempty"`
}

// empty says that nothing has changed.
func (c *Change) empty() bool {
	return !c.Full && len(c.Entries)+len(c.Packed)+len(c.Deleted)+len(c.Keys) == 0
}

// confirmedAt is when the service confirmed the peer's copy, on the clock of the
// host that asked at the given time.
func (c *Change) confirmedAt(asked time.Time) time.Time {
	return asked.Add(time.Duration(c.HeldMS-c.AgeMS) * time.Millisecond)
}

// since returns what the view has beyond a revision; 0 is that of a host that
// has no copy.
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
		change.Keys = slices.Collect(maps.Keys(v.Entries))
	default:
		for _, d := range v.Deleted {
			if d.Revision > after {
				change.Deleted = append(change.Deleted, d)
			}
		}
	}
	return change
}
