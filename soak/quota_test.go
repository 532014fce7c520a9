package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// accountRate and accountBurst are the limit of the client account, in tokens (per second), and accountSlack
	// and accountExcess what the rule tolerates above it.
	accountRate, accountBurst, accountSlack = 20_000.0, 20_000.0, 11_000.0
	accountExcess                           = 0.1
	accountWindow                           = 8 * time.Second
	// tokensPerRequest are the tokens of a request that names none.
	tokensPerRequest = 200
	// floodPause is the pause of each caller between two requests.
	floodPause = 25 * time.Millisecond
	floodSpan  = 16 * time.Second
)

// limitRun is a request that an upstream has run.
type limitRun struct{ sent, arrived time.Time }

// limitTest counts what a client account that floods all hosts uses.
type limitTest struct {
	*deployment
	mu   sync.Mutex
	runs []limitRun
}

// TestAccountLimit floods all hosts with the requests of one account while hosts are killed or restarted. It guards against
// limits that start anew with each process, so that the hosts together admit more than the account's limit.
func TestAccountLimit(t *testing.T) {
	for name, trouble := range map[string]func(t *testing.T, d *deployment, round int){
		"calm":             func(*testing.T, *deployment, int) { time.Sleep(time.Second) },
		"all hosts killed": func(t *testing.T, d *deployment, _ int) { d.killAllHosts(t); time.Sleep(2 * time.Second) },
		"killed in turn":   replaceInTurn(syscall.SIGKILL),
		"stopped in turn":  replaceInTurn(syscall.SIGTERM),
		"all hosts killed, store down": func(t *testing.T, d *deployment, round int) {
			d.killAllHosts(t)
			faults["store down"](t, d, rand.New(rand.NewPCG(uint64(round), 0)), 500*time.Millisecond)
			time.Sleep(3 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runAccountLimit(t, trouble)
		})
	}
}

// replaceInTurn returns a trouble that ends one host after the other by a signal, and starts it again.
func replaceInTurn(signal syscall.Signal) func(*testing.T, *deployment, int) {
	return func(t *testing.T, d *deployment, round int) {
		d.hosts[round%len(d.hosts)].replace(t, signal, 100*time.Millisecond)
		time.Sleep(700 * time.Millisecond)
	}
}

func runAccountLimit(t *testing.T, trouble func(*testing.T, *deployment, int)) {
	l := &limitTest{deployment: emptyDeployment(t)}
	l.extra = map[string]any{"limit_excess": accountSlack}
	l.accountExtra = map[string]any{"unit": "tokens", "plain_tokens": tokensPerRequest, "rate_per_s": accountRate, "burst": accountBurst}
	for range 4 {
		u := &upstream{d: l.deployment, id: "limit-u" + string(rune('0'+len(l.upstreams))), version: "1"}
		u.start(t, func(w http.ResponseWriter, r *http.Request) { l.serve(u, w, r) })
		l.upstreams = append(l.upstreams, u)
	}
	l.startHosts(t)
	time.Sleep(2 * time.Second) // the burst accrues
	ctx, endCalls := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for _, h := range l.hosts {
		for range 3 {
			calling.Go(func() {
				client := newClient()
				for ; ctx.Err() == nil; time.Sleep(floodPause) {
					l.call(ctx, client, h.listen, kinds[1])
				}
			})
		}
	}
	began := time.Now()
	for round := 0; time.Since(began) < floodSpan; round++ {
		trouble(t, l.deployment, round)
	}
	endCalls()
	calling.Wait()
	l.check(t)
	l.log.report(t)
}

// serve runs a request.
func (l *limitTest) serve(u *upstream, w http.ResponseWriter, r *http.Request) {
	arrived, id := time.Now(), r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != u.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.log.recordRun(id)
	l.mu.Lock()
	l.runs = append(l.runs, limitRun{sent: l.log.sentAt(id), arrived: arrived})
	l.mu.Unlock()
	w.Header().Set("Response-Seal", sealOf(id))
	_, _ = io.WriteString(w, answerOf(id))
}

// check checks that no window has more requests, sent and run in it, than the rule on limits allows.
func (l *limitTest) check(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := (accountRate*accountWindow.Seconds()+accountBurst)*(1+accountExcess) + accountSlack
	most := 0.0
	for _, first := range l.runs {
		used := 0.0
		for _, r := range l.runs {
			if !r.sent.Before(first.sent) && r.arrived.Before(first.sent.Add(accountWindow)) {
				used += tokensPerRequest
			}
		}
		most = max(most, used)
	}
	t.Logf("%d requests run, at most %.0f tokens in %v, allowed %.0f", len(l.runs), most, accountWindow, allowed)
	if most > allowed {
		t.Errorf("QUOTA: %.0f tokens in %v, at most %.0f allowed", most, accountWindow, allowed)
	}
}
