package replica

import (
	"fmt"
	"testing"

	"github.com/cardamompier/cardamompier/membership"
)

// Fleets from a few hosts to a thousand: few hosts read the service, no host is
// followed by more than a bounded number, and each has hosts to turn to.
func TestTreeOfLargeFleets(t *testing.T) {
	for _, n := range []int{1, 2, 9, 66, 96, 97, 295, 1000} {
		view := &membership.View{}
		for i := range n {
			view.Members = append(view.Members, membership.Member{ID: fmt.Sprintf("front-%03d", i)})
		}
		followers, reading, deepest := map[string]int{}, 0, 0
		for _, m := range view.Members {
			place := PlaceOf(m.ID, view)
			deepest = max(deepest, place.Depth)
			if place.Depth == 0 {
				reading++
				continue
			}
			if len(place.Sources) < min(readers, n-1) {
				t.Errorf("%d hosts: %s follows %d only", n, m.ID, len(place.Sources))
			}
			followers[place.Sources[0].ID]++
			if source := PlaceOf(place.Sources[0].ID, view); source.Depth != place.Depth-1 {
				t.Errorf("%d hosts: depth %d follows depth %d", n, place.Depth, source.Depth)
			}
		}
		most := 0
		for _, count := range followers {
			most = max(most, count)
		}
		// The draw is random: twice the mean at most.
		if reading != min(readers, n) || most > 2*maxFollowers || deepest > 2 {
			t.Errorf("%d hosts: %d read, depth %d, one is followed by %d", n, reading, deepest, most)
		}
		t.Logf("%d hosts: depth %d, one is followed by %d", n, deepest, most)
	}
}

// The readers stay the same while other hosts come and go.
func TestReadersOutlastOtherHosts(t *testing.T) {
	view := &membership.View{}
	for i := range 295 {
		view.Members = append(view.Members, membership.Member{ID: fmt.Sprintf("front-%03d", i)})
	}
	reads := func(v *membership.View) (ids []string) {
		for _, m := range v.Members {
			if PlaceOf(m.ID, v).Depth == 0 {
				ids = append(ids, m.ID)
			}
		}
		return ids
	}
	before := fmt.Sprint(reads(view))
	var left []membership.Member
	for i, m := range view.Members {
		if i%3 != 0 || PlaceOf(m.ID, view).Depth == 0 {
			left = append(left, m)
		}
	}
	if after := fmt.Sprint(reads(&membership.View{Members: left})); after != before {
		t.Errorf("%s read before, %s after", before, after)
	}
}
