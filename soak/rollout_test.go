package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

const (
	// rolloutLimit is the time limit of the orders.
	rolloutLimit = 15 * time.Second
	// rolloutShare, rolloutSlack and rolloutRollback are the bounds on a bad target.
	rolloutShare, rolloutSlack = 0.1, 50
	rolloutRollback            = 5 * time.Second
	// badAnswersLimit is the number of bad answers after which rolloutRollback begins.
	badAnswersLimit = 50
	rolloutCallers  = 40
	// serviceTime is the mean time that an upstream works on a request, and slowFactor that of a slow target.
	serviceTime, slowFactor = 40 * time.Millisecond, 5
	// callerPause is the mean pause of a caller between two requests.
	callerPause = 80 * time.Millisecond
)

// rolloutCase is one roll-out.
type rolloutCase struct {
	name string
	// treat returns what a target's upstream does with a request: fails it or delays it. It is called with the time since
	// the order and the number of requests in flight there; nil for a good target.
	treat func(kind string, since time.Duration, inFlight int64) (fails bool, delay time.Duration)
	// disturb induces faults while the roll-out runs; nil for none.
	disturb func(t *testing.T, d *deployment)
	// absent is whether no upstream of the target starts.
	absent bool
}

// often returns true in the given share of its calls.
func often(share float64) bool { return rand.Float64() < share }

var rolloutCases = []rolloutCase{
	{name: "good in calm"},
	{name: "good with a host killed", disturb: func(t *testing.T, d *deployment) {
		time.Sleep(4 * time.Second)
		d.hosts[1].replace(t, syscall.SIGKILL, 300*time.Millisecond)
	}},
	{name: "good with all hosts killed", disturb: func(t *testing.T, d *deployment) {
		time.Sleep(5 * time.Second)
		d.killAllHosts(t)
	}},
	{name: "fails one in seven", treat: func(string, time.Duration, int64) (bool, time.Duration) { return often(1.0 / 7), 0 }},
	{name: "fails half", treat: func(string, time.Duration, int64) (bool, time.Duration) { return often(0.5), 0 }},
	{name: "fails always", treat: func(string, time.Duration, int64) (bool, time.Duration) { return true, 0 }},
	{name: "fails on one route", treat: func(kind string, _ time.Duration, _ int64) (bool, time.Duration) {
		return kind == "read" && often(0.5), 0
	}},
	{name: "fails from the fifth second on", treat: func(_ string, since time.Duration, _ int64) (bool, time.Duration) {
		return since > 5*time.Second && often(0.5), 0
	}},
	{name: "slow", treat: func(string, time.Duration, int64) (bool, time.Duration) { return false, (slowFactor - 1) * serviceTime }},
	{name: "slow above three at a time", treat: func(_ string, _ time.Duration, inFlight int64) (bool, time.Duration) {
		if inFlight > 3 {
			return false, (slowFactor - 1) * serviceTime
		}
		return false, 0
	}},
	{name: "never starts", absent: true},
	{name: "good in trouble", disturb: troubleFor(1)},
	{name: "fails half in trouble", disturb: troubleFor(2), treat: func(string, time.Duration, int64) (bool, time.Duration) { return often(0.5), 0 }},
}

// troubleSpan is how long faults are induced during a roll-out in trouble. The rest of the time limit is for its end.
const troubleSpan = 8 * time.Second

// troubleFor induces faults of hosts and of their links to the store one after the other, in an order that the seed
// determines. None lasts for more than 2.7 s, so that no host is excused from the bounds.
func troubleFor(seed uint64) func(*testing.T, *deployment) {
	names := []string{"host paused", "host killed", "host stopped", "store cut off", "store down", "store answers lost"}
	return func(t *testing.T, d *deployment) {
		random := rand.New(rand.NewPCG(seed, 2))
		for end := time.Now().Add(troubleSpan); time.Now().Before(end); time.Sleep(meanPause) {
			name := names[random.IntN(len(names))]
			t.Logf("fault: %s", name)
			faults[name](t, d, random, 200*time.Millisecond+time.Duration(random.Int64N(int64(2500*time.Millisecond))))
		}
	}
}

// TestRollouts guards against a good version that does not come into force in time or loses requests, and against a
// bad version that gets more requests than it may, or stays. Each case is a deployment of 4 hosts.
func TestRollouts(t *testing.T) {
	for _, c := range rolloutCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runRollout(t, c)
		})
	}
}

// rolloutTest is one roll-out under way.
type rolloutTest struct {
	rolloutCase
	*deployment
	orderedAt atomic.Int64 // in Unix ns; 0 before the order

	mu      sync.Mutex
	all     int         // requests that reached the pool between the order and its limit
	target  []time.Time // arrivals at the target
	bad     []time.Time // bad answers of the target
	lastOld time.Time   // when a request at an old upstream began or ended last
	atOld   int         // requests in flight at old upstreams
}

func runRollout(t *testing.T, c rolloutCase) {
	r := &rolloutTest{rolloutCase: c, deployment: emptyDeployment(t)}
	r.extra = map[string]any{
		"rollout": map[string]any{"share": rolloutShare, "slack": rolloutSlack, "rollback_ms": rolloutRollback.Milliseconds()},
		"duties":  "", "log_level": "info",
	}
	r.startVersion(t, "v1")
	r.startHosts(t)
	ctx, endCalls := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for range rolloutCallers {
		calling.Go(func() { r.callAll(ctx) })
	}
	time.Sleep(time.Second)
	if !c.absent {
		r.startVersion(t, "v2")
	}
	time.Sleep(500 * time.Millisecond)
	r.order(t)
	var disturbing sync.WaitGroup
	if c.disturb != nil {
		disturbing.Go(func() { c.disturb(t, r.deployment) })
	}
	state, after, decidedAt := r.awaitOutcome()
	disturbing.Wait()
	if c.treat == nil && !c.absent {
		r.checkComplete(t, state, after, decidedAt)
		time.Sleep(time.Second)
	} else {
		time.Sleep(time.Until(time.Unix(0, r.orderedAt.Load()).Add(rolloutLimit)))
		r.checkRolledBack(t, state, decidedAt)
	}
	endCalls()
	calling.Wait()
	r.log.report(t)
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Logf("%s after %v; %d requests, %d at the target, %d bad", state, after, r.all, len(r.target), len(r.bad))
}

