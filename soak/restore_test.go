package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

// otherWritePauses are the pauses between two writes of a key that no host reads; zero for no such writes.
var otherWritePauses = []time.Duration{0, 300 * time.Millisecond, 30 * time.Millisecond}

const (
	// settledSpan is the time from a restore until every host without a fault is bound by all rules and an upstream's
	// record that the copy lacks is known again.
	settledSpan = contactSpan + applySpan
	// restoreGap is the time between two restores, if there are two.
	restoreGap = 8 * time.Second
	// invalidPrefix is the path prefix of a route that only an invalid configuration has.
	invalidPrefix = "/invalid/"
	// invalidFaults is the number of faults of invalid configurations, and highVersion lies above all versions.
	invalidFaults, highVersion = 3, 1000
	// heardSpan is the time after the departure of an upstream at which every host has heard of it.
	heardSpan = applySpan + 500*time.Millisecond
)

// TestRestoredStore guards against hosts that do not apply confirmed changes, apply older or invalid ones, reject
// allowed requests, or send requests to upstreams that have left, once the store has come back from an older copy of
// itself: it loses what it acknowledged since, gives out revisions and lease numbers again, and answers with the next
// era.
func TestRestoredStore(t *testing.T) { eachSeed(t, playRestores) }

// playRestores plays one restore, or two for every third seed.
func playRestores(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	d := emptyDeployment(t)
	d.trouble.firstEra.Store(firstEraOf(seed))
	d.start(t, seed)
	d.trouble.rewriteSpan.Store(int64(maxRewrite))
	ctx, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range *callers {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		running.Go(func() { d.callUntil(ctx, own) })
	}
	for _, h := range d.hosts {
		running.Go(func() { d.probeVersions(ctx, h) })
	}
	running.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(copyInterval) {
			d.drill.add(d.store)
		}
	})
	if pause := otherWritePauses[random.IntN(len(otherWritePauses))]; pause > 0 {
		untilRestore := random.IntN(2) == 0
		running.Go(func() { d.writeOthers(ctx, pause, untilRestore) })
	}
	d.publish(t)
	time.Sleep(heardSpan)
	first := drawRestore(random, len(d.hosts))
	plans := []restorePlan{first}
	if seed%3 == 0 {
		plans = append(plans, drawRestore(random, len(d.hosts)))
	}
	awayAt := time.Now().Add(first.age)
	for i, plan := range plans {
		d.playRestore(t, random, plan, awayAt, i == len(plans)-1, &running)
		awayAt = awayAt.Add(restoreGap)
	}
	d.addUpstream(t)
	time.Sleep(time.Until(time.Unix(0, d.drill.disturbedAt.Load()).Add(settledSpan)))
	d.checkChange(t)
	d.checkUsed(t)
	d.checkServing(t, time.Now().Add(time.Second))
	d.checkLeaving(t)
	end()
	running.Wait()
	d.log.report(t)
}

// playRestore plays what happens before, in and after one restore. The operator writes another version after the last
// one.
func (d *deployment) playRestore(t *testing.T, random *rand.Rand, plan restorePlan, awayAt time.Time, last bool, running *sync.WaitGroup) {
	t.Logf("plan %+v", plan)
	copyAt := awayAt.Add(-plan.age)
	at := func(when time.Time, do func()) {
		running.Go(func() { time.Sleep(time.Until(when)); do() })
	}
	before := []time.Duration{spanBetween(random, 0, plan.age), spanBetween(random, 0, plan.age), spanBetween(random, 0, min(plan.age, applySpan))}
	for _, b := range before {
		at(awayAt.Add(-b), func() { d.publish(t) })
	}
	at(copyAt.Add(copyInterval), func() { d.addUpstream(t) })
	departsAt, stableAt := awayAt.Add(-heardSpan), time.Unix(0, d.drill.lastDisturbed()).Add(contactSpan)
	if own := rand.New(rand.NewPCG(random.Uint64(), 0)); departsAt.After(time.Now()) && departsAt.After(stableAt) && departsAt.Sub(copyAt) > 2*copyInterval {
		at(departsAt, func() { d.depart(t, own, heardSpan+plan.away+settledSpan) })
	}
	time.Sleep(time.Until(awayAt))
	from := d.drill.copyBefore(copyAt)
	d.storeGoesAway(plan.silent)
	if plan.inGap {
		at(awayAt.Add(spanBetween(random, 0, plan.away)), func() { d.publish(t) })
	}
	backAt := awayAt.Add(plan.away)
	d.disturbHosts(t, plan, backAt, running)
	d.storeComesBack(from)
	t.Logf("the store comes back after %v in era %d from a copy %v old", plan.away, d.store.Era(), awayAt.Sub(from.at))
	at(backAt.Add(plan.rewrite/2), func() {
		if plan.invalid {
			d.operator.writeInvalid(d.store, d.invalidConfiguration(plan.fault))
		}
		time.Sleep(time.Until(backAt.Add(plan.rewrite)))
		d.operator.rewrite(d.store)
	})
	if last {
		at(backAt.Add(plan.rewrite+spanBetween(random, 0, contactSpan)), func() { d.publish(t) })
	}
}

// invalidConfiguration returns a configuration with a newer version that is not valid: bytes that end early, a route
// without a kind that exists, or a route whose service is not listed. The version is that of the next valid one, or
// above all versions of the test.
func (d *deployment) invalidConfiguration(fault int) []byte {
	version := uint64(len(d.operator.versions()) + 1)
	if fault >= invalidFaults {
		version += highVersion
	}
	c := d.configuration(version)
	routes := c["routes"].([]map[string]any)
	for _, r := range routes {
		r["prefix"] = invalidPrefix + strings.TrimPrefix(r["prefix"].(string), "/")
	}
	switch fault % invalidFaults {
	case 0:
		routes[0]["service"] = "unknown"
	case 1:
		routes[0]["kind"] = "unknown"
	}
	value, _ := json.Marshal(c)
	if fault%invalidFaults == 2 {
		value = value[:len(value)/2]
	}
	return value
}

// writeOthers writes a key that no host reads, again and again until ctx ends or the store is restored, so that more
// revisions are lost in a restore. They are given out again soon, or only to writes of hosts, upstreams and the
// operator.
func (d *deployment) writeOthers(ctx context.Context, pause time.Duration, untilRestore bool) {
	const key = "other/writer"
	for n := 0; ctx.Err() == nil && (!untilRestore || d.store.Era() == 0); n++ {
		e, _ := d.store.Get(ctx, key)
		_, _ = d.store.CompareAndSwap(ctx, kv.Write{Key: key, Value: []byte(strconv.Itoa(n)), Expect: e.Version})
		time.Sleep(pause)
	}
}

// addUpstream starts an upstream that is used from now on.
func (d *deployment) addUpstream(t *testing.T) {
	u := d.startUpstream(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams = append(d.upstreams, u)
}

// checkUsed checks that every upstream gets requests, also one whose record the copy lacked.
func (d *deployment) checkUsed(t *testing.T) {
	since := time.Now()
	time.Sleep(applySpan)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		u.mu.Lock()
		if n := len(u.arrived); n == 0 || u.arrived[n-1].Before(since) {
			t.Errorf("%s got no requests in %v after the restore", u.id, applySpan)
		}
		u.mu.Unlock()
	}
}
