package dispatch

import (
	"time"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/upstream"
)

// RetriesDenied counts retries that are delayed by an empty retry budget, labelled with the budget:
// the upstream's or the client account's.
var RetriesDenied = metrics.New("retries_denied_total", "Retries delayed because a retry budget was empty, by the budget.")

// work is the predicted work of a generation, which routing uses to select an upstream.
type work struct {
	request   routing.Request
	predicted routing.Work
	tokens    int // estimated number of prompt tokens
}

// workOf predicts the size of a generation and adds its arrival to the pool's history.
func (d *Dispatcher) workOf(g Generation) work {
	p := d.pool(g.Service.Pool)
	w := work{tokens: len(g.Log.Prompt) / routing.BytesPerToken}
	w.predicted = p.history.Predict(w.tokens, g.Log.MaxTokens)
	w.request = routing.Request{Blocks: routing.Blocks(g.Log.Prompt, maxBlocks), Long: w.predicted.Long}
	p.history.Arrive(w.predicted)
	p.popularity.Add(w.request.Blocks)
	return w
}

// priority returns the engine priority of a generation: short ones run before long ones.
func (w *work) priority() upstream.Priority {
	if w.predicted.Long {
		return upstream.PriorityLong
	}
	return upstream.PriorityNormal
}

// meter measures the token intervals and the outcome of one attempt. It is not safe for
// concurrent use.
type meter struct {
	run     *run
	pool    *pool
	host    hosts.Host
	live    *routing.UpstreamStats
	typical time.Duration // the pool's typical time between two tokens; zero when unknown
	last    time.Time     // arrival of the newest token; zero before the first token
}

// startMeter starts the measurement of an attempt at a host.
func (r *run) startMeter(host hosts.Host) *meter {
	p := r.dispatcher.pool(r.Service.Pool)
	v := p.view(r.Service.Pool, r.dispatcher.hosts.Current(), time.Now())
	m := &meter{run: r, pool: p, host: host, live: v.live(host), typical: v.snapshot.TypicalGap}
	if m.live == nil { // the host is no longer in the host list
		m.live = &routing.UpstreamStats{}
	}
	m.live.Begin()
	return m
}

// token records the arrival of a token.
func (m *meter) token() {
	now := time.Now()
	if !m.last.IsZero() {
		m.live.Token(now, now.Sub(m.last), m.typical)
	}
	m.last = now
}

// stop ends the measurement of the attempt. complete is true when the attempt finished the answer.
func (m *meter) stop(complete bool) {
	m.live.End()
	if !complete {
		return
	}
	r := m.run
	m.live.Succeed()
	r.dispatcher.budgets.Success(m.host.ID, r.Log.Account)
	r.dispatcher.pool(r.Service.Pool).history.Add(r.work.tokens, r.Log.Count(), r.work.predicted)
}

// retryAllowed reports whether the retry budgets allow an attempt at host. An attempt needs no
// budget until an earlier attempt has failed after its work may have started.
func (r *run) retryAllowed(host hosts.Host) bool {
	if r.failures == 0 {
		return true
	}
	emptyBudget, ok := r.dispatcher.budgets.Allow(time.Now(), retry.ReasonFailed, host.ID, r.Log.Account)
	if !ok {
		RetriesDenied.Inc(string(emptyBudget))
	}
	return ok
}
