package presence

import (
	"encoding/json"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/netaddr"
)

// maxCapacity is the largest capacity of a host, as a multiple of an ordinary host's. A larger number was
// not written by a host; it would draw all work that is shared out by capacity.
const maxCapacity = 1 << 16

// storedMember is a stored host record. Its State takes the place of that of Member, which takes a text
// that it does not know for alive.
type storedMember struct {
	membership.Member
	State string `json:"state"`
}

// decodeMember decodes a host record. Hosts are called at what it says, callers are sent there, and work is
// shared out by it, so that a record of another writer must not count as a host. Errors are of type
// *kv.RecordError.
func decodeMember(key string, value []byte) (membership.Member, error) {
	var m storedMember
	if err := json.Unmarshal(value, &m); err != nil {
		return membership.Member{}, &kv.RecordError{Key: key, Cause: err}
	}
	invalid := ""
	switch {
	case m.ID == "" || Prefix+m.ID != key:
		invalid = "id"
	case !netaddr.IsDialable(m.Address):
		invalid = "address"
	case !netaddr.IsDialable(m.InnerAddress):
		invalid = "inner_address"
	case m.Capacity < 0 || m.Capacity > maxCapacity:
		invalid = "capacity"
	case m.State != "" && m.State != membership.StateAlive.String():
		invalid = "state"
	}
	if invalid != "" {
		return membership.Member{}, &kv.RecordError{Key: key, Field: invalid}
	}
	return m.Member, nil
}
