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
	// ringPoints is the number of points of one upstream on the hash ring.
	ringPoints = 40
	// longHeadroom is the capacity set apart for long work over its share.
	longHeadroom = 0.7
)

// Layout holds what depends on the list of upstreams alone: every entry host
// that knows the same list computes the same layout. Use NewLayout.
type Layout struct {
	ids  []string
	once sync.Once
	ring []ringPoint // use points: policies without affinity by content need none
	// rank is an upstream's place in the order in which upstreams are set
	// apart for long work; consecutive places are in different failure domains.
	rank []int
}

type ringPoint struct {
	hash  uint64
	index int32
}

// NewLayout returns the layout of a list of upstreams.
func NewLayout(upstreams []Upstream) *Layout {
	l := &Layout{ids: make([]string, 0, len(upstreams)), rank: rankByDomain(upstreams)}
	for _, u := range upstreams {
		l.ids = append(l.ids, u.ID)
	}
	return l
}

// points returns the hash ring.
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

// rankByDomain orders upstreams by turns of their failure domains.
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

// longCount returns how many of n upstreams serve long work first. At least
// one is left to short work.
func longCount(n int, share float64) int {
	if share <= 0 || n < 2 {
		return 0
	}
	return max(1, min(n-1, int(math.Ceil(share*longHeadroom*float64(n)))))
}

// forLong says whether the upstream serves long work first.
func (s *Snapshot) forLong(index int) bool { return s.layout.rank[index] < s.long }

// start returns the place on the ring of a key.
func (l *Layout) start(key uint64) int {
	at, _ := slices.BinarySearchFunc(l.points(), next(&key), func(p ringPoint, key uint64) int { return cmp.Compare(p.hash, key) })
	return at
}
