package config

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/cardamompier/cardamompier/kv/kvmem"
)

// act is one step of a random run: a fault is set, or a publisher publishes.
type act struct {
	Kind  int
	Who   int
	Name  int
	Value int
	Pause time.Duration
}

const (
	actPublish = iota
	actRemove
	actRollback
	actFaults
	actOutage
	actHeal
	actHang
	actDetach
	actOlder
	actKinds
)

var drawAct = rapid.Custom(func(t *rapid.T) act {
	kinds := []int{actPublish, actPublish, actPublish, actPublish, actRemove, actRollback, actFaults, actOutage, actHeal, actHeal, actHang, actDetach, actOlder}
	return act{
		Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
		Who:   rapid.IntRange(0, 4).Draw(t, "who"),
		Name:  rapid.IntRange(0, 2).Draw(t, "name"),
		Value: rapid.IntRange(0, 3).Draw(t, "value"),
		Pause: time.Duration(rapid.IntRange(0, 300).Draw(t, "pause_ms")) * time.Millisecond,
	}
})

// result is what a publisher was told.
type result struct {
	change Change
	// before is the newest revision that was accepted before the publish began.
	before    uint64
	published Published
	err       error
}

// run is one random run with what was observed.
type run struct {
	store  *kvmem.Store
	fleet  *fleet
	seed   uint64
	mu     sync.Mutex
	told   []result
	faults []string
	active sync.WaitGroup
}

func (r *run) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// TestHistoryUnderFaults drives publishers and followers through random
// faults and checks the history: revisions never fall on any host, each
// accepted publish is in the history and in force in the end, a refused one
// left no trace, and an unknown one is resolved to what the history holds.
func TestHistoryUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		acts := rapid.SliceOfN(drawAct, 5, 40).Draw(rt, "acts")
		seed := rapid.Uint64().Draw(rt, "seed")
		r := &run{seed: seed}
		synctest.Test(t, func(*testing.T) { r.play(acts) })
		if len(r.faults) > 0 {
			rt.Fatalf("%v", r.faults)
		}
	})
}

func (r *run) play(acts []act) {
	r.store = kvmem.New()
	hub := newHub(r.seed)
	hub.loss, hub.delay = 0.3, 30*time.Millisecond
	r.fleet = startFleet(r.store, hub, 5)
	observer, stopObserver := context.WithCancel(context.Background())
	for i := range r.fleet.followers {
		go r.observe(observer, i)
	}
	for _, a := range acts {
		r.do(a)
		time.Sleep(a.Pause)
	}
	r.active.Wait()
	r.heal()
	time.Sleep(latestWrite + inForceBound)
	r.check()
	stopObserver()
	r.fleet.end()
	time.Sleep(latestWrite) // late timers of the fakes
}

// observe reports a revision that falls.
func (r *run) observe(ctx context.Context, host int) {
	for last := uint64(0); ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		now := r.fleet.followers[host].State().Revision
		if now < last {
			r.fault("host %d fell from revision %d to %d", host, last, now)
		}
		last = now
	}
}

func (r *run) do(a act) {
	switch a.Kind {
	case actPublish:
		change := serviceChange(fmt.Sprintf("s%d", a.Name), fmt.Sprintf("m%d", a.Value))
		r.publish(a, change, func(p *Publisher) (Published, error) { return p.Publish(context.Background(), change) })
	case actRemove:
		change := Change{Remove: []Item{{Kind: ItemService, Name: fmt.Sprintf("s%d", a.Name)}}}
		r.publish(a, change, func(p *Publisher) (Published, error) { return p.Publish(context.Background(), change) })
	case actRollback:
		r.publish(a, Change{}, func(p *Publisher) (Published, error) {
			return p.Rollback(context.Background(), uint64(a.Value+1))
		})
	case actFaults:
		share := float64(a.Value) / 6
		r.store.SetFaults(kvmem.Faults{LoseAnswers: share, StaleReads: share, Latency: 3 * time.Millisecond, Seed: r.seed})
		r.setLate(share)
	case actOutage:
		r.store.SetFaults(kvmem.Faults{Outage: true})
	case actHeal:
		r.store.SetFaults(kvmem.Faults{Latency: 3 * time.Millisecond})
	case actHang:
		r.fleet.stores[a.Who].hang.Store(true)
	case actDetach:
		r.fleet.ports[a.Who].detached.Store(!r.fleet.ports[a.Who].detached.Load())
	case actOlder:
		if doc, err := At(context.Background(), r.store, uint64(a.Value+1)); err == nil {
			r.fleet.followers[a.Who].Offer(doc)
		}
	}
}

