package cardamompier

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cardamompier/cardamompier/guard"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/platform"
	"github.com/cardamompier/cardamompier/scaling"
	"github.com/cardamompier/cardamompier/usage"
)

// dutiesLease is the name of the lease whose holder reports usage and orders upstreams for
// all entry hosts.
const dutiesLease = "duties"

// duties returns a function that campaigns for the duties lease and, while this host holds
// it, reports usage and orders upstreams.
func (f *ForwardServer) duties() func(context.Context) {
	api := platform.NewDuties(f.settings.Duties, f.settings.HostID, f.logger.Named("duties"))
	reporter := &usage.Reporter{
		Store: f.store, Counts: f.counter, Sink: api, Window: seconds(f.settings.UsageWindowSeconds), Now: f.clock.Now, Logger: f.logger.Named("usage"),
	}
	scaler := &scaling.Scaler{
		Cloud: api, Table: f.table.Load, Upstreams: f.upstreams.Load, Demand: f.forwarder.Demand,
		Domains: slices.Sorted(maps.Keys(f.settings.FailureDomains)), Held: f.rolloutRuns, Logger: f.logger.Named("scaling"),
	}
	campaign := lease.New(f.store, dutiesLease, f.settings.HostID, f.logger.Named("lease"), lease.Options{Candidate: f.candidate})
	return func(ctx context.Context) {
		campaign.Run(ctx, func(ctx context.Context, term *lease.Term) {
			var running sync.WaitGroup
			running.Go(func() {
				guard.Run(ctx, f.logger, "usage reports", func(ctx context.Context) { reporter.Run(ctx, term) })
			})
			guard.Run(ctx, f.logger, "scaling", func(ctx context.Context) { scaler.Run(ctx, term) })
			running.Wait()
		})
	}
}

// candidate reports whether this host campaigns for the duties lease. Only the hosts that
// collect the usage counts do, because the holder needs the counts.
func (f *ForwardServer) candidate() bool {
	return f.members.Current() != nil && slices.ContainsFunc(f.hosts().Chosen(usage.Role, usage.Collectors), func(m membership.Member) bool {
		return m.ID == f.settings.HostID
	})
}
