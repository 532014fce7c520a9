package membership

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// ringCount is the number of rings on which each member has a successor that
// it probes and sends values to.
const ringCount = 4

// View is an immutable view of the members. Lists are in order of the ids.
type View struct {
	// ReadAt is when the view was made from the records known then; zero until
	// this host has joined.
	ReadAt time.Time
	// Members are those that take part, this host included: a member that has
	// been suspect for absentTimeout is left out, though it may come back.
	Members []Member
	// Strong are those of Members with the most capacity, half of them: work for
	// all hosts goes to them. Empty where capacities are not known.
	Strong []Member
	// All are the members that are not known to have ended.
	All        []Member
	byID       map[string]Member
	neighbours []Member
}

func newView(all []Member, absent func(Member) bool, self string, readAt time.Time) *View {
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return &View{
		ReadAt: readAt, All: all,
		Members:    lo.Reject(all, func(m Member, _ int) bool { return absent(m) }),
		byID:       lo.KeyBy(all, func(m Member) string { return m.ID }),
		neighbours: successors(all, self),
	}
}

// Member returns a member in All by its id.
func (v *View) Member(id string) (Member, bool) {
	m, ok := v.byID[id]
	return m, ok
}

// Usable returns the members that take new work, as far as is known.
func (v *View) Usable() []Member {
	return lo.Filter(v.Members, func(m Member, _ int) bool { return m.Usable() })
}

// InDomain returns the usable members in a failure domain.
func (v *View) InDomain(domain string) []Member {
	return lo.Filter(v.Members, func(m Member, _ int) bool { return m.Usable() && m.FailureDomain == domain })
}

// OutsideDomain returns the usable members in other failure domains.
func (v *View) OutsideDomain(domain string) []Member {
	return lo.Filter(v.Members, func(m Member, _ int) bool { return m.Usable() && m.FailureDomain != domain })
}

// Chosen returns up to count usable members in the rendezvous order of a key:
// hosts with the same view choose the same, and a change of the members moves
// few choices.
func (v *View) Chosen(key string, count int) []Member { return choose(v.Members, key, count) }

// ChosenStrong is Chosen among the members with the most capacity.
func (v *View) ChosenStrong(key string, count int) []Member {
	if len(v.Strong) < count {
		return v.Chosen(key, count)
	}
	return choose(v.Strong, key, count)
}

// StrongOf returns the half of the members with the most capacity, in the order
// of the list; nil where all have the same.
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

// choose returns up to count usable members in the rendezvous order of a key.
// It runs for each request, so that it ranks each member once and allocates for the
// chosen ones only.
func choose(members []Member, key string, count int) []Member {
	var best []ranked // in order; the first count of those seen so far
	prefix := xxhash.New()
	_, _ = prefix.WriteString(key) // a hash never fails
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

// ranked is a member's place in a rendezvous order.
type ranked struct {
	rank  uint64
	index int
}

// successors returns the member after self on each ring, each member once. A
// ring is the order of the members by a hash of the ring's number and the id.
func successors(members []Member, self string) []Member {
	taken := map[string]bool{self: true}
	var out []Member
	for ring := range byte(ringCount) {
		own := ringHash(ring, self)
		best, distance := -1, uint64(0)
		for i, m := range members {
			// The subtraction wraps, as the ring does.
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

func ringHash(ring byte, id string) uint64 {
	return xxhash.Sum64String(string([]byte{'0' + ring, '/'}) + id)
}
