// Package directory chooses the entry hosts that a caller is told to connect
// to. It is a pure function of the known hosts and the caller.
package directory

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamompier/cardamompier/membership"
)

const (
	// MaxHosts is how many hosts one answer names; callers use no more.
	MaxHosts = 64
	// nearWeight is the weight of a host in the caller's failure domain: most of
	// its requests stay there, and a surge of one domain's callers reaches others.
	nearWeight = 3
	// leastCapacity counts for a host whose capacity is lower or not known.
	leastCapacity = 0.1
)

// Caller is who asks.
type Caller struct {
	// Key tells callers from each other; its choice is stable, since a caller
	// closes its connections to hosts that a later answer leaves out.
	Key string
	// FailureDomain that it is in; empty where it does not say.
	FailureDomain string
}

// Choose returns up to MaxHosts of the hosts that take requests. Each is chosen
// with a chance in proportion to its capacity, so that all hosts of a large
// fleet get their share of the callers, and hosts that come or go change few of
// a caller's choices.
func Choose(hosts []membership.Member, caller Caller) []membership.Member {
	usable := make([]membership.Member, 0, len(hosts))
	for _, m := range hosts {
		if !m.Leaving {
			usable = append(usable, m)
		}
	}
	if len(usable) <= MaxHosts {
		return usable
	}
	scores := make(map[string]float64, len(usable))
	for _, m := range usable {
		weight := max(m.Capacity, leastCapacity)
		if m.FailureDomain == caller.FailureDomain {
			weight *= nearWeight
		}
		// Weighted rendezvous: the hash as a number above 0 and below 1.
		draw := (float64(xxhash.Sum64String(caller.Key+"/"+m.ID)>>11) + 0.5) / (1 << 53)
		scores[m.ID] = -weight / math.Log(draw)
	}
	slices.SortFunc(usable, func(a, b membership.Member) int { return cmp.Compare(scores[b.ID], scores[a.ID]) })
	return usable[:MaxHosts]
}
