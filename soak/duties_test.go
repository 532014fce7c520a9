package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	usageWindow = time.Second
	// dutySpan bounds the time until a holder reports usage: the election of a holder and the delay of its reports.
	dutySpan = 25 * time.Second
	// minDutyAge is the least age of a copy, so that a holder that begins after the copy reports before it is lost.
	minDutyAge = 6 * time.Second
	// handoverDelay is the time from the copy until the holder stops, and from the restore until the next one does.
	handoverDelay = 500 * time.Millisecond
	// dutiesAfterRestore is how long the duties are watched after a restore: two holders one after the other.
	dutiesAfterRestore = 15 * time.Second
	// freezeSlack is the time after a host was resumed, or its links were restored, in which its calls may be late.
	freezeSlack = 300 * time.Millisecond
	// minCut and maxCut bound a cut of the holder's links. The next holder begins 6 to 9 s after the last renewal.
	minCut, maxCut = 4 * time.Second, 14 * time.Second
	// dutiesAfterCut is how long the duties are watched after a cut. A retransmission after a cut comes at most as long
	// after it as the cut lasted.
	dutiesAfterCut = maxCut
)

// dutyAPI is a stand-in for the platform's API for duties. It checks the calls as they arrive.
type dutyAPI struct {
	d      *deployment
	server *httptest.Server

	mu      sync.Mutex
	holder  string                       // of the newest call
	holders map[string]map[uint64]string // holder by subject and fence
	highest map[string]uint64            // highest fence by subject
	reports map[int64]string             // accepted counts by window
	calls   map[string]int               // number of calls by operation and holder
}

func newDutyAPI(t *testing.T, d *deployment) *dutyAPI {
	a := &dutyAPI{d: d, holders: map[string]map[uint64]string{}, highest: map[string]uint64{}, reports: map[int64]string{}, calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", a.usage)
	mux.HandleFunc("POST /scale", a.scale)
	a.server = startServer(t, mux)
	t.Cleanup(a.server.Close)
	return a
}

func (a *dutyAPI) usage(w http.ResponseWriter, r *http.Request) {
	var report struct {
		Window int64            `json:"window_id"`
		Counts map[string]int64 `json:"counts"`
	}
	if json.NewDecoder(r.Body).Decode(&report) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkFence("usage", r)
	counts := fmt.Sprint(report.Counts) // maps are printed in the order of their keys
	if first, known := a.reports[report.Window]; known && first != counts {
		a.d.log.violate("ONE, report: %s reports %s for window %d, which was reported with %s", r.Header.Get("Duty-Holder"), counts, report.Window, first)
		return
	}
	a.reports[report.Window] = counts
}

func (a *dutyAPI) scale(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, Zone string }
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkFence("scale "+order.Service+" "+order.Zone, r)
}

// checkFence checks the fence of a call: no other holder has used it, and it is not lower than one before, unless the
// holder or its links were disturbed within freezeSlack, or the store within contactSpan. The caller holds a.mu.
func (a *dutyAPI) checkFence(subject string, r *http.Request) {
	holder := r.Header.Get("Duty-Holder")
	fence, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	a.holder = holder
	a.calls[subject+" "+holder]++
	if a.holders[subject] == nil {
		a.holders[subject] = map[uint64]string{}
	}
	if other := a.holders[subject][fence]; other != "" && other != holder {
		a.d.log.violate("ONE, fence: %s uses fence %d for %s, which %s has used", holder, fence, subject, other)
	}
	a.holders[subject][fence] = holder
	now := time.Now()
	if highest := a.highest[subject]; fence < highest && a.d.drill.lastDisturbed() < now.Add(-contactSpan).UnixNano() && a.d.isCalm(holder, now.Add(-freezeSlack)) {
		a.d.log.violate("ONE, lower: %s uses fence %d for %s after fence %d", holder, fence, subject, highest)
	}
	a.highest[subject] = max(a.highest[subject], fence)
}

// isCalm reports whether a host has had no fault since a time.
func (d *deployment) isCalm(name string, since time.Time) bool {
	for _, h := range d.hosts {
		if h.name == name {
			return h.disturbedAt.Load() < since.UnixNano() && !h.store.disturbedSince(since) && (h.duties == nil || !h.duties.disturbedSince(since))
		}
	}
	return false
}

// lastHolder returns the host that sent the newest call; nil if there was none.
func (a *dutyAPI) lastHolder() *host {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.d.hosts {
		if h.name == a.holder {
			return h
		}
	}
	return nil
}

