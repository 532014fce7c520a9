package replica

import (
	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/membership"
)

const (
	// readerRole is the hash key that selects the readers, which read the key-value service on
	// behalf of the other hosts, and the relays, which forward the readers' changes.
	readerRole = "watchers"
	// readerCount is how many hosts read the key-value service on behalf of the others; two of
	// them may fail.
	readerCount = 3
	// maxFollowers bounds how many hosts copy from the same host. Each change wakes all of them,
	// and the host that answers may have only a fifth of a CPU core.
	maxFollowers = 32
	// relayFollowers is how many hosts copy from one relay, a host between them and the readers.
	relayFollowers = 24
)

// TreePosition is a host's position in the tree on which changes spread. The root level are the
// readers of the key-value service; in large fleets, relays copy from them; the other
// hosts are the leaves.
type TreePosition struct {
	// Depth is the number of hosts that a change passes through before it reaches this host; it is
	// 0 for a reader of the key-value service.
	Depth int
	// Sources lists the hosts to copy from in order of preference. Each host has an order of its
	// own, so that the load spreads over the sources.
	Sources []membership.Member
}

// TreePositionOf returns the position of the host self in the tree that the members of the
// view form.
func TreePositionOf(self string, view *membership.View) TreePosition {
	relays := 0
	if n := len(view.Members); n > readerCount*maxFollowers {
		relays = (n + relayFollowers - 1) / relayFollowers
	}
	chosen := view.ChosenByCapacity(readerRole, readerCount+relays)
	readers := chosen[:min(readerCount, len(chosen))]
	isSelf := func(m membership.Member) bool { return m.ID == self }
	_, index, _ := lo.FindIndexOf(chosen, isSelf)
	switch {
	case index >= 0 && index < len(readers):
		return TreePosition{Depth: 0, Sources: lo.Reject(readers, func(m membership.Member, _ int) bool { return isSelf(m) })}
	case index >= 0 || relays == 0:
		return TreePosition{Depth: 1, Sources: rotated(readers, self)}
	default:
		return TreePosition{Depth: 2, Sources: rotated(chosen[len(readers):], self)}
	}
}

// rotated returns the members in cyclic order, starting at an index derived from the hash of key.
func rotated(members []membership.Member, key string) []membership.Member {
	if len(members) == 0 {
		return nil
	}
	start := int(xxhash.Sum64String(key) % uint64(len(members)))
	return append(append(make([]membership.Member, 0, len(members)), members[start:]...), members[:start]...)
}
