package genlog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamompier/cardamompier/membership"
)

// Rank orders the members by rendezvous hashing of a request's id. Hosts with the same member list
// compute the same order, and query the members in this order to find the request.
func Rank(requestID string, members []membership.Member) []membership.Member {
	type ranked struct {
		member membership.Member
		weight uint64
	}
	ordered := make([]ranked, len(members))
	for i, m := range members {
		ordered[i] = ranked{member: m, weight: xxhash.Sum64String(requestID + "\x00" + m.ID)}
	}
	slices.SortFunc(ordered, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]membership.Member, len(ordered))
	for i, r := range ordered {
		out[i] = r.member
	}
	return out
}

// Holders returns the members that may hold a copy for an owner, best first: members in other
// failure domains precede those in the owner's, and leaving members come last. The owner is not
// among them.
func Holders(requestID string, owner membership.Member, members []membership.Member) []membership.Member {
	out := slices.DeleteFunc(Rank(requestID, members), func(m membership.Member) bool { return m.ID == owner.ID })
	slices.SortStableFunc(out, func(a, b membership.Member) int {
		return cmp.Compare(placementCost(a, owner), placementCost(b, owner))
	})
	return out
}

// placementCost returns the preference of a member as a holder; lower is better. It is 1 in the
// owner's failure domain and 0 elsewhere, plus 2 for a leaving member.
func placementCost(m, owner membership.Member) int {
	cost := 0
	if m.FailureDomain == owner.FailureDomain {
		cost = 1
	}
	if m.Leaving {
		cost += 2
	}
	return cost
}
