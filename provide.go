package cardamompier

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"github.com/cardamompier/cardamompier/cloud/cloudhttp"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/dispatch"
	"github.com/cardamompier/cardamompier/gateway"
	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/gossip"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/hosts/hosthttp"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvhttp"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/order"
	"github.com/cardamompier/cardamompier/provision"
	"github.com/cardamompier/cardamompier/quota"
	"github.com/cardamompier/cardamompier/settings"
	"github.com/cardamompier/cardamompier/weights/weightshttp"
)

const (
	// hostListInterval is the interval at which the platform's host list is read.
	hostListInterval = 500 * time.Millisecond
	// journalRetention is how long the log of a finished answer is retained, on the host that
	// owns the request and on the host that holds a copy.
	journalRetention = 2 * time.Minute
)

// provide returns an injector that creates the components of an entry host on first use.
func provide(s settings.Settings, logger hclog.Logger) *do.RootScope {
	i := do.New()
	do.ProvideValue[kv.Store](i, kv.NewClient(kvhttp.NewClient(s.Platform.KeyValue), kv.Options{}))
	peers := inner.NewServer()
	peers.SetLogger(logger.Named("inner"))
	do.ProvideValue(i, peers)
	do.ProvideValue(i, inner.NewClient())
	do.ProvideValue[hosts.Source](i, hosthttp.NewClient(s.Platform.HostList))
	do.Provide(i, func(i do.Injector) (*config.Follower, error) {
		follower := config.NewFollower(do.MustInvoke[kv.Store](i), logger.Named("config"))
		registry := do.MustInvoke[*membership.Registry](i)
		follower.JoinGroup(do.MustInvoke[*gossip.Table](i), func() config.Group { return groupOf(s.HostID, registry.View()) })
		return follower, nil
	})
	do.Provide(i, func(i do.Injector) (*hosts.Poller, error) {
		poller := hosts.NewPoller(do.MustInvoke[hosts.Source](i), hostListInterval, logger.Named("hosts"))
		poller.Share(do.MustInvoke[*gossip.Table](i), do.MustInvoke[*inner.Client](i), do.MustInvoke[*inner.Server](i),
			do.MustInvoke[*membership.Registry](i).HostListPollers)
		poller.SetCheck(checkEngine(do.MustInvoke[*config.Follower](i)))
		return poller, nil
	})
	do.ProvideValue(i, gossip.NewTable(s.HostID))
	do.Provide(i, func(i do.Injector) (*membership.Registry, error) {
		registry := membership.New(membership.Options{
			Self: memberOf(s), Seeds: s.Seeds, Store: do.MustInvoke[kv.Store](i), Table: do.MustInvoke[*gossip.Table](i),
			Transport: do.MustInvoke[*inner.Client](i), Logger: logger.Named("membership"),
		})
		registry.Register(do.MustInvoke[*inner.Server](i))
		return registry, nil
	})
	do.Provide(i, func(i do.Injector) (*dispatch.Dispatcher, error) {
		isolation := dispatch.NewIsolation(do.MustInvoke[*gossip.Table](i), do.MustInvoke[kv.Store](i), logger.Named("isolation"))
		return dispatch.New(do.MustInvoke[*hosts.Poller](i), isolation, logger.Named("dispatch")), nil
	})
	provideOrders(i, s, logger)
	do.Provide(i, func(i do.Injector) (*quota.Quota, error) {
		members := quota.NewMembershipView(s.HostID, do.MustInvoke[*membership.Registry](i).View)
		return quota.New(members, do.MustInvoke[*config.Follower](i), do.MustInvoke[*inner.Client](i), do.MustInvoke[*inner.Server](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*gateway.Gateway, error) {
		return gateway.New(gateway.Parts{
			Config:         do.MustInvoke[*config.Follower](i),
			Members:        do.MustInvoke[*membership.Registry](i),
			Dispatcher:     do.MustInvoke[*dispatch.Dispatcher](i),
			Ledger:         do.MustInvoke[order.Ledger](i),
			Quota:          do.MustInvoke[*quota.Quota](i),
			GenerationLogs: genlog.NewStore(journalRetention),
			Holder:         genlog.NewHolder(journalRetention),
			Peers:          do.MustInvoke[*inner.Client](i),
			InnerAPI:       do.MustInvoke[*inner.Server](i),
			Logger:         logger.Named("gateway"),
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*provision.Controller, error) { return provideKeeper(i, s, logger), nil })
	return i
}

func provideOrders(i do.Injector, s settings.Settings, logger hclog.Logger) {
	do.Provide(i, func(i do.Injector) (*order.PartitionedLedger, error) {
		store, members := do.MustInvoke[kv.Store](i), do.MustInvoke[*membership.Registry](i)
		ledger := order.NewPartitionedLedger(store, s.HostID, members, do.MustInvoke[*inner.Client](i), order.Options{})
		ledger.Register(do.MustInvoke[*inner.Server](i))
		return ledger, nil
	})
	do.Provide(i, func(i do.Injector) (order.Ledger, error) {
		return order.NewRecorder(do.MustInvoke[*order.PartitionedLedger](i), do.MustInvoke[kv.Store](i), logger.Named("order")), nil
	})
}

// provideKeeper creates the component that starts and stops upstream hosts. It returns nil
// if no cloud address is set, which turns provisioning off.
func provideKeeper(i do.Injector, s settings.Settings, logger hclog.Logger) *provision.Controller {
	if s.Platform.Cloud == "" {
		return nil
	}
	return provision.NewController(provision.Config{
		Self: s.HostID, Cloud: cloudhttp.NewClient(s.Platform.Cloud), Weights: weightshttp.NewClient(s.Platform.Weights),
		Store:     do.MustInvoke[kv.Store](i),
		Config:    do.MustInvoke[*config.Follower](i).Current,
		Members:   do.MustInvoke[*membership.Registry](i).View,
		Hosts:     do.MustInvoke[*hosts.Poller](i).Current,
		Generated: do.MustInvoke[*dispatch.Dispatcher](i).GeneratedTokens,
		Peers:     do.MustInvoke[*inner.Client](i),
		Logger:    logger.Named("provision"),
	}, do.MustInvoke[*inner.Server](i))
}

// groupOf returns the entry hosts that follow the stored configuration together: all members
// of the view that are not leaving.
func groupOf(self string, view *membership.View) config.Group {
	group := config.Group{Self: self}
	for _, m := range view.Members {
		if !m.Leaving {
			group.Members = append(group.Members, config.GroupMember{ID: m.ID, FailureDomain: m.FailureDomain})
		}
	}
	return group
}

func memberOf(s settings.Settings) membership.Member {
	return membership.Member{
		ID: s.HostID, Address: s.Advertise, InnerAddress: s.InnerAdvertise,
		FailureDomain: s.FailureDomain, Region: s.Region,
	}
}
