package hosts

import (
	"slices"
	"strconv"
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

// TestLeavingIsPermanent checks that a host that was once leaving remains leaving even if a later
// list shows it as live, while a process with the same id and a later start time counts as another
// host.
func TestLeavingIsPermanent(t *testing.T) {
	var l Listing
	now := time.Unix(100, 0)
	steps := []struct {
		name string
		list []Host
		want []string
	}{
		{"host is leaving", []Host{host("a", 1, StateLeaving), host("b", 1, StateLive)}, []string{"a/leaving", "b/live"}},
		{"later list shows it as live", []Host{host("a", 1, StateLive), host("b", 1, StateLive)}, []string{"a/leaving", "b/live"}},
		{"restarted under the same id", []Host{host("a", 2, StateLive), host("b", 1, StateLive)}, []string{"a/live", "b/live"}},
	}
	for _, s := range steps {
		if got := idsOf(l.Next(Reading{Hosts: s.list}, now)); !slices.Equal(got, s.want) {
			t.Errorf("%s: snapshot %v, want %v", s.name, got, s.want)
		}
	}
}

// TestMassDisappearanceAfterAnOutage checks that hosts whose records expired during an outage of
// the list's store remain usable until they had time to register again, and are removed after that.
func TestMassDisappearanceAfterAnOutage(t *testing.T) {
	var l Listing
	now := time.Unix(100, 0)
	l.Next(Reading{Hosts: []Host{host("a", 1, StateLive), host("b", 1, StateLive)}}, now)
	after := Reading{Hosts: []Host{host("b", 1, StateLive)}, OutageEnded: now.Add(5 * time.Second)}
	if got := idsOf(l.Next(after, now.Add(6*time.Second))); !slices.Equal(got, []string{"a/live", "b/live"}) {
		t.Errorf("snapshot 1 s after the outage: %v, want both hosts", got)
	}
	if !after.Provisional(now.Add(6 * time.Second)) {
		t.Error("reading 1 s after the outage is not provisional")
	}
	if got := idsOf(l.Next(after, now.Add(8*time.Second))); !slices.Equal(got, []string{"b/live"}) {
		t.Errorf("snapshot 3 s after the outage: %v, want only host b", got)
	}
	if got := idsOf(l.Next(Reading{}, now.Add(20*time.Second))); len(got) != 0 {
		t.Errorf("snapshot contains hosts removed without an outage: %v", got)
	}
}

// TestHostsThatDepartedAsAnnounced checks that a host that was listed as leaving is told apart from one that
// vanished from the list, for departedSpan after its removal.
func TestHostsThatDepartedAsAnnounced(t *testing.T) {
	var l Listing
	began := time.Unix(100, 0)
	l.Next(Reading{Hosts: []Host{host("left", 1, StateLeaving), host("expired", 1, StateLive)}}, began)
	for _, c := range []struct {
		after time.Duration
		list  []Host
		want  bool
	}{
		{time.Second, nil, true},
		{2 * time.Second, []Host{host("left", 2, StateLive)}, true},
		{departedSpan, nil, true},
		{departedSpan + 2*time.Second, nil, false},
	} {
		s := l.Next(Reading{Hosts: c.list}, began.Add(c.after))
		if got := s.Departed(host("left", 1, StateLive)); got != c.want {
			t.Errorf("after %v: the host that was listed as leaving departed: %v, want %v", c.after, got, c.want)
		}
		if s.Departed(host("expired", 1, StateLive)) || s.Departed(host("left", 2, StateLive)) {
			t.Errorf("after %v: another host departed", c.after)
		}
	}
}

// TestDepartedHostsAreBounded checks that of many departed hosts the oldest are forgotten first.
func TestDepartedHostsAreBounded(t *testing.T) {
	var l Listing
	now := time.Unix(100, 0)
	for i := range maxDeparted + 1 {
		id := strconv.Itoa(i)
		l.Next(Reading{Hosts: []Host{host(id, 1, StateLeaving)}}, now.Add(time.Duration(i)*time.Millisecond))
	}
	s := l.Next(Reading{}, now.Add(2*time.Second))
	if s.Departed(host("0", 1, StateLive)) || !s.Departed(host("1", 1, StateLive)) || len(s.departed) != maxDeparted {
		t.Errorf("%d hosts departed, the first one among them: %v; want the newest %d", len(s.departed), s.Departed(host("0", 1, StateLive)), maxDeparted)
	}
}
