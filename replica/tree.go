package replica

import (
	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/membership"
)

const (
	// readerRole is the key by which the hosts are chosen that read the service
	// for the others and those that pass its changes on.
	readerRole = "watchers"
	// readers bear the loss of two.
	readers = 3
	// maxFollowers bounds the hosts that follow one: each change wakes all of
	// them, and the host that answers may have a fifth of a core.
	maxFollowers = 32
	// relayFollowers is how many hosts follow one relay.
	relayFollowers = 24
)

// Place is a host's place in the tree on which changes spread: readers of the
// service, relays that follow them in large fleets, and the other hosts.
type Place struct {
	// Depth is 0 for a host that reads the service for the others, and how many
	// hosts a change passes on its way to the others.
	Depth int
	// Sources are the hosts whose copies it follows, in its own order of
	// preference, so that the followers of a host spread over its peers.
	Sources []membership.Member
}

// PlaceOf returns the place of the host self among the members of a view.
func PlaceOf(self string, view *membership.View) Place {
	relays := 0
	if n := len(view.Members); n > readers*maxFollowers {
		relays = (n + relayFollowers - 1) / relayFollowers
	}
	inner := view.ChosenStrong(readerRole, readers+relays)
	top := inner[:min(readers, len(inner))]
	isSelf := func(m membership.Member) bool { return m.ID == self }
	_, at, _ := lo.FindIndexOf(inner, isSelf)
	switch {
	case at >= 0 && at < len(top):
		return Place{Depth: 0, Sources: lo.Reject(top, func(m membership.Member, _ int) bool { return isSelf(m) })}
	case at >= 0 || relays == 0:
		return Place{Depth: 1, Sources: rotated(top, self)}
	default:
		return Place{Depth: 2, Sources: rotated(inner[len(top):], self)}
	}
}

// rotated returns the members from a place on that depends on the key.
func rotated(members []membership.Member, key string) []membership.Member {
	if len(members) == 0 {
		return nil
	}
	start := int(xxhash.Sum64String(key) % uint64(len(members)))
	return append(append(make([]membership.Member, 0, len(members)), members[start:]...), members[:start]...)
}
