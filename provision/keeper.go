package provision

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

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
	// dutyPrefix and a pool's name form the name of the lease for provisioning that pool.
	dutyPrefix = "provision/"
	// candidateCount is the number of entry hosts that compete for a pool's lease. All of them
	// receive the pool's token rates, so that a new holder knows the demand at once.
	candidateCount = 2
	// campaignInterval is the time between two checks of the configuration and the membership.
	campaignInterval = time.Second
)

// Sender sends one-way messages between entry hosts.
type Sender interface {
	Send(ctx context.Context, address string, kind inner.MessageKind, message any) error
}

// Config contains the dependencies of a Controller. All fields are required.
type Config struct {
	Self    string
	Cloud   cloud.API
	Weights weights.Store
	Store   kv.Store
	Config  func() *config.Snapshot
	Members func() *membership.View
	Hosts   func() *hosts.Snapshot
	// Generated returns the number of tokens that this host has forwarded from a pool's upstreams
	// since the process started.
	Generated func(pool string) int64
	Peers     Sender
	Logger    hclog.Logger
}

// Controller provisions the pools whose lease this entry host holds, and reports this host's token
// rates to the candidates for each pool's lease. NewController creates it.
type Controller struct {
	parts   Config
	rates   rates
	running sync.WaitGroup
	// campaigns holds the cancel function of the campaign for each pool's lease, by pool name. Only
	// the goroutine of Run accesses it.
	campaigns map[string]context.CancelFunc
}

// NewController returns a Controller that receives the rates of other hosts through server.
func NewController(parts Config, server *inner.Server) *Controller {
	k := &Controller{parts: parts, campaigns: map[string]context.CancelFunc{}}
	inner.Register(server, inner.KindProvisionRate, func(_ context.Context, r rate) (struct{}, error) {
		k.rates.record(r, time.Now())
		return struct{}{}, nil
	})
	return k
}

// Run competes for the leases of pools and reports this host's token rates until ctx ends. It then
// releases its leases.
func (k *Controller) Run(ctx context.Context) {
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

// campaign starts and cancels the campaigns for pool leases, according to the configuration and the
// membership.
func (k *Controller) campaign(ctx context.Context) {
	wanted := map[string]bool{}
	for pool := range poolSpecs(k.parts.Config()) {
		for _, m := range k.parts.Members().Chosen(dutyPrefix+pool, candidateCount) {
			wanted[pool] = wanted[pool] || m.ID == k.parts.Self
		}
	}
	for pool, cancel := range k.campaigns {
		if !wanted[pool] {
			cancel()
			delete(k.campaigns, pool)
		}
	}
	for pool, chosen := range wanted {
		if _, started := k.campaigns[pool]; started || !chosen {
			continue
		}
		campaignCtx, cancel := context.WithCancel(ctx)
		k.campaigns[pool] = cancel
		holder := lease.New(k.parts.Store, dutyPrefix+pool, k.parts.Self, k.parts.Logger, lease.Options{})
		k.running.Go(func() {
			holder.Run(campaignCtx, func(ctx context.Context, term *lease.Term) { k.lead(ctx, term, pool) })
		})
	}
}

// lead provisions a pool until ctx ends, which it does at the end of the lease term.
func (k *Controller) lead(ctx context.Context, term *lease.Term, pool string) {
	s := &weightStoreState{store: k.parts.Weights, logger: k.parts.Logger}
	spec := func() poolSpec { return poolSpecs(k.parts.Config())[pool] }
	New(k.parts.Cloud, Pool{
		Name:     pool,
		Capacity: func() map[string]float64 { return spec().capacity },
		Ready: func() bool {
			s.refresh(ctx, spec().models)
			return term.Valid() && spec().capacity != nil && k.rates.complete(pool, k.parts.Members(), time.Now())
		},
		Demand: func() float64 { return k.rates.sum(pool, k.parts.Members(), time.Now()) },
		Floor:  func() float64 { return max(minDemand, spec().floor) },
		Warm: func(id string) bool {
			_, live := k.parts.Hosts().Live(pool, id)
			return live
		},
		WarmUp:    s.warmUp,
		MaxStarts: s.maxStarts,
	}, planner.DefaultPolicy(), k.parts.Logger).Run(ctx, term.Fence)
}

// report periodically sends this host's token rates to the candidates for each pool's lease.
func (k *Controller) report(ctx context.Context) {
	last := map[string]sample{}
	for ctx.Err() == nil {
		view := k.parts.Members()
		for pool := range poolSpecs(k.parts.Config()) {
			now := sample{at: time.Now(), tokens: k.parts.Generated(pool)}
			if previous, ok := last[pool]; ok {
				k.sendRate(ctx, view, rate{Host: k.parts.Self, Pool: pool, TokensPerSecond: now.rateSince(previous)})
			}
			last[pool] = now
		}
		select {
		case <-time.After(rateInterval(len(view.Members))):
		case <-ctx.Done():
		}
	}
}

// sendRate sends a token rate to the candidates for the pool's lease. It does not retry: the next
// report replaces a lost message.
func (k *Controller) sendRate(ctx context.Context, view *membership.View, r rate) {
	ctx, cancel := context.WithTimeout(ctx, campaignInterval)
	defer cancel()
	for _, m := range view.Chosen(dutyPrefix+r.Pool, candidateCount) {
		if m.ID == k.parts.Self {
			k.rates.record(r, time.Now())
		} else if err := k.parts.Peers.Send(ctx, m.InnerAddress, inner.KindProvisionRate, r); err != nil {
			Orders.Inc(labelUntold)
		}
	}
}
