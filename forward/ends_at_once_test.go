package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// fatalBurst is how a request that ends upstreams comes again and again.
type fatalBurst struct {
	hosts    int           // entry hosts
	callers  int           // attempts of its caller in a row, each at another host
	runTime  time.Duration // until the upstream ends
	end      func(f *fleet, u *simUpstream)
	path     string
	answered time.Duration // how long before it became fatal the request was answered; 0 means never
}

// TestRequestThatEndsUpstreamsAtOnce guards against ends that count as one because they lie close
// together: a request that ends upstreams as it begins is repeated within milliseconds, by its host and by
// its caller, and took all upstreams down again and again.
func TestRequestThatEndsUpstreamsAtOnce(t *testing.T) {
	for name, b := range map[string]fatalBurst{
		"repeated by hosts and caller":          {hosts: 4, callers: 2, runTime: 20 * time.Millisecond, end: endAndRefuse, path: "/read"},
		"within the same millisecond":           {hosts: 4, callers: 2, end: endAndRefuse, path: "/read"},
		"answered before":                       {hosts: 4, callers: 2, runTime: 20 * time.Millisecond, end: endAndRefuse, path: "/read", answered: contactSpan},
		"answered right before":                 {hosts: 4, callers: 2, runTime: 20 * time.Millisecond, end: endAndRefuse, path: "/read", answered: 100 * time.Millisecond},
		"repeated by its caller alone":          {hosts: 4, callers: 4, runTime: 10 * time.Millisecond, end: endAndRefuse, path: "/order"},
		"no proof: accepts connections at once": {hosts: 4, callers: 2, runTime: 20 * time.Millisecond, end: endAndReturn, path: "/read"},
		"many hosts":                            {hosts: 30, callers: 2, runTime: 20 * time.Millisecond, end: endAndRefuse, path: "/read"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playFatalBursts(t, b)
		})
	}
}

// playFatalBursts sends the request in bursts that are further apart than contactSpan, and checks how many
// reach upstreams once every host must know of the third end.
func playFatalBursts(t *testing.T, b fatalBurst) {
	const upstreams, bursts = 4, 4
	fatalPath := b.path + "/fatal"
	var fatal sync.Map // set once the request ends upstreams
	var f *fleet
	f = newFleet(t, b.hosts, upstreams, func(u *simUpstream, r receivedRequest, conn net.Conn) bool {
		if _, ends := fatal.Load(r.URL.Path); ends {
			time.Sleep(b.runTime)
			b.end(f, u)
			return false
		}
		writeAnswer(conn, r, http.StatusOK, sealHeader, "ok")
		return true
	})
	if b.answered > 0 {
		for _, h := range f.hosts {
			if c := f.call(h, fatalPath, "same body"); !c.served() {
				t.Fatalf("before it is fatal, the request got status %d, want it served", c.status)
			}
		}
		time.Sleep(b.answered)
	}
	_, answered := f.endsAndArrivals(fatalPath)
	fatal.Store(fatalPath, true)
	done := make(chan struct{})
	var sound []call
	var running sync.WaitGroup
	running.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				sound = append(sound, f.call(f.hosts[i%len(f.hosts)], fmt.Sprintf("/read/sound/%d", i), "b"))
			}
		}
	})
	for burst := range bursts {
		for attempt := range b.callers {
			if c := f.call(f.hosts[(burst+attempt)%len(f.hosts)], fatalPath, "same body"); strings.Contains(c.body, "request_quarantined") {
				break
			}
		}
		time.Sleep(contactSpan + crashDowntime)
	}
	close(done)
	running.Wait()
	ends, sent := f.endsAndArrivals(fatalPath)
	sent = sent[len(answered):]
	if len(ends) < 3 {
		t.Fatalf("%d upstreams ended, want at least 3", len(ends))
	}
	bound := ends[2].Add(contactSpan)
	late := len(sent) - slices.IndexFunc(append(sent, bound), func(at time.Time) bool { return !at.Before(bound) })
	if late > maxRetriesAfterThirdEnd {
		t.Errorf("%d requests reached upstreams later than %v after the third upstream ended, want at most %d; %d ended in all",
			late, contactSpan, maxRetriesAfterThirdEnd, len(ends))
	}
	checkSoundCalls(t, sound, bound.Add(crashDowntime))
	t.Logf("%d sends, %d ends", len(sent), len(ends))
}

// TestSoundRequestStaysServedWhenAllUpstreamsEnd is the other side of TestRequestThatEndsUpstreamsAtOnce: a request
// that callers repeat all the time is at all upstreams when an outside cause ends them, at once or one
// shortly after the other, and its repeats run at those that end next. It must not be refused for that.
func TestSoundRequestStaysServedWhenAllUpstreamsEnd(t *testing.T) {
	for _, entryHosts := range fleetSizes {
		for _, spread := range []time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprintf("hosts=%d/spread=%v", entryHosts, spread), func(t *testing.T) {
				t.Parallel()
				playOutsideCause(t, entryHosts, spread)
			})
		}
	}
}

// playOutsideCause ends all upstreams twice, over the given time, while callers repeat one request.
func playOutsideCause(t *testing.T, entryHosts int, spread time.Duration) {
	const upstreams, callers, runTime, settled = 4, 24, 40 * time.Millisecond, time.Second
	f := newFleet(t, entryHosts, upstreams, func(_ *simUpstream, r receivedRequest, conn net.Conn) bool {
		time.Sleep(runTime)
		writeAnswer(conn, r, http.StatusOK, sealHeader, "ok")
		return true
	})
	done := make(chan struct{})
	results := make([][]call, callers)
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				c := f.call(f.hosts[(i+n)%len(f.hosts)], "/read/sound", "same body")
				if results[i] = append(results[i], c); !c.served() {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	var served []time.Time // from when on all requests must be served, until the next end
	var until []time.Time
	for range 2 {
		time.Sleep(settled)
		until = append(until, time.Now().Add(-callDeadline/10))
		for i, u := range f.upstreams {
			if i > 0 {
				time.Sleep(spread / (upstreams - 1))
			}
			endAndRefuse(f, u)
		}
		time.Sleep(crashDowntime + settled)
		served = append(served, time.Now())
	}
	time.Sleep(settled)
	until = append(until, time.Now().Add(-callDeadline/10))
	close(done)
	running.Wait()
	failed, total, reasons := 0, 0, map[string]int{}
	for i, from := range served {
		for _, c := range slices.Concat(results...) {
			if c.startAt.Before(from) || c.startAt.After(until[i+1]) {
				continue
			}
			if total++; !c.served() {
				failed++
				reasons[fmt.Sprint(c.status, " ", strings.TrimSpace(c.body), c.err)]++
			}
		}
	}
	if total < 100 || failed > 0 {
		t.Errorf("%d of %d requests were not served after the upstreams were back, want none: %v", failed, total, reasons)
	}
}