// reported reports whether a window that began after a time was reported.
func (a *dutyAPI) reported(since time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for window := range a.reports {
		if time.UnixMilli(window * usageWindow.Milliseconds()).After(since) {
			return true
		}
	}
	return false
}

// TestDutiesOverRestoredStore guards against a fence that two holders use, a fence that goes back, two different
// reports of one usage window, and duties without a holder, once the store has lost the terms and the reports since
// its copy.
func TestDutiesOverRestoredStore(t *testing.T) { eachSeed(t, playDuties) }

// playDuties plays one restore. The holder of the duties stops after the copy, and half of the time the next one
// after the restore.
func playDuties(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	d := emptyDeployment(t)
	d.trouble.firstEra.Store(firstEraOf(seed))
	api := newDutyAPI(t, d)
	d.extra = map[string]any{"duties": api.server.Listener.Addr().String(), "usage_window_seconds": usageWindow.Seconds()}
	d.autoscale = map[string]any{"min": 1, "max": 8, "startup_s": 1}
	for range 4 {
		d.upstreams = append(d.upstreams, d.startUpstream(t))
	}
	d.startHosts(t)
	ctx, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range *callers {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		running.Go(func() { d.callUntil(ctx, own) })
	}
	await(t, dutySpan, "usage is reported", func() bool { return api.reported(time.Time{}) })
	d.drill.add(d.store)
	from := d.drill.copyBefore(time.Now())
	awayAt := time.Now().Add(spanBetween(random, minDutyAge, maxCopyAge))
	time.Sleep(handoverDelay)
	signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}
	if h := api.lastHolder(); h != nil {
		h.replace(t, signals[random.IntN(4)/3], spanBetween(random, 0, time.Second))
	}
	time.Sleep(time.Until(awayAt))
	d.storeGoesAway(random.IntN(2) == 0)
	time.Sleep(spanBetween(random, minAway, maxAway))
	d.storeComesBack(from)
	backAt := time.Now()
	t.Logf("the store comes back after %v from a copy %v old", backAt.Sub(awayAt), awayAt.Sub(from.at))
	time.Sleep(handoverDelay)
	d.operator.rewrite(d.store)
	if h := api.lastHolder(); h != nil && random.IntN(2) == 0 {
		h.replace(t, signals[random.IntN(2)], spanBetween(random, 0, time.Second))
	}
	time.Sleep(time.Until(backAt.Add(dutiesAfterRestore)))
	await(t, dutySpan-dutiesAfterRestore, "usage of after the restore is reported", func() bool { return api.reported(backAt) })
	end()
	running.Wait()
	api.mu.Lock()
	t.Logf("calls by subject and holder %v, highest fences %v", api.calls, api.highest)
	api.mu.Unlock()
	d.log.report(t)
}

// TestDutiesOverCuts guards against a call that its holder gave up during a cut, or whose process has ended, and that
// arrives behind the calls of the next holder.
func TestDutiesOverCuts(t *testing.T) { eachSeed(t, playCut, 101, 106) }

// playCut cuts the holder off from the platform while upstreams that it has ordered have not started, so that it repeats
// its orders. Half of the time it also ends the holder's process.
func playCut(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	d := emptyDeployment(t)
	api := newDutyAPI(t, d)
	d.duties = api.server.Listener.Addr().String()
	d.autoscale = map[string]any{"min": 1, "max": 8, "startup_s": 1}
	d.startHosts(t)
	await(t, dutySpan, "upstreams are ordered", func() bool { return api.lastHolder() != nil })
	time.Sleep(spanBetween(random, 0, 2*time.Second))
	h, cut := api.lastHolder(), spanBetween(random, minCut, maxCut)
	for _, p := range []*proxy{h.store, h.duties} {
		p.impair(impairment{blockTo: true, blockFrom: true})
	}
	healed := time.Now().Add(cut)
	if random.IntN(2) == 0 {
		time.Sleep(spanBetween(random, 0, 3*time.Second))
		signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}
		h.replace(t, signals[random.IntN(2)], spanBetween(random, 0, time.Second))
	}
	time.Sleep(time.Until(healed))
	for _, p := range []*proxy{h.store, h.duties} {
		p.impair(impairment{})
	}
	time.Sleep(dutiesAfterCut)
	api.mu.Lock()
	t.Logf("%s cut off for %v; calls by subject and holder %v, highest fences %v", h.name, cut, api.calls, api.highest)
	api.mu.Unlock()
	d.log.report(t)
}
