package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// fatalPause is the pause between two fatal requests, and fatalCalls the number of those sent
	// after every host must refuse them.
	fatalPause, fatalCalls = 100 * time.Millisecond, 16
	// maxFatalSpan bounds the time until a request has ended three upstreams.
	maxFatalSpan = 10 * time.Second
)

// checkFatalRequests sends requests that end the upstreams that run them, each in another way, again and
// again to all hosts in turn. It checks how many reach upstreams once every host must know.
func (d *deployment) checkFatalRequests(t *testing.T) {
	var ways sync.WaitGroup
	for _, way := range d.ways {
		ways.Go(func() { d.checkFatalRequest(t, way) })
	}
	ways.Wait()
}

// checkFatalRequest is checkFatalRequests for one way of ending. Where the ways overlap, a request may be lost at
// upstreams that another one has ended, so that all hosts refuse it before it has ended three itself.
func (d *deployment) checkFatalRequest(t *testing.T, way wayOfEnding) {
	path := fatalPrefix + way.name
	client := newClient()
	var refusing sync.Map // entry hosts that have refused the request for its content
	i := 0
	send := func() {
		address := d.hosts[i%len(d.hosts)].listen
		go func() {
			if d.callFatal(client, address, path) == outcomeQuarantined {
				refusing.Store(address, true)
			}
		}()
		i++
		time.Sleep(fatalPause)
	}
	allRefuse := func() bool {
		return !slices.ContainsFunc(d.hosts, func(h *host) bool { _, refuses := refusing.Load(h.listen); return !refuses })
	}
	began := time.Now()
	for len(d.fatal.of(path)) < 3 && !allRefuse() && time.Since(began) < maxFatalSpan {
		send()
	}
	knownAt := time.Now()
	switch runs := d.fatal.of(path); {
	case len(runs) >= 3:
		knownAt = runs[2]
	case !allRefuse():
		t.Errorf("%s: only %d fatal requests reached upstreams, and not every host refuses them", way.name, len(runs))
		return
	}
	bound := knownAt.Add(contactSpan)
	for time.Now().Before(bound) {
		send()
	}
	for range fatalCalls {
		send()
	}
	late := 0
	for _, at := range d.fatal.of(path) {
		if at.After(bound) {
			late++
		}
	}
	if late > maxRetriesAfterThirdEnd {
		t.Errorf("BUDGET: %s: %d requests reached upstreams later than %v after the third upstream ended or all hosts refused them, want at most %d",
			way.name, late, contactSpan, maxRetriesAfterThirdEnd)
	}
}

// callFatal sends a fatal request, which is the same but for its id, and returns its outcome.
func (d *deployment) callFatal(client *http.Client, address, path string) string {
	id := fmt.Sprintf("r%d", d.nextID.Add(1))
	k := resumable
	d.log.mu.Lock()
	d.log.requests[id] = &request{kind: k, method: k.method, path: path, body: "fatal", sentAt: time.Now()}
	d.log.mu.Unlock()
	return d.exchange(context.Background(), client, address, k, id, path, "fatal")
}

// wayOf returns the way in which a request ends upstreams; false if it is sound.
func wayOf(path string) (wayOfEnding, bool) {
	for _, way := range append([]wayOfEnding{moves}, waysOfEnding...) {
		if strings.HasPrefix(path, fatalPrefix+way.name) {
			return way, true
		}
	}
	return wayOfEnding{}, false
}

// checkLimit lets an upstream name a limit while callers go on. Each request is checked as it arrives; the
// limit must also be used.
func (d *deployment) checkLimit(t *testing.T) {
	const rate = 5
	u := d.upstreams[2]
	u.nameLimit(rate)
	time.Sleep(limitSpan)
	u.mu.Lock()
	arrived := 0
	for _, at := range u.arrived {
		if time.Since(at) < limitWindow {
			arrived++
		}
	}
	u.mu.Unlock()
	if least := rate * int(limitWindow.Seconds()) / 2; arrived < least {
		t.Errorf("%s got %d requests in %v, want at least %d: half of its limit", u.id, arrived, limitWindow, least)
	}
	u.nameLimit(0)
}

// checkAnnouncedLeaving lets an upstream announce in its answers, and not in the store, that it leaves, while
// callers go on. Each request is checked as it arrives.
func (d *deployment) checkAnnouncedLeaving(t *testing.T) {
	u := d.upstreams[1]
	u.announcesLeaving.Store(true)
	time.Sleep(applySpan + time.Second)
	d.heard.mu.Lock()
	defer d.heard.mu.Unlock()
	told := 0
	for key := range d.heard.at {
		if key[0] == leavingHeader && key[2] == u.id {
			told++
		}
	}
	if told == 0 {
		t.Error("no host passed an answer on in which the upstream announced that it leaves")
	}
}