// startVersion starts 4 upstreams of a version.
func (r *rolloutTest) startVersion(t *testing.T, version string) {
	for range 4 {
		u := &upstream{d: r.deployment, id: "u" + strconv.FormatInt(r.nextID.Add(1), 10), version: version}
		inFlight := &atomic.Int64{}
		u.start(t, func(w http.ResponseWriter, req *http.Request) { r.serve(u, inFlight, w, req) })
		r.upstreams = append(r.upstreams, u)
	}
}

// order writes the operator's order.
func (r *rolloutTest) order(t *testing.T) {
	value, _ := json.Marshal(map[string]any{"service": "desk", "target": "v2", "duration_s": rolloutLimit.Seconds()})
	r.orderedAt.Store(time.Now().UnixNano())
	if _, err := r.store.CompareAndSwap(context.Background(), kv.Write{Key: "op/rollout/desk", Value: value}); err != nil {
		t.Fatal(err)
	}
}

// awaitOutcome waits for a final status, at most until the time limit has passed. It returns the last state, how
// long after the order it was seen, and when.
func (r *rolloutTest) awaitOutcome() (state string, after time.Duration, at time.Time) {
	ordered := time.Unix(0, r.orderedAt.Load())
	for {
		var status struct{ State, Target string }
		if e, err := r.store.Get(context.Background(), "status/rollout/desk"); err == nil {
			_ = json.Unmarshal(e.Value, &status)
		}
		at = time.Now()
		if status.State == "complete" || status.State == "rolled_back" || at.Sub(ordered) > rolloutLimit+time.Second {
			return status.State, at.Sub(ordered), at
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkComplete checks the outcome of a good target.
func (r *rolloutTest) checkComplete(t *testing.T, state string, after time.Duration, at time.Time) {
	if state != "complete" || after > rolloutLimit {
		t.Errorf("a good target is %q %v after the order", state, after)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.atOld > 0 || r.lastOld.After(at) {
		t.Errorf("%d requests are in flight at old upstreams when the roll-out is complete", r.atOld)
	}
}

// checkRolledBack checks the outcome of a bad target and what it got.
func (r *rolloutTest) checkRolledBack(t *testing.T, state string, at time.Time) {
	if state != "rolled_back" {
		t.Errorf("a bad target is %q", state)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if most := rolloutShare*float64(r.all) + rolloutSlack; float64(len(r.target)) > most {
		t.Errorf("the target got %d of %d requests, more than %.0f", len(r.target), r.all, most)
	}
	if len(r.bad) >= badAnswersLimit {
		bound := r.bad[badAnswersLimit-1].Add(rolloutRollback)
		for _, arrived := range r.target {
			if arrived.After(bound) {
				t.Errorf("the target got a request %v after its %dth bad answer", arrived.Sub(bound)+rolloutRollback, badAnswersLimit)
				break
			}
		}
	}
	for _, arrived := range r.target {
		if state == "rolled_back" && arrived.After(at) {
			t.Errorf("the target got a request %v after the rollback", arrived.Sub(at))
			break
		}
	}
}

// callAll sends requests until ctx ends, each to a host that served the request before.
func (r *rolloutTest) callAll(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	host := rand.IntN(len(r.hosts))
	for ctx.Err() == nil {
		if r.call(context.WithoutCancel(ctx), client, r.hosts[host].listen, kinds[rand.IntN(len(kinds))]) != "served" {
			host = rand.IntN(len(r.hosts))
		}
		time.Sleep(time.Duration(rand.Int64N(int64(2 * callerPause))))
	}
}

// serve executes a request at an upstream of either version.
func (r *rolloutTest) serve(u *upstream, inFlight *atomic.Int64, w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	n := inFlight.Add(1)
	defer inFlight.Add(-1)
	r.arrived(u.version, 1)
	defer r.arrived(u.version, -1)
	sent, known := r.log.recordRun(id)
	if !known {
		r.log.violate("UNASKED: request %q that no caller sent", id)
	}
	fails, delay := false, time.Duration(0)
	if u.version != "v1" && r.treat != nil {
		fails, delay = r.treat(sent.kind.name, time.Since(time.Unix(0, r.orderedAt.Load())), n)
	}
	time.Sleep(serviceTime/2 + time.Duration(rand.Int64N(int64(serviceTime))) + delay)
	if fails || delay > 0 {
		r.mu.Lock()
		r.bad = append(r.bad, time.Now())
		r.mu.Unlock()
	}
	w.Header().Set("Response-Seal", sealOf(id))
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !sent.kind.streams {
		_, _ = io.WriteString(w, answerOf(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for event := after + 1; event <= streamEvents; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, answerOf(id))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventInterval)
	}
}

// arrived counts a request that began (change 1) or ended (change -1) at an upstream.
func (r *rolloutTest) arrived(version string, change int) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	ordered := r.orderedAt.Load()
	within := ordered != 0 && now.Sub(time.Unix(0, ordered)) <= rolloutLimit
	if change > 0 && within {
		r.all++
	}
	switch {
	case strings.HasPrefix(version, "v1"):
		r.atOld += change
		r.lastOld = now
	case change > 0:
		r.target = append(r.target, now)
	}
}
