package genlog_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/membership"
)

// TestHoldersAreFoundFromTheRequestID places copies over 340 members in five
// failure domains, one of them leaving, and looks for them by rank.
func TestHoldersAreFoundFromTheRequestID(t *testing.T) {
	var members []membership.Member
	for i := range 340 {
		domain := fmt.Sprint(i % 5)
		members = append(members, membership.Member{ID: fmt.Sprintf("entry-%d", i), FailureDomain: domain, Leaving: domain == "0"})
	}
	const requests = 1000
	places := map[int]int{}
	for i := range requests {
		id := fmt.Sprintf("req-%d", i)
		owner := members[i%len(members)]
		holder := genlog.Holders(id, owner, members)[0]
		if holder.FailureDomain == owner.FailureDomain || holder.Leaving {
			t.Fatalf("%s is held by %+v for %+v", id, holder, owner)
		}
		place := slices.IndexFunc(genlog.Rank(id, members), func(m membership.Member) bool { return m.ID == holder.ID })
		if place >= 32 {
			t.Fatalf("%s is held by the member of rank %d", id, place)
		}
		places[place/8]++
	}
	t.Logf("of %d holders %d rank among the first 8 members, %d among the next 8", requests, places[0], places[1])
}
