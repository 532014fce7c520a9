package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/rollout"
)

// bench is an agent with a clock and a list that the test sets.
type bench struct {
	*Agent
	elapsed   time.Duration
	list      *hosts.Snapshot
	store     *kvmem.Store
	seq       uint64
	withdrawn int
}

func newBench() *bench {
	b := &bench{elapsed: time.Hour, store: kvmem.New()}
	b.Agent = New(Config{
		Host: "h", Bounds: rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}, HoldBack: 4500 * time.Millisecond, Store: b.store,
		Upstreams: func() *hosts.Snapshot { return b.list },
		Withdraw:  func(string, func(hosts.Host) bool) int { b.withdrawn++; return 0 },
		Now:       func() time.Time { return time.Unix(1000, 0).Add(b.elapsed) },
		Elapsed:   func() time.Duration { return b.elapsed }, Logger: hclog.NewNullLogger(),
	})
	return b
}

// listVersions replaces the list by 4 upstreams of each version in each pool. The first version started first.
func (b *bench) listVersions(pools []string, versions ...string) {
	var list []hosts.Host
	for _, pool := range pools {
		for v, version := range versions {
			for i := range 4 {
				list = append(list, hosts.Host{
					ID: fmt.Sprintf("%s-%s-%d", pool, version, i), Pool: pool, State: hosts.StateLive, Slots: 4, Version: version, StartedMS: int64(1 + v),
				})
			}
		}
	}
	b.list = hosts.NewSnapshot(list, time.Now())
}

// sends chooses upstreams and sends n requests to a pool. It returns the numbers by version; "" counts those that
// were refused.
func (b *bench) sends(pool string, n int) map[string]int {
	out := map[string]int{}
	for i := range n {
		first, then := b.Choose(pool, b.list)
		version := ""
		for _, allowed := range []func(string) bool{first, then} {
			for k := range b.list.Pool(pool) {
				h := b.list.Pool(pool)[(i+k)%len(b.list.Pool(pool))]
				if version != "" || first != nil && (allowed == nil || !allowed(h.ID)) {
					continue
				}
				if use, ok := b.Send(h, "r", false); ok {
					version = h.Version
					use.Record(false, 10*time.Millisecond)
					use.End()
				}
			}
		}
		out[version]++
	}
	return out
}

func order(pool, target string, revision uint64) rollout.Order {
	return rollout.Order{Pool: pool, Target: target, Duration: 15 * time.Second, Revision: revision}
}

