package presence

import (
	"encoding/json"
	"net/netip"

	"github.com/cardamompier/cardamompier/membership"
)

// maxCapacity is the largest capacity of a host, as a multiple of an ordinary host's. A larger number was
// not written by a host; it would draw all work that is shared out by capacity.
const maxCapacity = 1 << 16

// RecordError reports a host record that no host has written.
type RecordError struct {
	Key   string
	Field string
	Cause error // nil if the field is out of range
}

// Error returns the text with the key, the field and the cause.
func (e *RecordError) Error() string {
	msg := "host record " + e.Key
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

// decodeMember decodes a host record. Hosts are called at what it says, callers are sent there, and work is
// shared out by it, so that a record of another writer must not count as a host. Errors are of type
// *RecordError.
func decodeMember(key string, value []byte) (membership.Member, error) {
	var m membership.Member
	if err := json.Unmarshal(value, &m); err != nil {
		return membership.Member{}, &RecordError{Key: key, Cause: err}
	}
	if m.ID == "" || Prefix+m.ID != key {
		return membership.Member{}, &RecordError{Key: key, Field: "id"}
	}
	for _, a := range []struct{ field, text string }{{"address", m.Address}, {"inner_address", m.InnerAddress}} {
		address, err := netip.ParseAddrPort(a.text)
		if err != nil || address.Port() == 0 || address.Addr().IsMulticast() {
			return membership.Member{}, &RecordError{Key: key, Field: a.field, Cause: err}
		}
	}
	if m.Capacity < 0 || m.Capacity > maxCapacity {
		return membership.Member{}, &RecordError{Key: key, Field: "capacity"}
	}
	// Member takes a state that it does not know for alive.
	var named struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(value, &named); err != nil || named.State != "" && named.State != membership.StateAlive.String() {
		return membership.Member{}, &RecordError{Key: key, Field: "state", Cause: err}
	}
	return m, nil
}
