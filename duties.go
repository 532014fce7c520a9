package cardamompier

import (
	"context"
	"maps"
	"slices"

	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/platform"
	"github.com/cardamompier/cardamompier/scaling"
	"github.com/cardamompier/cardamompier/usage"
)

// Names of the duties that one host holds at a time.
const (
	dutyUsage   = "usage"
	dutyScaling = "scaling"
)

// duties returns the campaigns for the duties.
func (f *ForwardServer) duties() []func(context.Context) {
	api := platform.NewDuties(f.settings.Duties, f.settings.HostID)
	reporter := &usage.Reporter{
		Store: f.store, Sink: api, Window: seconds(f.settings.UsageWindowSeconds), Now: f.clock.Now, Logger: f.logger.Named("usage"),
	}
	scaler := &scaling.Scaler{
		Cloud: api, Table: f.table.Load, Upstreams: f.upstreams.Load, Demand: f.forwarder.Demand,
		Domains: slices.Sorted(maps.Keys(f.settings.FailureDomains)), Logger: f.logger.Named("scaling"),
	}
	campaign := func(name string, run func(context.Context, *lease.Term)) func(context.Context) {
		return func(ctx context.Context) {
			lease.New(f.store, name, f.settings.HostID, f.logger.Named("lease"), lease.Options{}).Run(ctx, run)
		}
	}
	return []func(context.Context){campaign(dutyUsage, reporter.Run), campaign(dutyScaling, scaler.Run)}
}
