package loadshare

import (
	"testing"
	"time"
)

// The sum that a host gets leaves out its own digest, follows the newest of
// each host, and forgets hosts that were killed.
func TestCenterAddsUpTheOthers(t *testing.T) {
	var c center
	now := time.Unix(0, 0)
	load := func(n int64) []Load { return []Load{{Upstream: 7, Unread: n, InFlight: 1}} }
	of := func(host string, n int64, at time.Time) Load {
		others := c.exchange(host, load(n), at)
		if len(others) == 0 {
			return Load{}
		}
		return others[0]
	}
	if got := of("a", 100, now); got != (Load{}) {
		t.Errorf("alone: %+v", got)
	}
	if got := of("b", 50, now); got.Unread != 100 || got.InFlight != 1 {
		t.Errorf("b sees %+v", got)
	}
	if got := of("a", 300, now); got.Unread != 50 {
		t.Errorf("a sees %+v", got)
	}
	if got := of("c", 0, now); got.Unread != 350 || got.InFlight != 2 {
		t.Errorf("c sees %+v", got)
	}
	if got := of("c", 0, now.Add(2*digestAge)); got != (Load{}) {
		t.Errorf("killed hosts still count: %+v", got)
	}
}
