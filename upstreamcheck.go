package cardamompier

import (
	"context"

	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

// checkEngine returns a check that reads a model engine's load report and fails if the engine
// is leaving. For an upstream in a pool that not only model services use, the check always
// fails, because such an upstream has no load report.
func checkEngine(follower *config.Follower) func(context.Context, hosts.Host) error {
	transport, replies := enginehttp.NewTransport(), upstream.NewReplyBudget()
	return func(ctx context.Context, h hosts.Host) error {
		if !servesModels(follower.Current(), h.Pool) {
			return &upstream.Error{Op: "check", Upstream: h.ID, Reason: upstream.ReasonRefused}
		}
		report, err := enginehttp.NewClient(h.ID, h.Address, transport, replies).Load(ctx)
		if err == nil && report.Leaving {
			err = &upstream.Error{Op: "check", Upstream: h.ID, Reason: upstream.ReasonLeaving}
		}
		return err
	}
}

// servesModels reports whether at least one model service and no other kind of service uses
// a pool.
func servesModels(snapshot *config.Snapshot, pool string) bool {
	found := false
	if snapshot == nil {
		return false
	}
	for _, s := range snapshot.Services {
		if s.Pool == pool && s.Kind != config.KindModel {
			return false
		}
		found = found || s.Pool == pool
	}
	return found
}
