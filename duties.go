package cardamompier

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/platform"
	"github.com/cardamompier/cardamompier/scaling"
	"github.com/cardamompier/cardamompier/usage"
)

// dutiesLease is held by the host that has both duties: usage reports and
// orders for upstreams.
const dutiesLease = "duties"

// duties returns the campaign for the duties.
func (f *ForwardServer) duties() func(context.Context) {
	api := platform.NewDuties(f.settings.Duties, f.settings.HostID)
	reporter := &usage.Reporter{
		Store: f.store, Counts: f.counter, Sink: api, Window: seconds(f.settings.UsageWindowSeconds), Now: f.clock.Now, Logger: f.logger.Named("usage"),
	}
	scaler := &scaling.Scaler{
		Cloud: api, Table: f.table.Load, Upstreams: f.upstreams.Load, Demand: f.forwarder.Demand,
		Domains: slices.Sorted(maps.Keys(f.settings.FailureDomains)), Logger: f.logger.Named("scaling"),
	}
	campaign := lease.New(f.store, dutiesLease, f.settings.HostID, f.logger.Named("lease"), lease.Options{Candidate: f.candidate})
	return func(ctx context.Context) {
		campaign.Run(ctx, func(ctx context.Context, term *lease.Term) {
			var both sync.WaitGroup
			both.Go(func() { reporter.Run(ctx, term) })
			scaler.Run(ctx, term)
			both.Wait()
		})
	}
}

// candidate says whether this host campaigns for the duties: those that collect
// what the holder needs to know.
func (f *ForwardServer) candidate() bool {
	return f.members.Current() != nil && slices.ContainsFunc(f.hosts().Chosen(usage.Role, usage.Collectors), func(m membership.Member) bool {
		return m.ID == f.settings.HostID
	})
}
