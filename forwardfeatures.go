package cardamompier

import (
	"time"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/forward"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/platform"
	"github.com/cardamompier/cardamompier/prefixes"
	"github.com/cardamompier/cardamompier/promptcache"
	"github.com/cardamompier/cardamompier/routes"
	"github.com/cardamompier/cardamompier/settings"
)

// weighCachedParts lets a forwarder estimate which prompt parts the upstreams hold.
func weighCachedParts(config *forward.Config, prompts *prefixes.Directory) {
	config.PromptTracker = promptcache.NewTracker(time.Now())
	prompts.TrackParts(config.PromptTracker)
	config.CachedParts = prompts
}

// balanceOf returns how uneven upstreams are handled: as the settings say, or as the platform's rules call for.
func balanceOf(s settings.Forwarding) forward.Balance {
	features := platform.FeaturesOf(s.RuleParts)
	return forward.Balance{ByRate: s.BalanceByRate || features.BalanceByRate, RefuseHopeless: s.RefuseHopeless}
}

// demandWindowOf returns the time over which the demand for upstreams is averaged: as the settings say, or as
// the platform's rules call for.
func demandWindowOf(s settings.Forwarding) time.Duration {
	return lo.CoalesceOrEmpty(seconds(s.DemandWindowSeconds), platform.FeaturesOf(s.RuleParts).DemandWindow)
}

// knownHosts returns the entry hosts, or none until their records were read. A host that took itself for the only one
// would use the whole of each limit that it shares with the others.
func (f *ForwardServer) knownHosts() *membership.View {
	if f.members.Current() == nil {
		return &membership.View{}
	}
	return f.hosts()
}

// limitedAccounts returns the names of the client accounts with a limit.
func (f *ForwardServer) limitedAccounts() []string {
	table := f.table.Load()
	if table == nil {
		return nil
	}
	return lo.Keys(lo.PickBy(table.Accounts, func(_ string, a *routes.Account) bool { return a.Rate > 0 }))
}