// direct sends directives that repeat the host's current stamp. It returns the answer.
func (b *bench) direct(t *testing.T, fence uint64, d ...Directive) Answer {
	t.Helper()
	b.seq++
	a, err := b.Handle(context.Background(), Directives{Fence: fence, Seq: b.seq, Process: b.process, Stamp: b.elapsed, Pools: d})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// canary returns a directive that opens the exposure.
func canary(o rollout.Order) Directive {
	return Directive{Order: o, Base: o.Revision, Old: []string{"v1"}, Phase: rollout.PhaseCanary, Open: true, Step: 0.25}
}

// TestUnknownVersionIsHeldBack guards against a host that sends requests to a new version before it has heard of the
// order, and against one that never uses an ordinary replacement.
func TestUnknownVersionIsHeldBack(t *testing.T) {
	b := newBench()
	b.listVersions([]string{"p"}, "v1")
	b.sends("p", 1)
	b.listVersions([]string{"p"}, "v1", "v2")
	if got := b.sends("p", 100); got["v2"] != 0 || got[""] != 0 {
		t.Errorf("sent %v to an unknown version", got)
	}
	b.elapsed += 5 * time.Second
	if got := b.sends("p", 100); got["v2"] == 0 {
		t.Errorf("sent %v after the hold-back time", got)
	}
	b.listVersions([]string{"p"}, "v3")
	if got := b.sends("p", 10); got["v3"] != 10 {
		t.Errorf("sent %v while the unknown version is the only one", got)
	}
}

// TestStartedHostNeedsDirective guards against a host that has just started, or was cut off from the coordinator, and
// sends requests to the target of an order with an unknown outcome.
func TestStartedHostNeedsDirective(t *testing.T) {
	b := newBench()
	b.listVersions([]string{"p"}, "v1", "v2")
	o := order("p", "v2", 5)
	b.ApplyOrders([]rollout.Order{o})
	b.elapsed += time.Minute
	if got := b.sends("p", 500); got["v2"] != 0 {
		t.Errorf("sent %v without a directive", got)
	}
	b.direct(t, 1, canary(o))
	got := b.sends("p", 500)
	if got["v2"] == 0 || got["v2"] > 500*8/100+20 {
		t.Errorf("sent %v while the exposure is open", got)
	}
	b.elapsed += 1600 * time.Millisecond
	if got := b.sends("p", 500); got["v2"] != 0 {
		t.Errorf("sent %v after the directive expired", got)
	}
	// A message that waited while the host was suspended repeats an old stamp.
	b.seq++
	late := Directives{Fence: 1, Seq: b.seq, Process: b.process, Stamp: b.elapsed - 2*time.Second, Pools: []Directive{canary(o)}}
	if _, err := b.Handle(context.Background(), late); err != nil {
		t.Fatal(err)
	}
	if got := b.sends("p", 100); got["v2"] != 0 {
		t.Errorf("sent %v by a directive that was delayed", got)
	}
	if got := b.sends("p", 10); got["v1"] != 10 {
		t.Errorf("sent %v", got)
	}
}

// TestStartedHostWithOlderTarget guards against a host that has just started and sends nothing, because the upstreams of the
// target have run for longer than those of the old version.
func TestStartedHostWithOlderTarget(t *testing.T) {
	b := newBench()
	b.ApplyOrders([]rollout.Order{order("p", "v2", 5)})
	b.listVersions([]string{"p"}, "v2", "v1")
	if got := b.sends("p", 100); got["v1"] != 100 {
		t.Errorf("sent %v, want all to the old version", got)
	}
}

// TestExposureBeforeAvailability guards against a bad target that gets all requests when no old upstream is live.
func TestExposureBeforeAvailability(t *testing.T) {
	b := newBench()
	b.listVersions([]string{"p"}, "v1", "v2")
	o := order("p", "v2", 5)
	b.ApplyOrders([]rollout.Order{o})
	b.listVersions([]string{"p"}, "v2")
	b.direct(t, 1, canary(o))
	if got := b.sends("p", 300); got["v2"] > 20 {
		t.Errorf("sent %v without credit", got)
	}
}

// TestStaleDirectives guards against two coordinators whose directives a host obeys in turn, and against reordered ones.
func TestStaleDirectives(t *testing.T) {
	b := newBench()
	b.listVersions([]string{"p"}, "v1", "v2")
	o := order("p", "v2", 5)
	b.direct(t, 7, canary(o))
	for _, m := range []Directives{{Fence: 6, Seq: 99}, {Fence: 7, Seq: b.seq}} {
		_, err := b.Handle(context.Background(), m)
		var failed *inner.Failure
		if !errors.As(err, &failed) {
			t.Errorf("fence %d, number %d: got error %v", m.Fence, m.Seq, err)
		}
	}
	done := canary(o)
	done.Phase = rollout.PhaseRolledBack
	b.direct(t, 8, done)
	done.Phase = rollout.PhaseComplete
	b.direct(t, 9, done)
	if got := b.Status()[0].Phase; got != rollout.PhaseRolledBack {
		t.Errorf("the phase is %s after opposite outcomes", got)
	}
	bad := canary(o)
	bad.Step = 7
	if a := b.direct(t, 9, bad); len(a.Reports) != 0 {
		t.Error("a malformed directive was applied")
	}
}

// TestPromotion guards against a host that still sends requests to old upstreams after it has reported that it does not,
// and against requests in flight that a report leaves out.
func TestPromotion(t *testing.T) {
	b := newBench()
	b.listVersions([]string{"p"}, "v1", "v2")
	o := order("p", "v2", 5)
	b.ApplyOrders([]rollout.Order{o})
	b.sends("p", 1)
	old, ok := b.Send(b.list.Pool("p")[0], "r", true)
	if !ok {
		t.Fatal("a request to an old upstream was refused")
	}
	d := canary(o)
	d.Phase, d.Step = rollout.PhasePromoting, 0.25
	r := b.direct(t, 1, d).Reports[0].Report
	if r.Applied == rollout.PhasePromoting || r.AtOld != 1 || r.ResumableAtOld != 1 {
		t.Errorf("report %+v in the first step", r)
	}
	if got := b.sends("p", 400); got["v2"] < 50 || got["v1"] < 150 {
		t.Errorf("sent %v in the first step", got)
	}
	b.elapsed += 1100 * time.Millisecond // no further directive arrives
	if got := b.sends("p", 100); got["v2"] != 100 {
		t.Errorf("sent %v after the last step", got)
	}
	if _, ok := b.Send(b.list.Pool("p")[0], "r", false); ok {
		t.Error("a request that was chosen before the last step was sent to an old upstream")
	}
	d.Withdraw, d.Step = true, 1
	r = b.direct(t, 1, d).Reports[0].Report
	if r.Applied != rollout.PhasePromoting || r.AtOld != 1 || b.withdrawn == 0 {
		t.Errorf("report %+v in the last step, withdrawn %d times", r, b.withdrawn)
	}
	old.End()
	old.End()
	if r = b.direct(t, 1, d).Reports[0].Report; r.AtOld != 0 {
		t.Errorf("%d requests in flight after the last has ended", r.AtOld)
	}
	d.Phase, d.Done = rollout.PhaseComplete, true
	b.direct(t, 1, d)
	if got := b.sends("p", 50); got["v2"] != 50 {
		t.Errorf("sent %v after completion", got)
	}
	if len(b.Undecided()) != 0 || b.Running("p") {
		t.Error("the order counts as undecided")
	}
}

// TestHostStopsOnItsOwn guards against a bad target that gets requests because the coordinator is silent or cannot store a
// rollback, and against a host that stops for all because of its own few answers.
func TestHostStopsOnItsOwn(t *testing.T) {
	b := newBench()
	b.listVersions([]string{"p"}, "v1", "v2")
	o := order("p", "v2", 5)
	b.ApplyOrders([]rollout.Order{o})
	b.sends("p", 400) // earns credit
	b.direct(t, 1, canary(o))
	for _, h := range b.list.Pool("p") {
		for range 15 {
			if use, ok := b.Send(h, "r", false); ok {
				use.Record(h.Version == "v2", 10*time.Millisecond)
				use.End()
			}
		}
	}
	b.pool("p").judge()
	if got := b.sends("p", 200); got["v2"] == 0 {
		t.Errorf("sent %v while the coordinator judges the evidence of all hosts", got)
	}
	b.elapsed += 600 * time.Millisecond // no directive arrives, the last one is still valid
	b.pool("p").judge()
	if got := b.sends("p", 200); got["v2"] != 0 {
		t.Errorf("sent %v after the host's own verdict", got)
	}
	halt := canary(o)
	halt.Halt = "bad by the evidence of all hosts"
	if r := b.direct(t, 1, halt).Reports[0].Report; r.Applied != rollout.PhaseRolledBack {
		t.Errorf("reported phase %s", r.Applied)
	}
	if got := b.sends("p", 200); got["v2"] != 0 {
		t.Errorf("sent %v while a rollback is being stored", got)
	}
	b.elapsed += 100 * time.Millisecond
	b.direct(t, 1, canary(o))
	if got := b.sends("p", 200); got["v2"] == 0 {
		t.Errorf("sent %v after the coordinator went on", got)
	}
}

// TestChangedAndRepeatedOrders guards against a replaced target that still gets requests, and against evidence that a
// repeated order loses.
func TestChangedAndRepeatedOrders(t *testing.T) {
	b := newBench()
	b.listVersions([]string{"p", "q"}, "v1", "v2", "v3")
	first, repeated, changed := order("p", "v2", 5), order("p", "v2", 6), order("p", "v3", 7)
	b.ApplyOrders([]rollout.Order{first, order("q", "v2", 5)})
	d := canary(first)
	b.direct(t, 1, d)
	b.sends("p", 100)
	b.ApplyOrders([]rollout.Order{repeated, first})
	d.Order = repeated // the base stays
	if r := b.direct(t, 1, d).Reports[0].Report; r.Revision != 6 || len(r.Evidence) == 0 {
		t.Errorf("report %+v after a repeated order", r)
	}
	b.ApplyOrders([]rollout.Order{changed})
	if r := b.direct(t, 1, d).Reports[0].Report; r.Revision != 7 || len(r.Evidence) != 0 {
		t.Errorf("report %+v after a changed order", r)
	}
	d = canary(changed)
	d.Barred = []string{"v2"}
	b.direct(t, 1, d)
	if got := b.sends("p", 300); got["v2"] != 0 || got["v3"] == 0 {
		t.Errorf("sent %v after a changed order", got)
	}
	b.elapsed += time.Minute
	if got := b.sends("p", 100); got["v2"] != 0 {
		t.Errorf("sent %v to a replaced target", got)
	}
	if got := b.sends("q", 100); got["v2"] != 0 || got[""] != 0 {
		t.Errorf("sent %v in another pool without a directive", got)
	}
}

// TestRecordIsObeyed guards against a host out of reach of the coordinator that goes on with a roll-out that has ended.
func TestRecordIsObeyed(t *testing.T) {
	for phase, want := range map[rollout.Phase]string{rollout.PhaseComplete: "v2", rollout.PhaseRolledBack: "v1", rollout.PhasePromoting: "v2", rollout.PhaseCanary: "v1"} {
		t.Run(string(phase), func(t *testing.T) {
			b := newBench()
			b.listVersions([]string{"p"}, "v1", "v2")
			o := order("p", "v2", 5)
			b.ApplyOrders([]rollout.Order{o})
			at := b.Now()
			r := Record{Record: rollout.Record{Order: o, Phase: phase, Old: []string{"v1"}, Started: at, Since: at, Ended: rollout.Evidence{}}, Base: 5, Writer: "x", Nonce: 1}
			value, err := EncodeRecord(r)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := b.store.CompareAndSwap(t.Context(), kv.Write{Key: RecordPrefix + "p", Value: value}); err != nil {
				t.Fatal(err)
			}
			if b.Settled() {
				t.Error("the host is settled before it has read the record")
			}
			b.pool("p").readRecord(t.Context())
			if !b.Settled() {
				t.Error("the host is not settled after it has read the record")
			}
			b.elapsed += 2 * time.Second
			if got := b.sends("p", 100); got[want] != 100 {
				t.Errorf("sent %v, want all to %s", got, want)
			}
		})
	}
}

// FuzzDecodeRecord guards against a stored value that ends the process.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, value []byte) {
		var failed *kv.RecordError
		if _, err := DecodeRecord(RecordPrefix+"p", value); err != nil && !errors.As(err, &failed) {
			t.Fatalf("got an error that is not a *kv.RecordError: %v", err)
		}
	})
}
