package routing

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringPoints is the number of points that each upstream has on the hash ring.
	ringPoints = 40
	// longReserveFactor is the capacity reserved for long work, as a multiple of
	// its share of all work.
	longReserveFactor = 0.7
)

// Layout holds the data that depends only on the list of upstreams. All hosts
// with the same list compute the same layout. Use NewLayout.
type Layout struct {
	ids  []string
	once sync.Once
	ring []ringPoint // built by points on first use; not all policies need it
	// rank holds the position of each upstream in the order in which upstreams
	// are reserved for one kind of work. Upstreams at consecutive positions are
	// in different failure domains.
	rank []int
}

type ringPoint struct {
	hash  uint64
	index int32
}

// NewLayout returns the layout of a list of upstreams. The hash ring is built
// later, on first use.
func NewLayout(upstreams []Upstream) *Layout {
	l := &Layout{ids: make([]string, 0, len(upstreams)), rank: rankByDomain(upstreams)}
	for _, u := range upstreams {
		l.ids = append(l.ids, u.ID)
	}
	return l
}

// points returns the hash ring, sorted by hash. The first call builds the ring.
func (l *Layout) points() []ringPoint {
	l.once.Do(func() {
		ring := make([]ringPoint, 0, len(l.ids)*ringPoints)
		for i, id := range l.ids {
			for point := range ringPoints {
				hash := xxhash.Sum64String(id + "#" + strconv.Itoa(point))
				ring = append(ring, ringPoint{hash: hash, index: int32(i)})
			}
		}
		slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
		l.ring = ring
	})
	return l.ring
}

// rankByDomain returns the position of each upstream in an order that alternates
// between failure domains. The order depends on hashes of the IDs, not on the
// order of the list.
func rankByDomain(upstreams []Upstream) []int {
	type place struct {
		turn   int
		domain uint64
		index  int
	}
	order := make([]int, len(upstreams))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(xxhash.Sum64String(upstreams[a].ID), xxhash.Sum64String(upstreams[b].ID))
	})
	turns := map[string]int{}
	places := make([]place, 0, len(order))
	for _, i := range order {
		domain := upstreams[i].FailureDomain
		places = append(places, place{turn: turns[domain], domain: xxhash.Sum64String(domain), index: i})
		turns[domain]++
	}
	slices.SortStableFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.domain, b.domain))
	})
	rank := make([]int, len(upstreams))
	for at, p := range places {
		rank[p.index] = at
	}
	return rank
}

// longFirstCount returns how many of n upstreams are reserved for long work. At
// least one upstream is left for short work.
func longFirstCount(n int, share float64) int {
	if share <= 0 || n < 2 {
		return 0
	}
	return max(1, min(n-1, int(math.Ceil(share*longReserveFactor*float64(n)))))
}

// servesLongFirst reports whether the upstream at index is reserved for long
// work.
func (s *Snapshot) servesLongFirst(index int) bool { return s.layout.rank[index] < s.longFirst }

// ringStart returns the index of the first ring point at or after the hash of the
// key.
func (l *Layout) ringStart(key uint64) int {
	at, _ := slices.BinarySearchFunc(l.points(), nextRandom(&key), func(p ringPoint, key uint64) int { return cmp.Compare(p.hash, key) })
	return at
}
