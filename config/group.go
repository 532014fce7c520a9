package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// watcherCount is how many members of a group watch the store.
const watcherCount = 3

// GroupMember is one entry host that follows the configuration.
type GroupMember struct {
	ID            string
	FailureDomain string
}

// Group is the set of entry hosts that follow the configuration together, as
// one of them sees it. The zero Group is a host on its own.
type Group struct {
	Self    string
	Members []GroupMember
}

// watches says whether Self is one of the group's watchers. A host that does
// not see itself among the members watches.
func (g Group) watches() bool {
	if !lo.ContainsBy(g.Members, func(m GroupMember) bool { return m.ID == g.Self }) {
		return true
	}
	return lo.Contains(Watchers(g.Members), g.Self)
}

// Watchers returns the members that watch the store, by rendezvous hashing:
// those of the highest scores, in different failure domains while there are
// enough of them. A member that joins or leaves changes at most one of the
// watchers of its own domain.
func Watchers(members []GroupMember) []string {
	ordered := lo.Map(members, func(m GroupMember, _ int) candidate {
		return candidate{GroupMember: m, score: xxhash.Sum64String(SpreadName + "/" + m.ID)}
	})
	slices.SortFunc(ordered, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	var chosen, others []string
	taken := map[string]bool{}
	for _, m := range ordered {
		if taken[m.FailureDomain] {
			others = append(others, m.ID)
			continue
		}
		taken[m.FailureDomain] = true
		chosen = append(chosen, m.ID)
	}
	chosen = append(chosen, others...)
	return chosen[:min(watcherCount, len(chosen))]
}

// candidate is a member with its score.
type candidate struct {
	GroupMember
	score uint64
}