func (r *run) setLate(share float64) {
	for _, s := range r.fleet.stores {
		s.setLate(share)
	}
}

// publish runs a publisher beside the others, through the late store of a host.
func (r *run) publish(a act, change Change, call func(*Publisher) (Published, error)) {
	p := publisher(r.fleet.stores[a.Who], fmt.Sprintf("w%d", a.Who))
	before := r.newestAccepted()
	r.active.Go(func() {
		published, err := call(p)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.told = append(r.told, result{change: change, before: before, published: published, err: err})
	})
}

func (r *run) newestAccepted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := uint64(0)
	for _, told := range r.told {
		newest = max(newest, told.published.Revision)
	}
	return newest
}

// heal ends the faults but leaves a third of the watchers hanging.
func (r *run) heal() {
	r.setLate(0)
	r.store.SetFaults(kvmem.Faults{})
	for i, s := range r.fleet.stores {
		s.hang.Store(r.fleet.members[i].ID == Watchers(r.fleet.members)[0])
		r.fleet.ports[i].detached.Store(false)
	}
}

func (r *run) check() {
	final, _, err := Read(context.Background(), r.store)
	if err != nil {
		r.fault("final read: %v", err)
		return
	}
	nonces := map[string]uint64{}
	for _, mark := range final.Recent {
		if _, twice := nonces[mark.Nonce]; twice {
			r.fault("nonce %s won twice", mark.Nonce)
		}
		nonces[mark.Nonce] = mark.Revision
	}
	for _, told := range r.told {
		r.checkResult(told, nonces)
	}
	if behind := r.fleet.behind(final.Revision); len(behind) > 0 {
		r.fault("revision %d is not in force on %v", final.Revision, behind)
	}
}

// checkResult holds what a publisher was told against the history.
func (r *run) checkResult(told result, nonces map[string]uint64) {
	var failed *PublishError
	switch {
	case told.err == nil:
		r.checkAccepted(told, nonces)
	case !errors.As(told.err, &failed):
		r.fault("error without a type: %v", told.err)
	case failed.Reason == PublishUnknown:
		outcome, err := Resolve(context.Background(), r.store, failed.Revision, failed.Nonce)
		_, won := nonces[failed.Nonce]
		if err == nil && outcome != OutcomeUnknown && (outcome == OutcomeWon) != won {
			r.fault("resolved as %s, but won is %t", outcome, won)
		}
	default:
		if revision, won := nonces[failed.Nonce]; won && failed.Nonce != "" {
			r.fault("told %s, but revision %d holds it", failed.Reason, revision)
		}
	}
}

func (r *run) checkAccepted(told result, nonces map[string]uint64) {
	if told.published.Changed && nonces[told.published.Nonce] != told.published.Revision {
		r.fault("accepted as revision %d, but the history has it at %d", told.published.Revision, nonces[told.published.Nonce])
	}
	if told.published.Revision < told.before {
		r.fault("told revision %d, but %d was accepted before", told.published.Revision, told.before)
	}
	doc, err := At(context.Background(), r.store, told.published.Revision)
	if err != nil {
		r.fault("revision %d is not kept: %v", told.published.Revision, err)
		return
	}
	for _, s := range told.change.steps() {
		if content, _ := doc.content(s.item); !reflect.DeepEqual(content, s.content) {
			r.fault("revision %d does not hold the accepted %s", doc.Revision, s.item)
		}
	}
}
