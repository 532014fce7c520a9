package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"
)

const (
	// budgetWindow, budgetRatio and budgetSlack are the bound of the repeats that all hosts together send to a pool:
	// in each budgetWindow, budgetRatio for each request and budgetSlack more.
	budgetWindow             = 10 * time.Second
	budgetRatio, budgetSlack = 0.2, 54.0
	// budgetSpan is how long hosts are restarted while upstreams fail, and budgetRate is how many requests are sent
	// a second.
	budgetSpan, budgetRate = 22 * time.Second, 30
	// meanHostGap is the mean time between the starts of two faults of hosts, and maxHostFault how long one lasts at most.
	meanHostGap, maxHostFault = 500 * time.Millisecond, 2 * time.Second
)

// hostFaults are the faults during which the budget is checked. Restarts are drawn most often.
var hostFaults = []string{
	"host killed", "host killed", "host stopped", "host stopped", "all hosts killed", "host paused", "settings signal", "store cut off", "store down",
	"store slow", "configuration changed",
}

// checkBudget reports each second in which a window ends with more repeats than the bound allows. The requests are
// those of the window, the one before it or the one half a window before it, whichever has most.
func (l *requestLog) checkBudget(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, repeats := make([]time.Time, 0, len(l.requests)), l.repeats
	for _, r := range l.requests {
		sent = append(sent, r.sentAt)
	}
	byTime := func(times []time.Time) { sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) }) }
	byTime(sent)
	byTime(repeats)
	within := func(times []time.Time, end time.Time) int {
		after := func(at time.Time) int { return sort.Search(len(times), func(i int) bool { return times[i].After(at) }) }
		return after(end) - after(end.Add(-budgetWindow))
	}
	reported, most := time.Time{}, 0.0
	for _, end := range repeats {
		requests := max(within(sent, end), within(sent, end.Add(-budgetWindow/2)), within(sent, end.Add(-budgetWindow)))
		count, bound := within(repeats, end), budgetRatio*float64(requests)+budgetSlack
		most = max(most, float64(count)/bound)
		if float64(count) > bound && end.Sub(reported) > time.Second {
			reported = end
			t.Errorf("BUDGET: %d repeats in a window of %v with %d requests, at most %.0f are allowed", count, budgetWindow, requests, bound)
		}
	}
	if len(repeats) == 0 {
		t.Error("no request was repeated")
	}
	t.Logf("%d requests, %d repeats, at most %.2f of the bound in a window", len(sent), len(repeats), most)
}

// TestRepeatsWhileHostsRestart guards against hosts that together repeat more requests than the retry budget allows,
// because each started process spends a share of its own that its predecessor has spent already.
func TestRepeatsWhileHostsRestart(t *testing.T) { eachSeed(t, playRepeats) }

func playRepeats(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	d := emptyDeployment(t)
	d.extra = map[string]any{"retry_ratio": budgetRatio, "retry_burst": budgetSlack, "retry_window_seconds": budgetWindow.Seconds()}
	for range 4 {
		d.upstreams = append(d.upstreams, d.startUpstream(t))
	}
	d.startHosts(t)
	time.Sleep(budgetWindow + budgetWindow/5) // until each host may repeat its whole share
	for _, u := range d.upstreams {
		u.mode.Store([]int32{answersErrors, losesAnswers}[random.IntN(2)])
	}
	ctx, end := context.WithTimeout(context.Background(), budgetSpan)
	defer end()
	var calling sync.WaitGroup
	calling.Go(func() { d.callAtRate(ctx, rand.New(rand.NewPCG(seed, 3))) })
	every(ctx, seed, meanHostGap, func(own *rand.Rand) {
		name := hostFaults[own.IntN(len(hostFaults))]
		faults[name](t, d, own, time.Duration(own.Int64N(int64(maxHostFault))))
	})
	calling.Wait()
	d.log.checkBudget(t)
	d.log.report(t)
}

// callAtRate sends budgetRate requests a second that may be repeated, each to a random host, until ctx ends.
func (d *deployment) callAtRate(ctx context.Context, random *rand.Rand) {
	read := kind{name: "read", method: http.MethodGet, prefix: "/read/", idempotent: true}
	client := newClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(time.Second / budgetRate)
	defer ticker.Stop()
	var calls sync.WaitGroup
	for ctx.Err() == nil {
		<-ticker.C
		h := d.anyHost(random)
		calls.Go(func() { d.call(context.Background(), client, h.listen, read) })
	}
	calls.Wait()
}
