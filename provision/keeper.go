package provision

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/planner"
	"github.com/cardamompier/cardamompier/weights"
)

const (
	// dutyPrefix is followed by the pool's name in the name of its duty.
	dutyPrefix = "provision/"
	// candidates is how many entry hosts campaign for a pool's duty and are
	// sent its rates, so that the next holder knows the demand at once.
	candidates = 2
	// campaignInterval is the time between two looks at the files and members.
	campaignInterval = time.Second
)

// Sender sends one-way messages between entry hosts.
type Sender interface {
	Send(ctx context.Context, address string, kind inner.Kind, message any) error
}

// Parts are what a Keeper works with. All are required.
type Parts struct {
	Self    string
	Cloud   cloud.API
	Weights weights.Store
	Store   kv.Store
	Config  func() *config.Snapshot
	Members func() *membership.View
	Hosts   func() *hosts.Snapshot
	// Generated returns the tokens that this host has passed on for a pool
	// since it started.
	Generated func(pool string) int64
	Peers     Sender
	Logger    hclog.Logger
}

// Keeper provisions the pools whose duty this entry host holds, and tells the
// candidates for each pool's duty what this host generates. Use NewKeeper.
type Keeper struct {
	parts   Parts
	rates   rates
	running sync.WaitGroup
	// duties ends the campaign for each pool. It is used by Run only.
	duties map[string]context.CancelFunc
}

// NewKeeper returns a keeper whose messages come in through server.
func NewKeeper(parts Parts, server *inner.Server) *Keeper {
	k := &Keeper{parts: parts, duties: map[string]context.CancelFunc{}}
	inner.Register(server, inner.KindProvisionRate, func(_ context.Context, r rate) (struct{}, error) {
		k.rates.note(r, time.Now())
		return struct{}{}, nil
	})
	return k
}

// Run campaigns and reports until ctx ends, and gives its duties up.
func (k *Keeper) Run(ctx context.Context) {
	k.running.Go(func() { k.report(ctx) })
	defer k.running.Wait()
	ticker := time.NewTicker(campaignInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		k.campaign(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// campaign begins and ends campaigns, as the files and the members ask.
func (k *Keeper) campaign(ctx context.Context) {
	wanted := map[string]bool{}
	for pool := range wantsOf(k.parts.Config()) {
		for _, m := range k.parts.Members().Chosen(dutyPrefix+pool, candidates) {
			wanted[pool] = wanted[pool] || m.ID == k.parts.Self
		}
	}
	for pool, end := range k.duties {
		if !wanted[pool] {
			end()
			delete(k.duties, pool)
		}
	}
	for pool, chosen := range wanted {
		if _, begun := k.duties[pool]; begun || !chosen {
			continue
		}
		campaign, end := context.WithCancel(ctx)
		k.duties[pool] = end
		holder := lease.New(k.parts.Store, dutyPrefix+pool, k.parts.Self, k.parts.Logger, lease.Options{})
		k.running.Go(func() {
			holder.Run(campaign, func(ctx context.Context, term *lease.Term) { k.lead(ctx, term, pool) })
		})
	}
}

// lead provisions a pool during a term.
func (k *Keeper) lead(ctx context.Context, term *lease.Term, pool string) {
	s := &supply{store: k.parts.Weights, logger: k.parts.Logger}
	want := func() want { return wantsOf(k.parts.Config())[pool] }
	New(k.parts.Cloud, Pool{
		Name:     pool,
		Capacity: func() map[string]float64 { return want().capacity },
		Ready: func() bool {
			s.refresh(ctx, want().models)
			return term.Valid() && want().capacity != nil && k.rates.complete(pool, k.parts.Members(), time.Now())
		},
		Demand: func() float64 { return k.rates.sum(pool, k.parts.Members(), time.Now()) },
		Floor:  func() float64 { return max(leastDemand, want().floor) },
		Warm: func(id string) bool {
			return lo.ContainsBy(k.parts.Hosts().Pool(pool), func(h hosts.Host) bool {
				return h.ID == id && h.State == hosts.StateLive
			})
		},
		WarmUp:    s.warmUp,
		MaxStarts: s.maxStarts,
	}, planner.DefaultPolicy(), k.parts.Logger).Run(ctx, term.Fence)
}

// report sends this host's rates to the candidates of each pool.
func (k *Keeper) report(ctx context.Context) {
	last := map[string]sample{}
	for ctx.Err() == nil {
		view := k.parts.Members()
		for pool := range wantsOf(k.parts.Config()) {
			now := sample{at: time.Now(), tokens: k.parts.Generated(pool)}
			if before, ok := last[pool]; ok {
				k.tell(ctx, view, rate{Host: k.parts.Self, Pool: pool, TokensPerSecond: now.since(before)})
			}
			last[pool] = now
		}
		select {
		case <-time.After(rateInterval(len(view.Members))):
		case <-ctx.Done():
		}
	}
}

// tell sends a rate to the pool's candidates. A message that is lost is made
// up for by the next.
func (k *Keeper) tell(ctx context.Context, view *membership.View, r rate) {
	ctx, cancel := context.WithTimeout(ctx, campaignInterval)
	defer cancel()
	for _, m := range view.Chosen(dutyPrefix+r.Pool, candidates) {
		if m.ID == k.parts.Self {
			k.rates.note(r, time.Now())
		} else if err := k.parts.Peers.Send(ctx, m.InnerAddress, inner.KindProvisionRate, r); err != nil {
			Orders.Inc(labelUntold)
		}
	}
}
