package membership

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/cardamompier/cardamompier/gossip"
)

// namePrefix is where member records are in the gossip table.
const namePrefix = "member/"

// State is what is known of a member's process. Within one incarnation a
// later state replaces an earlier one.
type State uint8

// The states of a member.
const (
	StateAlive State = iota
	// StateSuspect: did not answer probes; it may be paused or cut off.
	StateSuspect
	// StateDead: suspected for suspicionTimeout without a refutation.
	StateDead
	// StateLeft: ended after it had announced that it leaves.
	StateLeft

	stateBits = 2
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s&StateLeft]
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Unknown text is alive.
func (s *State) UnmarshalText(text []byte) error {
	*s = StateAlive
	for _, known := range []State{StateSuspect, StateDead, StateLeft} {
		if known.String() == string(text) {
			*s = known
		}
	}
	return nil
}

// Member is one entry host.
type Member struct {
	ID string `json:"id" cbor:"1,keyasint"`
	// Address is for callers, InnerAddress for other entry hosts and operators.
	Address       string `json:"address" cbor:"2,keyasint"`
	InnerAddress  string `json:"inner_address" cbor:"3,keyasint"`
	FailureDomain string `json:"failure_domain" cbor:"4,keyasint"`
	Region        string `json:"region" cbor:"5,keyasint"`
	// Leaving is set by the member itself, which takes no new work.
	Leaving bool `json:"leaving,omitempty" cbor:"6,keyasint,omitempty"`
	// Incarnation is raised by the member itself only.
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"7,keyasint,omitempty"`
	State       State  `json:"state" cbor:"8,keyasint,omitempty"`
	// Capacity is what the member can do for other hosts beside its own work, as
	// a multiple of a common host's; zero where it is not known.
	Capacity float64 `json:"capacity,omitempty" cbor:"9,keyasint,omitempty"`
}

// Usable reports whether the member takes new work, as far as is known.
func (m Member) Usable() bool { return m.State == StateAlive && !m.Leaving }

// present reports whether the member's process may be running.
func (m Member) present() bool { return m.State == StateAlive || m.State == StateSuspect }

// version orders the records of one member.
func (m Member) version() uint64 { return m.Incarnation<<stateBits | uint64(m.State) }

func (m Member) name() string { return namePrefix + m.ID }

func incarnationOf(version uint64) uint64 { return version >> stateBits }

func decodeMember(item gossip.Item) (Member, bool) {
	var m Member
	err := cbor.Unmarshal(item.Value, &m)
	return m, err == nil && m.ID == strings.TrimPrefix(item.Name, namePrefix) && m.version() == item.Version
}
