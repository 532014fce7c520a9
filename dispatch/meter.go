package dispatch

import (
	"time"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/upstream"
)

// RetriesDenied counts attempts that were put off, by the budget that was empty.
var RetriesDenied = metrics.New("retries_denied_total", "Repeated attempts that were put off, by the empty budget.")

// work is what routing knows of a generation.
type work struct {
	request   routing.Request
	predicted routing.Work
	tokens    int // of the prompt
}

// workOf predicts the work of a generation and counts its arrival.
func (d *Dispatcher) workOf(g Generation) work {
	p := d.pool(g.Service.Pool)
	w := work{tokens: len(g.Log.Prompt) / routing.BytesPerToken}
	w.predicted = p.history.Predict(w.tokens, g.Log.MaxTokens)
	w.request = routing.Request{Blocks: routing.Blocks(g.Log.Prompt, maxBlocks), Long: w.predicted.Long}
	p.history.Arrive(w.predicted)
	p.popularity.Add(w.request.Blocks)
	return w
}

// priority puts short work before long work at the engine.
func (w *work) priority() upstream.Priority {
	if w.predicted.Long {
		return upstream.PriorityLong
	}
	return upstream.PriorityNormal
}

// meter measures one attempt. It is used by one goroutine.
type meter struct {
	run     *run
	pool    *pool
	host    hosts.Host
	live    *routing.Live
	typical time.Duration
	last    time.Time // of the newest token; zero before the first
}

// measure begins to measure an attempt at a host.
func (r *run) measure(host hosts.Host) *meter {
	p := r.dispatcher.pool(r.Service.Pool)
	v := p.view(r.Service.Pool, r.dispatcher.hosts.Current(), time.Now())
	m := &meter{run: r, pool: p, host: host, live: v.live(host), typical: v.snapshot.TypicalGap}
	if m.live == nil { // a host that has left the list
		m.live = &routing.Live{}
	}
	m.live.Begin()
	return m
}

// token notes a token.
func (m *meter) token() {
	now := time.Now()
	if !m.last.IsZero() {
		m.live.Token(now, now.Sub(m.last), m.typical)
	}
	m.last = now
}

// end ends the measurement; whole says that the answer ended here.
func (m *meter) end(whole bool) {
	m.live.End()
	if !whole {
		return
	}
	r := m.run
	m.live.Succeed()
	r.dispatcher.budgets.Success(m.host.ID, r.Log.Account)
	r.dispatcher.pool(r.Service.Pool).history.Add(r.work.tokens, r.Log.Count(), r.work.predicted)
}

// mayAttempt says whether the budgets allow an attempt at host. The first
// attempt is free, and so is one after a failure that ran nothing.
func (r *run) mayAttempt(host hosts.Host) bool {
	if r.failures == 0 {
		return true
	}
	why, ok := r.dispatcher.budgets.Allow(time.Now(), retry.ReasonFailed, host.ID, r.Log.Account)
	if !ok {
		RetriesDenied.Inc(string(why))
	}
	return ok
}
