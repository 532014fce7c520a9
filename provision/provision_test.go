package provision_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/cloud/cloudmem"
	"github.com/cardamompier/cardamompier/planner"
	"github.com/cardamompier/cardamompier/provision"
)

// bench is a provisioner over the in-memory cloud in virtual time.
type bench struct {
	now    time.Time
	demand float64
	floor  float64
	cloud  *cloudmem.Cloud
	api    cloud.API
}

func newBench() *bench {
	b := &bench{now: time.Unix(1_000_000, 0)}
	b.cloud = cloudmem.New(func() time.Time { return b.now }, time.Minute)
	b.api = b.cloud
	for _, domain := range []string{"a", "b", "c", "d"} {
		b.cloud.SetPrice(cloud.Market{FailureDomain: domain, Class: "small"}, 1)
		b.cloud.SetPrice(cloud.Market{FailureDomain: domain, Class: "small", Reclaimable: true}, 0.3)
	}
	return b
}

func (b *bench) provisioner() *provision.Provisioner {
	return provision.New(b.api, provision.Pool{
		Name: "runners", Capacity: func() map[string]float64 { return map[string]float64{"small": 1} },
		Demand: func() float64 { return b.demand }, Floor: func() float64 { return b.floor }, Warm: func(string) bool { return true },
		WarmUp: func() time.Duration { return time.Minute }, MaxStarts: func() int { return 3 },
	}, planner.DefaultPolicy(), hclog.NewNullLogger())
}

// run does rounds for a span and returns the hosts that are not leaving.
func (b *bench) run(ctx context.Context, p *provision.Provisioner, span time.Duration) []cloud.Instance {
	for end := b.now.Add(span); b.now.Before(end); b.now = b.now.Add(provision.Interval) {
		p.Round(ctx, 1, b.now)
	}
	all, _ := b.cloud.Instances(ctx)
	var out []cloud.Instance
	for _, instance := range all {
		if instance.State != cloud.StateLeaving {
			out = append(out, instance)
		}
	}
	return out
}

func TestPoolFollowsTheDemandAndReplacesReclaimedHosts(t *testing.T) {
	b := newBench()
	p := b.provisioner()
	b.demand = 8
	if got := b.run(t.Context(), p, 10*time.Minute); len(got) != 8 {
		t.Fatalf("%d hosts for a demand of 8", len(got))
	}
	b.cloud.Reclaim("a", time.Second)
	for _, domain := range []string{"a", "b"} {
		b.cloud.Refuse(cloud.Market{FailureDomain: domain, Class: "small", Reclaimable: true}, b.now.Add(time.Hour))
	}
	got := b.run(t.Context(), p, 10*time.Minute)
	if len(got) != 8 {
		t.Fatalf("%d hosts after a reclaim with refused starts", len(got))
	}
	b.demand = 2
	if got := b.run(t.Context(), p, 30*time.Minute); len(got) != 2 {
		t.Fatalf("%d hosts for a demand of 2", len(got))
	}
}

// A step of the floor is no trend: it neither overshoots nor lags.
func TestPoolFollowsItsFloorAtOnce(t *testing.T) {
	b := newBench()
	p := b.provisioner()
	for _, floor := range []float64{2, 4, 6, 3} {
		b.floor = floor
		if got := b.run(t.Context(), p, 4*provision.Interval); len(got) != int(floor) {
			t.Fatalf("%d hosts for a floor of %v", len(got), floor)
		}
	}
}

// lossy loses the answers of starts that took effect.
type lossy struct{ cloud.API }

func (l lossy) Start(ctx context.Context, req cloud.StartRequest) (cloud.Instance, error) {
	_, _ = l.API.Start(ctx, req)
	return cloud.Instance{}, &cloud.Error{Op: "start", Reason: cloud.ReasonUnknown}
}

func TestLostAnswersDoNotOverbuy(t *testing.T) {
	b := newBench()
	b.api = lossy{b.cloud}
	b.demand = 5
	if got := b.run(t.Context(), b.provisioner(), 10*time.Minute); len(got) != 5 {
		t.Fatalf("%d hosts for a demand of 5", len(got))
	}
}

func TestEndedLeaseOrdersNothing(t *testing.T) {
	b := newBench()
	b.demand = 5
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got := b.run(ctx, b.provisioner(), time.Minute); len(got) != 0 {
		t.Fatalf("%d hosts ordered without a lease", len(got))
	}
}
