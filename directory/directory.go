// Package directory chooses the entry hosts that a caller should connect to. The
// choice is a pure function of the known hosts and the caller.
package directory

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamompier/cardamompier/membership"
)

const (
	// MaxHosts is the maximum number of hosts in one response. Callers use no more.
	MaxHosts = 64
	// nearWeight multiplies the weight of a host in the caller's failure domain. Most
	// requests of the caller then stay in the domain, while hosts of other domains
	// share the load when callers of one domain send a surge of requests.
	nearWeight = 3
	// minCapacity is the capacity assumed for a host whose capacity is lower or unknown.
	minCapacity = 0.1
)

// Caller identifies the client program that requests the addresses of entry hosts.
type Caller struct {
	// Key distinguishes callers. Choices for the same Key are stable, because a caller
	// closes its connections to hosts that are missing from a later response.
	Key string
	// FailureDomain is the failure domain of the caller, or empty if unknown.
	FailureDomain string
}

// Choose returns up to MaxHosts of the hosts that are not leaving. A host is chosen
// with a probability proportional to its capacity, so that every host of a large
// fleet gets its share of the callers. When hosts join or leave, few of a caller's
// hosts change.
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
		weight := max(m.Capacity, minCapacity)
		if m.FailureDomain == caller.FailureDomain {
			weight *= nearWeight
		}
		// Weighted rendezvous hashing needs the hash as a number between 0 and 1, both
		// excluded.
		uniform := (float64(xxhash.Sum64String(caller.Key+"/"+m.ID)>>11) + 0.5) / (1 << 53)
		scores[m.ID] = -weight / math.Log(uniform)
	}
	slices.SortFunc(usable, func(a, b membership.Member) int { return cmp.Compare(scores[b.ID], scores[a.ID]) })
	return usable[:MaxHosts]
}
