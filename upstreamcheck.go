package cardamompier

import (
	"context"

	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

// checkEngine returns a check that asks a model engine for its load report and
// fails when it is leaving. A plain service cannot be asked and fails.
func checkEngine(follower *config.Follower) func(context.Context, hosts.Host) error {
	transport := enginehttp.NewTransport()
	return func(ctx context.Context, h hosts.Host) error {
		if !servesModels(follower.Current(), h.Pool) {
			return &upstream.Error{Op: "check", Upstream: h.ID, Reason: upstream.ReasonRefused}
		}
		report, err := enginehttp.NewClient(h.ID, h.Address, transport).Load(ctx)
		if err == nil && report.Leaving {
			err = &upstream.Error{Op: "check", Upstream: h.ID, Reason: upstream.ReasonLeaving}
		}
		return err
	}
}

// servesModels reports whether only model services use a pool.
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
