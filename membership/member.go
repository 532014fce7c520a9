package membership

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/cardamompier/cardamompier/gossip"
)

// recordPrefix is the prefix of the names of member records in the gossip table.
const recordPrefix = "member/"

// State is the known state of a member's process. Within one incarnation of a member,
// a later state replaces an earlier one, for example StateDead replaces StateSuspect.
type State uint8

// A member is in one of these states. Within an incarnation, a state replaces those
// listed before it.
const (
	StateAlive State = iota
	// StateSuspect means that the member did not answer probes: its host may be
	// paused or cut off from the network.
	StateSuspect
	// StateDead means that the member did not refute a suspicion within
	// suspicionTimeout.
	StateDead
	// StateLeft means that the process ended after announcing that it leaves.
	StateLeft

	stateBits = 2
)

// String returns the lower-case name of the state, for example "alive".
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s&StateLeft]
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It decodes unknown text as
// StateAlive and returns no error.
func (s *State) UnmarshalText(text []byte) error {
	*s = StateAlive
	for _, known := range []State{StateSuspect, StateDead, StateLeft} {
		if known.String() == string(text) {
			*s = known
		}
	}
	return nil
}

// Member is the record of one entry host.
type Member struct {
	ID string `json:"id" cbor:"1,keyasint"`
	// Address serves callers; InnerAddress serves other entry hosts and operators.
	Address       string `json:"address" cbor:"2,keyasint"`
	InnerAddress  string `json:"inner_address" cbor:"3,keyasint"`
	FailureDomain string `json:"failure_domain" cbor:"4,keyasint"`
	Region        string `json:"region" cbor:"5,keyasint"`
	// Leaving is set by the member itself when it stops accepting new work.
	Leaving bool `json:"leaving,omitempty" cbor:"6,keyasint,omitempty"`
	// Incarnation is raised by the member itself only; records with a higher
	// incarnation replace those with a lower one.
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"7,keyasint,omitempty"`
	State       State  `json:"state" cbor:"8,keyasint,omitempty"`
	// Capacity is how much work the member can do for other hosts beside its own,
	// as a multiple of an ordinary host's capacity; zero if unknown.
	Capacity float64 `json:"capacity,omitempty" cbor:"9,keyasint,omitempty"`
}

// Usable reports whether the member accepts new work: it is alive and not leaving
// according to its newest known record.
func (m Member) Usable() bool { return m.State == StateAlive && !m.Leaving }

// maybeRunning reports whether the member's process may be running: its state is
// alive or suspect.
func (m Member) maybeRunning() bool { return m.State == StateAlive || m.State == StateSuspect }

// version returns the version of the record, by which newer records of a member
// replace older ones. The lowest two bits are the state, the others the incarnation.
func (m Member) version() uint64 { return m.Incarnation<<stateBits | uint64(m.State) }

func (m Member) recordName() string { return recordPrefix + m.ID }

func incarnationOf(version uint64) uint64 { return version >> stateBits }

// decodeMember decodes a gossip item. It returns false if the record is
// malformed or does not match the item's name and version.
func decodeMember(item gossip.Item) (Member, bool) {
	var m Member
	err := cbor.Unmarshal(item.Value, &m)
	return m, err == nil && m.ID == strings.TrimPrefix(item.Name, recordPrefix) && m.version() == item.Version
}
