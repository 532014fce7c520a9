package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// viewOf returns a view of n hosts.
func viewOf(n int) *View {
	v := &View{}
	for i := range n {
		v.Members = append(v.Members, Member{ID: fmt.Sprintf("front-nyarugenge-%03d", i)})
	}
	return v
}

// The choice is that of sorting all usable members by their rank, whatever the
// order and number of members: hosts of two releases choose the same.
func TestChosenIsTheRendezvousOrder(t *testing.T) {
	for _, n := range []int{0, 1, 2, 9, 66, 295} {
		v := viewOf(n)
		for i := range v.Members {
			v.Members[i].Leaving = i%7 == 3
		}
		rand.Shuffle(n, func(i, j int) { v.Members[i], v.Members[j] = v.Members[j], v.Members[i] })
		for _, key := range []string{"", "watchers", "quota/a", "prompt/1f"} {
			sorted := v.Usable()
			sort.Slice(sorted, func(i, j int) bool {
				return xxhash.Sum64String(key+"/"+sorted[i].ID) < xxhash.Sum64String(key+"/"+sorted[j].ID)
			})
			for _, count := range []int{0, 1, 2, 7, 400} {
				if got, want := v.Chosen(key, count), sorted[:min(count, len(sorted))]; !slices.Equal(got, want) {
					t.Errorf("%d hosts, key %q, %d chosen: %v, want %v", n, key, count, got, want)
				}
			}
		}
	}
}

// A host of a large fleet chooses some members for each request: that takes
// no more allocations than with few hosts.
func TestChoosingAmongHundredsOfHosts(t *testing.T) {
	v := viewOf(295)
	if allocated := testing.AllocsPerRun(100, func() { v.Chosen("quota/account", 2) }); allocated > 6 {
		t.Errorf("%v allocations for one choice among %d hosts", allocated, len(v.Members))
	}
}

func BenchmarkChosen(b *testing.B) {
	for _, n := range []int{9, 66, 295} {
		v := viewOf(n)
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.Chosen("quota/account", 2)
			}
		})
	}
}

// A fleet of uneven hosts: what one host does for all goes to the half that can
// carry it; where capacities are unknown, to any.
func TestWorkForAllGoesToStrongHosts(t *testing.T) {
	v := viewOf(295)
	for i := range v.Members {
		v.Members[i].Capacity = 0.2 * float64(1+i%5)
	}
	v.Strong = StrongOf(v.Members)
	if share := float64(len(v.Strong)) / 295; share < 0.5 || share > 0.7 {
		t.Errorf("%.2f of the hosts are strong", share)
	}
	for _, m := range v.ChosenStrong("watchers", 16) {
		if m.Capacity < 0.6 {
			t.Errorf("%s has a capacity of %.1f", m.ID, m.Capacity)
		}
	}
	if even := StrongOf(viewOf(9).Members); even != nil {
		t.Errorf("even hosts: %v", even)
	}
	if got := viewOf(9).ChosenStrong("watchers", 3); len(got) != 3 {
		t.Errorf("%d chosen", len(got))
	}
}
