package provision

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/membership"
)

func viewOf(ids ...string) *membership.View {
	view := &membership.View{}
	for _, id := range ids {
		view.Members = append(view.Members, membership.Member{ID: id, State: membership.StateAlive})
	}
	return view
}

func TestDemandIsKnownWhenEveryHostHasTold(t *testing.T) {
	start, r := time.Unix(1000, 0), rates{}
	r.note(rate{Host: "n1", Pool: "p", TokensPerSecond: 30}, start)
	r.note(rate{Host: "n2", Pool: "other", TokensPerSecond: 500}, start)
	if r.complete("p", viewOf("n1", "n2"), start) {
		t.Fatal("known without n2")
	}
	r.note(rate{Host: "n2", Pool: "p", TokensPerSecond: -1}, start)
	r.note(rate{Host: "n2", Pool: "p", TokensPerSecond: 12}, start)
	if got := r.sum("p", viewOf("n1", "n2"), start); got != 42 || !r.complete("p", viewOf("n1", "n2"), start) {
		t.Fatalf("sum %v", got)
	}
	later := start.Add(rateIntervals*minRateInterval + 1)
	r.note(rate{Host: "n1", Pool: "p", TokensPerSecond: 30}, later)
	if r.complete("p", viewOf("n1", "n2"), later) || !r.complete("p", viewOf("n1"), later) {
		t.Fatal("an old rate counts as known")
	}
	if got := r.sum("p", viewOf("n1"), later); got != 30 {
		t.Fatalf("sum %v with an old rate", got)
	}
	if r.complete("p", viewOf(), later) {
		t.Fatal("known without members")
	}
}

// A candidate is sent a pool's rates within 2 of the 3 KB/s at 340 hosts, with
// the longest names; 32 bytes are allowed for the envelope and the frame.
func TestRatesFitTheControlBudget(t *testing.T) {
	name := string(make([]byte, 63))
	body, err := cbor.Marshal(rate{Host: name, Pool: name, TokensPerSecond: 1234.5678})
	if err != nil {
		t.Fatal(err)
	}
	perSecond := float64(len(body)+32) * 340 / rateInterval(340).Seconds()
	if perSecond > 2048 {
		t.Fatalf("%.0f bytes a second", perSecond)
	}
	t.Logf("%d bytes a message, %.0f bytes a second", len(body), perSecond)
}

func TestWantsFollowTheFiles(t *testing.T) {
	snapshot := &config.Snapshot{Services: map[string]*config.Service{
		"a": {Pool: "p", Model: "m1", Capacity: map[string]float64{"small": 100, "large": 300}, MinTokensPerSecond: 50},
		"b": {Pool: "p", Model: "m1", Capacity: map[string]float64{"small": 80}, MinTokensPerSecond: 20},
		"c": {Pool: "unprovisioned", Model: "m2"},
	}}
	got := wantsOf(snapshot)
	w := want{capacity: map[string]float64{"small": 80, "large": 300}, floor: 70, models: []string{"m1", "m1"}}
	if !reflect.DeepEqual(got, map[string]want{"p": w}) {
		t.Fatalf("got %+v", got)
	}
	if got := wantsOf(nil); len(got) != 0 {
		t.Fatalf("got %+v without files", got)
	}
}
