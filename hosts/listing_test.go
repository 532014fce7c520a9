package hosts

import (
	"slices"
	"testing"
	"time"
)

func host(id string, started int64, state State) Host {
	return Host{ID: id, Address: "127.0.0.1:1", Pool: "p", State: state, StartedMS: started}
}

func idsOf(s *Snapshot) []string {
	var out []string
	for _, h := range s.Hosts {
		out = append(out, h.ID+"/"+string(h.State))
	}
	slices.Sort(out)
	return out
}

// A host that said once that it leaves stays so, though a late record says
// otherwise; the same id with a later start is another host.
func TestLeavingIsForGood(t *testing.T) {
	var l Listing
	now := time.Unix(100, 0)
	steps := []struct {
		name string
		list []Host
		want []string
	}{
		{"leaves", []Host{host("a", 1, StateLeaving), host("b", 1, StateLive)}, []string{"a/leaving", "b/live"}},
		{"late record", []Host{host("a", 1, StateLive), host("b", 1, StateLive)}, []string{"a/leaving", "b/live"}},
		{"started again", []Host{host("a", 2, StateLive), host("b", 1, StateLive)}, []string{"a/live", "b/live"}},
	}
	for _, s := range steps {
		if got := idsOf(l.Next(Reading{Hosts: s.list}, now)); !slices.Equal(got, s.want) {
			t.Errorf("%s: %v, want %v", s.name, got, s.want)
		}
	}
}

// Hosts whose records lapsed while the list's store was away are used until
// they had time to register again, and are gone after that.
func TestMassDisappearanceAfterAnOutage(t *testing.T) {
	var l Listing
	now := time.Unix(100, 0)
	l.Next(Reading{Hosts: []Host{host("a", 1, StateLive), host("b", 1, StateLive)}}, now)
	after := Reading{Hosts: []Host{host("b", 1, StateLive)}, OutageEnded: now.Add(5 * time.Second)}
	if got := idsOf(l.Next(after, now.Add(6*time.Second))); !slices.Equal(got, []string{"a/live", "b/live"}) {
		t.Errorf("one second after the outage: %v", got)
	}
	if !after.Provisional(now.Add(6 * time.Second)) {
		t.Error("the list is not said to be provisional")
	}
	if got := idsOf(l.Next(after, now.Add(8*time.Second))); !slices.Equal(got, []string{"b/live"}) {
		t.Errorf("three seconds after the outage: %v", got)
	}
	if got := idsOf(l.Next(Reading{}, now.Add(20*time.Second))); len(got) != 0 {
		t.Errorf("a record removed without an outage is kept: %v", got)
	}
}
