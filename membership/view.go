package membership

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// ringCount is the number of hash rings. On each ring a member has one successor,
// which it probes and sends gossip to.
const ringCount = 4

// View is an immutable snapshot of the members. Its lists are sorted by member id.
type View struct {
	// ReadAt is the time at which the view was built from the records known then;
	// zero until this host has joined.
	ReadAt time.Time
	// Members are the members in service, including this host. A member that has
	// been suspect for longSuspicionTimeout is excluded, though it may recover.
	Members []Member
	// Strong are the members with at least the median capacity, about half of Members.
	// Work for all hosts is assigned to them. Empty if capacities are unknown.
	Strong []Member
	// All are the alive and suspect members, including those excluded from Members.
	All        []Member
	byID       map[string]Member
	neighbours []Member
}

func newView(all []Member, longSuspected func(Member) bool, self string, readAt time.Time) *View {
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return &View{
		ReadAt: readAt, All: all,
		Members:    lo.Reject(all, func(m Member, _ int) bool { return longSuspected(m) }),
		byID:       lo.KeyBy(all, func(m Member) string { return m.ID }),
		neighbours: successors(all, self),
	}
}

// Member returns the member of View.All with the given id.
func (v *View) Member(id string) (Member, bool) {
	m, ok := v.byID[id]
	return m, ok
}

// Usable returns the members that are alive and not leaving.
func (v *View) Usable() []Member {
	return lo.Filter(v.Members, func(m Member, _ int) bool { return m.Usable() })
}

// InDomain returns the usable members in the given failure domain.
func (v *View) InDomain(domain string) []Member {
	return lo.Filter(v.Members, func(m Member, _ int) bool { return m.Usable() && m.FailureDomain == domain })
}

// OutsideDomain returns the usable members outside the given failure domain.
func (v *View) OutsideDomain(domain string) []Member {
	return lo.Filter(v.Members, func(m Member, _ int) bool { return m.Usable() && m.FailureDomain != domain })
}

// Chosen returns the first count usable members in the rendezvous-hash order of a
// key, or all if there are fewer. Hosts with equal views choose the same members,
// and a change of the members affects the choice for few keys.
func (v *View) Chosen(key string, count int) []Member { return choose(v.Members, key, count) }

// ChosenByCapacity is like Chosen but chooses among View.Strong, the members with the
// most capacity. It chooses among all members if Strong has fewer than count.
func (v *View) ChosenByCapacity(key string, count int) []Member {
	if len(v.Strong) < count {
		return v.Chosen(key, count)
	}
	return choose(v.Strong, key, count)
}

// StrongOf returns the members with at least the median capacity, about half of
// them, in the given order; nil if all capacities are equal.
func StrongOf(members []Member) []Member {
	capacities := make([]float64, 0, len(members))
	for _, m := range members {
		capacities = append(capacities, m.Capacity)
	}
	slices.Sort(capacities)
	if len(capacities) == 0 || capacities[0] == capacities[len(capacities)-1] {
		return nil
	}
	median := capacities[len(capacities)/2]
	return lo.Filter(members, func(m Member, _ int) bool { return m.Capacity >= median })
}

// choose returns the first count usable members in the rendezvous-hash order of a
// key. Because it runs for each request, it hashes each member once and allocates
// memory for the chosen members only.
func choose(members []Member, key string, count int) []Member {
	var best []ranked // sorted by rank; at most count entries
	prefix := xxhash.New()
	_, _ = prefix.WriteString(key) // writing to a hash never fails
	_, _ = prefix.WriteString("/")
	for i := range members {
		if !members[i].Usable() {
			continue
		}
		hash := *prefix
		_, _ = hash.WriteString(members[i].ID)
		next := ranked{rank: hash.Sum64(), index: i}
		at := len(best)
		for at > 0 && next.rank < best[at-1].rank {
			at--
		}
		if at < count {
			best = slices.Insert(best[:min(len(best), count-1)], at, next)
		}
	}
	chosen := make([]Member, 0, len(best))
	for _, r := range best {
		chosen = append(chosen, members[r.index])
	}
	return chosen
}

// ranked is the index of a member and its rank, the hash by which members are sorted
// in the rendezvous order of a key.
type ranked struct {
	rank  uint64
	index int
}

// successors returns the next member after self on each hash ring, skipping members
// already found on earlier rings. A ring orders the members by a hash of the ring's
// number and the member id.
func successors(members []Member, self string) []Member {
	taken := map[string]bool{self: true}
	var out []Member
	for ring := range byte(ringCount) {
		own := ringHash(ring, self)
		best, distance := -1, uint64(0)
		for i, m := range members {
			// The unsigned subtraction wraps around, as the ring does.
			if d := ringHash(ring, m.ID) - own; !taken[m.ID] && (best < 0 || d < distance) {
				best, distance = i, d
			}
		}
		if best >= 0 {
			taken[members[best].ID] = true
			out = append(out, members[best])
		}
	}
	return out
}

// ringHash returns the position of a member id on a ring.
func ringHash(ring byte, id string) uint64 {
	return xxhash.Sum64String(string([]byte{'0' + ring, '/'}) + id)
}
