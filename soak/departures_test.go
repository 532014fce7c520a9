package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// departingSpan is how long upstreams leave one after the other, and departingCount how many are there.
	departingSpan, departingCount = 15 * time.Second, 12
	// meanDepartureGap and meanRestartGap are the mean times between two departures, and two faults of hosts.
	meanDepartureGap, meanRestartGap = 400 * time.Millisecond, 700 * time.Millisecond
	// meanHistoryGap is the mean time between two losses of the store's history.
	meanHistoryGap = 2 * time.Second
	// pageDelay is the time that each page of a list takes.
	pageDelay = 50 * time.Millisecond
	// servesOnSpan is how long an upstream serves after its departure.
	servesOnSpan = 6 * time.Second
)

// checkDeparted records a request that arrives too late after the upstream's departure, from a host that was without a
// fault from contactSpan before the departure on.
func (u *upstream) checkDeparted(entry string) {
	departed := u.departedAt.Load()
	if departed == 0 {
		return
	}
	at := time.Unix(0, departed)
	since := at.Add(-contactSpan)
	late := time.Since(at)
	if late <= applySpan || u.d.disturbedSince(entry, since) {
		return
	}
	for _, h := range u.d.hosts {
		if h.listen == entry && !h.store.disturbedSince(since) {
			u.d.log.violate("DRAIN: %s got a request of %s %v after its departure", u.id, h.name, late)
		}
	}
}

// depart lets a random upstream leave, in half of the cases without an announcement, after another one has started. The
// upstream serves on for a while.
func (d *deployment) depart(t *testing.T, random *rand.Rand, servesOn time.Duration) {
	d.mu.Lock()
	i := random.IntN(len(d.upstreams))
	old := d.upstreams[i]
	d.upstreams[i] = d.startUpstream(t)
	d.mu.Unlock()
	if random.IntN(2) == 0 {
		old.leaves.Store(1)
		await(t, 5*time.Second, "the record of "+old.id+" has state draining", func() bool { return old.leaves.Load() > 1 })
		old.departedAt.Store(old.leaves.Load())
	} else {
		old.stop()
		old.ended.Wait()
		key := "servers/" + old.id
		e, err := d.store.Get(context.Background(), key)
		if err == nil {
			err = d.store.Delete(context.Background(), key, e.Version)
		}
		if err != nil {
			t.Errorf("deleting the record of %s: %v", old.id, err)
		}
		old.departedAt.Store(time.Now().UnixNano())
	}
	time.Sleep(servesOn)
	old.crash()
}

// disturbHost restarts or pauses a random host, or cuts it off from the store.
func (d *deployment) disturbHost(t *testing.T, random *rand.Rand) {
	h, span := d.anyHost(random), time.Duration(random.Int64N(int64(2*time.Second)))
	switch random.IntN(5) {
	case 0:
		h.replace(t, syscall.SIGKILL, span)
	case 1:
		h.replace(t, syscall.SIGTERM, span/4)
	case 2:
		h.mu.Lock()
		defer h.mu.Unlock()
		h.disturb()
		_ = h.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(span)
		_ = h.command.Process.Signal(syscall.SIGCONT)
		h.disturb()
	case 3:
		h.store.reset()
	default:
		impairFor(h.store, random, span)
	}
}

// every calls do at random times with the given mean gap, each call in its own goroutine, until ctx ends. It waits for
// the calls.
func every(ctx context.Context, seed uint64, gap time.Duration, do func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(seed, 0))
	var calls sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(2 * gap))))
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		calls.Go(func() { do(own) })
	}
	calls.Wait()
}

// TestDeparturesWhileHostsRestart guards against requests for upstreams that have left, at hosts without a fault, while other
// hosts restart, are paused and are cut off from the store one after the other and at once, and the store drops its history.
func TestDeparturesWhileHostsRestart(t *testing.T) { eachSeed(t, playDepartures) }

func playDepartures(t *testing.T, seed uint64) {
	d := newDeployment(t, seed)
	d.trouble.pageDelay.Store(int64(pageDelay))
	for len(d.upstreams) < departingCount {
		d.upstreams = append(d.upstreams, d.startUpstream(t))
	}
	ctx, end := context.WithTimeout(t.Context(), departingSpan)
	defer end()
	callCtx, endCalls := context.WithCancel(context.Background())
	var calling, faults sync.WaitGroup
	for n := range *callers {
		calling.Go(func() { d.callUntil(callCtx, rand.New(rand.NewPCG(seed, uint64(n)))) })
	}
	faults.Go(func() { every(ctx, seed, meanDepartureGap, func(r *rand.Rand) { d.depart(t, r, servesOnSpan) }) })
	faults.Go(func() { every(ctx, seed+1, meanRestartGap, func(r *rand.Rand) { d.disturbHost(t, r) }) })
	faults.Go(func() {
		every(ctx, seed+2, meanHistoryGap, func(*rand.Rand) {
			if _, revision, err := d.store.List(context.Background(), "servers/"); err == nil {
				d.trouble.dropped.Store(uint64(revision))
			}
		})
	})
	faults.Wait()
	endCalls()
	calling.Wait()
	d.log.report(t)
}
