package condition

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(10000, 0)

// TestLeavingBindsOneRun checks that leaving is never revoked for a run, that it binds an older record of the
// upstream in a lagging list, and that it does not bind the next run under the same id.
func TestLeavingBindsOneRun(t *testing.T) {
	var table Table
	if !table.Empty() || table.Leaving(Run{ID: "u", StartedMS: 5}) {
		t.Error("an empty table has a condition")
	}
	if !table.Leave(Run{ID: "u", StartedMS: 5}, start) || table.Leave(Run{ID: "u", StartedMS: 5}, start) {
		t.Error("only the first announcement is news")
	}
	for run, want := range map[Run]bool{
		{ID: "u", StartedMS: 5}: true, {ID: "u", StartedMS: 4}: true, {ID: "u", StartedMS: 6}: false, {ID: "v", StartedMS: 5}: false,
	} {
		if got := table.Leaving(run); got != want {
			t.Errorf("run %+v leaves: %v, want %v", run, got, want)
		}
	}
	table.Leave(Run{ID: "u", StartedMS: 7}, start)
	if table.Leave(Run{ID: "u", StartedMS: 6}, start) {
		t.Error("a late announcement of an earlier run is news")
	}
}

// TestConditionsAreBounded checks the number of upstreams and the time for which conditions are kept.
func TestConditionsAreBounded(t *testing.T) {
	var table Table
	for i := range maxUpstreams + 200 {
		table.Leave(Run{ID: fmt.Sprint(i), StartedMS: 1}, start.Add(time.Duration(i)*time.Millisecond))
	}
	if n := len(*table.states.Load()); n != maxUpstreams {
		t.Errorf("%d upstreams have conditions, want %d", n, maxUpstreams)
	}
	if !table.Leaving(Run{ID: fmt.Sprint(maxUpstreams + 199), StartedMS: 1}) {
		t.Error("the newest condition was evicted")
	}
	table.RemoveExpired(start.Add(2 * retention))
	if !table.Empty() {
		t.Error("conditions outlive their retention")
	}
}

// TestPauseEnds checks that a pause ends by itself, that a shorter one does not end it earlier, and that a
// pause without a sensible end is bounded.
func TestPauseEnds(t *testing.T) {
	var table Table
	run := Run{ID: "u", StartedMS: 5}
	if !table.Pause(run, 2*time.Second, start) || table.Pause(run, time.Second, start.Add(500*time.Millisecond)) {
		t.Error("only the first pause is news")
	}
	for at, want := range map[time.Duration]bool{0: true, 1900 * time.Millisecond: true, 2 * time.Second: false} {
		if _, paused := table.PausedUntil(run, start.Add(at)); paused != want {
			t.Errorf("paused after %v: %v, want %v", at, paused, want)
		}
	}
	if _, paused := table.PausedUntil(Run{ID: "u", StartedMS: 6}, start); paused {
		t.Error("the next run is paused")
	}
	table.RemoveExpired(start.Add(3 * time.Second))
	if !table.Empty() {
		t.Error("the pause is kept after its end")
	}
	table.Pause(run, 1<<62, start)
	if until, _ := table.PausedUntil(run, start); until.After(start.Add(maxPause)) {
		t.Errorf("the pause ends at %v, want at most %v after its start", until, maxPause)
	}
}

// TestLimitLastsWhileItIsNamed checks when a limit begins, changes and ends, at this host and as other hosts report
// it.
func TestLimitLastsWhileItIsNamed(t *testing.T) {
	var table Table
	run := Run{ID: "u", StartedMS: 5}
	limitAt := func(at time.Duration) float64 {
		rate, limited := table.LimitOf(run, start.Add(at))
		if !limited {
			return -1
		}
		return rate
	}
	check := func(what string, at time.Duration, want float64) {
		t.Helper()
		if got := limitAt(at); got != want {
			t.Errorf("%s: limit %v after %v, want %v (-1 for none)", what, got, at, want)
		}
	}
	if !table.Limit(run, 10, start) || table.Limit(run, 10, start.Add(time.Second)) || !table.Limit(run, 2, start.Add(2*time.Second)) {
		t.Error("only new and changed limits are news")
	}
	check("changed limit", 2*time.Second, 2)
	if table.EndLimit(run, start.Add(1900*time.Millisecond), start.Add(3*time.Second)) {
		t.Error("an answer to a request from before the limit was named ends it")
	}
	check("after a late answer", 3*time.Second, 2)
	if !table.EndLimit(run, start.Add(2100*time.Millisecond), start.Add(3*time.Second)) {
		t.Error("an answer without a limit does not end it")
	}
	check("after an answer without a limit", 3*time.Second, -1)
	table.Limit(run, 0.5, start.Add(4*time.Second))
	check("between two answers of a slow upstream", 11*time.Second, 0.5)
	check("after a long silence", 40*time.Second, -1)
	table.Limit(run, 0, start.Add(50*time.Second))
	check("a limit of zero", 60*time.Second, 0)
	table.ShareLimit(run, 3, start.Add(100*time.Second))
	check("reported by others", 101*time.Second, 3)
	check("no more reported", 103*time.Second, -1)
}

// TestDeferralEndsWithItsLimit checks that a host without a permit sends nothing until it may ask again, or until the
// upstream names no limit any more.
func TestDeferralEndsWithItsLimit(t *testing.T) {
	var table Table
	run := Run{ID: "u", StartedMS: 5}
	table.Limit(run, 1, start)
	table.Defer(run, start.Add(time.Second), start)
	if _, closed := table.ClosedUntil(run, start.Add(500*time.Millisecond)); !closed {
		t.Error("the upstream is open before the host may ask again")
	}
	if _, closed := table.ClosedUntil(run, start.Add(time.Second)); closed {
		t.Error("the upstream is closed although the host may ask again")
	}
	table.EndLimit(run, start.Add(100*time.Millisecond), start.Add(200*time.Millisecond))
	if _, closed := table.ClosedUntil(run, start.Add(500*time.Millisecond)); closed {
		t.Error("the upstream is closed although it has no limit")
	}
}

// TestNextRunNamesTheSameLimit guards against a limit that is dropped because the run before named the same one a
// moment ago: an upstream that starts again under its id has limits of its own.
func TestNextRunNamesTheSameLimit(t *testing.T) {
	var table Table
	table.Limit(Run{ID: "u", StartedMS: 5}, 1, start)
	next := Run{ID: "u", StartedMS: 6}
	if !table.Limit(next, 1, start.Add(limitRefresh/2)) {
		t.Error("the limit of the next run is no news")
	}
	if rate, limited := table.LimitOf(next, start.Add(limitRefresh/2)); !limited || rate != 1 {
		t.Errorf("the next run has limit %v, %v, want 1", rate, limited)
	}
}
