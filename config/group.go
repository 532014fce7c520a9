package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// watcherCount is the number of group members that watch the key-value store.
const watcherCount = 3

// GroupMember is one entry host (a host that accepts requests) that follows the
// configuration.
type GroupMember struct {
	ID            string
	FailureDomain string
}

// Group is the set of entry hosts (hosts that accept requests) that share
// configuration updates, as seen by the host Self. The zero Group describes a host without peers.
type Group struct {
	Self    string
	Members []GroupMember
}

// watches reports whether the host Self must watch the key-value store, either
// as one of the group's watchers or because Members does not contain Self.
func (g Group) watches() bool {
	if !lo.ContainsBy(g.Members, func(m GroupMember) bool { return m.ID == g.Self }) {
		return true
	}
	return lo.Contains(Watchers(g.Members), g.Self)
}

// Watchers returns the IDs of the members that watch the key-value store.
// Rendezvous hashing selects the members with the highest scores, each from a
// different failure domain while there are enough domains. A member that joins
// or leaves changes at most one of the watchers of its own failure domain.
func Watchers(members []GroupMember) []string {
	ordered := lo.Map(members, func(m GroupMember, _ int) candidate {
		return candidate{GroupMember: m, score: xxhash.Sum64String(ReplicatedName + "/" + m.ID)}
	})
	slices.SortFunc(ordered, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	var chosen, others []string
	seenDomains := map[string]bool{}
	for _, m := range ordered {
		if seenDomains[m.FailureDomain] {
			others = append(others, m.ID)
			continue
		}
		seenDomains[m.FailureDomain] = true
		chosen = append(chosen, m.ID)
	}
	chosen = append(chosen, others...)
	return chosen[:min(watcherCount, len(chosen))]
}

// candidate is a group member with its rendezvous hashing score.
type candidate struct {
	GroupMember
	score uint64
}
