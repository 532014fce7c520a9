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
			windows[i] = NewRepeatLimiter(bound, 0)
		}
		type event struct {
			at     time.Duration
			repeat bool
		}
		var seen []event
		now := 1000 * time.Second
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
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
				if last.at-e.at >= bound.Window {
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

// TestTwoBurstsAboutAWindowApart guards against a burst of repeated attempts that is forgotten before it is a whole
// window old, or that arrives later than it was allowed, so that a second burst exceeds the bound together with it.
func TestTwoBurstsAboutAWindowApart(t *testing.T) {
	const dial = 400 * time.Millisecond
	bound := Bound{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	for gap := 8 * time.Second; gap < 12*time.Second; gap += 100 * time.Millisecond {
		for phase := time.Duration(0); phase < 500*time.Millisecond; phase += 100 * time.Millisecond {
			w, first := NewRepeatLimiter(bound, 0), 1000*time.Second+phase
			burst := func(at time.Duration) (allowed int) {
				for w.Allow("p", 1, at).Allowed {
					allowed++
				}
				return allowed
			}
			early, late := burst(first), burst(first+gap)
			if sum := early + late; gap-dial < bound.Window && float64(sum) > bound.Slack {
				t.Errorf("%d and %d repeated attempts %v apart, of which those of a window must be at most %.0f", early, late, gap, bound.Slack)
			}
		}
	}
}

// TestProcessesThatStartInSeries guards against processes that each use a share of the bound of their own, so that the
// sum grows with each restart of a host.
func TestProcessesThatStartInSeries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, step = 4, 50 * time.Millisecond
		bound := Bound{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
		limiters := make([]*RepeatLimiter, hosts)
		now := 1000 * time.Second
		for i := range limiters {
			limiters[i] = NewRepeatLimiter(bound, now-time.Minute)
		}
		restartsPerSecond := rapid.Float64Range(0, 5).Draw(t, "restarts per second")
		failing := rapid.IntRange(0, 400).Draw(t, "step from which requests fail")
		var requests, repeats []time.Duration
		within := func(times []time.Duration, end time.Duration) (n int) {
			for _, at := range times {
				if at > end-bound.Window && at <= end {
					n++
				}
			}
			return n
		}
		for i := range 600 {
			now += step
			host := rapid.IntRange(0, hosts-1).Draw(t, "host")
			if rapid.Float64Range(0, 1).Draw(t, "restart") < restartsPerSecond*step.Seconds() {
				limiters[host] = NewRepeatLimiter(bound, now)
			}
			limiters[host].Request("p", now)
			requests = append(requests, now)
			for i >= failing && limiters[host].Allow("p", hosts, now).Allowed {
				repeats = append(repeats, now)
			}
			most := max(within(requests, now), within(requests, now-bound.Window/2), within(requests, now-bound.Window))
			if count, limit := within(repeats, now), bound.Ratio*float64(most)+bound.Slack; float64(count) > limit {
				t.Fatalf("%d repeated attempts in a window, at most %.0f are allowed", count, limit)
			}
		}
	})
}

// TestHostWithoutPartOfTheSlack guards against a host that takes the whole slack for itself because it knows no hosts.
func TestHostWithoutPartOfTheSlack(t *testing.T) {
	l := NewRepeatLimiter(Bound{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}, 0)
	if d := l.Allow("p", 0, time.Second); d.Allowed {
		t.Errorf("a host that shares the bound with no hosts may repeat: %+v", d)
	}
}
