package genlog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamompier/cardamompier/membership"
)

// Rank returns the members in the order in which they are asked for a
// request: by rendezvous hashing of its id.
func Rank(requestID string, members []membership.Member) []membership.Member {
	type ranked struct {
		member membership.Member
		weight uint64
	}
	list := make([]ranked, len(members))
	for i, m := range members {
		list[i] = ranked{member: m, weight: xxhash.Sum64String(requestID + "\x00" + m.ID)}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]membership.Member, len(list))
	for i, r := range list {
		out[i] = r.member
	}
	return out
}

// Holders returns the members that may hold a copy for an owner, best first:
// those in other failure domains before those in its own, leaving ones last.
func Holders(requestID string, owner membership.Member, members []membership.Member) []membership.Member {
	out := slices.DeleteFunc(Rank(requestID, members), func(m membership.Member) bool { return m.ID == owner.ID })
	slices.SortStableFunc(out, func(a, b membership.Member) int {
		return cmp.Compare(burden(a, owner), burden(b, owner))
	})
	return out
}

func burden(m, owner membership.Member) int {
	burden := 0
	if m.FailureDomain == owner.FailureDomain {
		burden = 1
	}
	if m.Leaving {
		burden += 2
	}
	return burden
}
