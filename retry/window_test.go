package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Within any window, all hosts together make at most as many repeated attempts as
// the bound allows, whatever the order of requests and failures.
func TestWindowsEnforceBoundOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		bound := Bound{Ratio: 0.2, Slack: 9, Window: 10 * time.Second}
		windows := make([]*RepeatLimiter, hosts)
		for i := range windows {
			windows[i] = NewWindows(bound)
		}
		type event struct {
			at     time.Time
			repeat bool
		}
		var seen []event
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			w := windows[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "request") {
				w.Request("p", now)
				seen = append(seen, event{at: now})
			} else if w.Allow("p", hosts, now).Allowed {
				seen = append(seen, event{at: now, repeat: true})
			}
		}
		for i, last := range seen {
			requests, repeats := 0, 0
			for _, e := range seen[:i+1] {
				if last.at.Sub(e.at) >= bound.Window {
					continue
				}
				if e.repeat {
					repeats++
				} else {
					requests++
				}
			}
			if limit := bound.Ratio*float64(requests) + bound.Slack; float64(repeats) > limit {
				t.Fatalf("%d repeated attempts for %d requests, want at most %.1f", repeats, requests, limit)
			}
		}
	})
}
