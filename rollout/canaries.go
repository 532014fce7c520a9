package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Canaries returns the upstreams of the target that get its requests in PhaseCanary: the first
// max(1, floor(0.8 x share x n)) of the n ids in the order of rendezvous hashing. Few upstreams with the load
// that they will have to carry later show faults that occur under load only. All hosts choose the same ones.
func Canaries(pool string, ids []string, share float64) []string {
	type ranked struct {
		rank uint64
		id   string
	}
	all := make([]ranked, 0, len(ids))
	for _, id := range ids {
		all = append(all, ranked{rank: xxhash.Sum64String(pool + "/" + id), id: id})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id)) })
	all = slices.Compact(all)
	out := make([]string, 0, len(all))
	for _, r := range all[:canaryCount(len(all), share)] {
		out = append(out, r.id)
	}
	return out
}

// canaryCount returns the number of canaries among n upstreams.
func canaryCount(n int, share float64) int {
	// The tolerance keeps products such as 0.8 x 0.1 x 25 from falling below the whole number that they stand for.
	k := int(math.Floor(usedShare*min(max(share, 0), 1)*float64(n) + 1e-9))
	return min(max(k, 1), n)
}
