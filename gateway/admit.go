package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/gossip"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
)

const (
	usageInterval = 500 * time.Millisecond
	usagePrefix   = "usage/"
)

// NotAdmitted counts requests that admission refused, by reason.
var NotAdmitted = metrics.New("not_admitted_total", "Requests that admission refused, by reason.")

// Admission holds client accounts to their rates over all entry hosts: each
// host spreads its usage and takes its part of each rate. Use NewAdmission.
type Admission struct {
	limiter admission.Limiter
	config  *config.Follower
	members *membership.Registry
	table   *gossip.Table
	version atomic.Uint64
}

// NewAdmission returns an admission that spreads usage through table.
func NewAdmission(follower *config.Follower, members *membership.Registry, table *gossip.Table) *Admission {
	a := &Admission{config: follower, members: members, table: table}
	a.version.Store(uint64(time.Now().UnixNano())) // over the versions of an earlier process
	return a
}

// Run shares the rates until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		a.round()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Admission) round() {
	own := a.limiter.Round(usageInterval)
	self := a.members.Self().ID
	if value, err := cbor.Marshal(own); err == nil {
		a.table.SetOwned(usagePrefix+self, a.version.Add(1), value)
	}
	usages, hosts := []admission.Usage{own}, 1
	for _, m := range a.members.View().Members {
		if m.ID == self {
			continue
		}
		hosts++
		var usage admission.Usage
		if _, value, ok := a.table.Get(usagePrefix + m.ID); ok && cbor.Unmarshal(value, &usage) == nil {
			usages = append(usages, usage)
		}
	}
	if snapshot := a.config.Current(); snapshot != nil {
		for name, account := range snapshot.Accounts {
			a.limiter.Share(name, account.RequestsPerSecond, own, usages, hosts)
		}
	}
}

// admit refuses a request of a client account whose rate is used up.
func (a *Admission) admit(account *config.Account) *apierr.Error {
	refusal := a.limiter.Admit(time.Now(), account.Name, account.RequestsPerSecond)
	if refusal == nil {
		return nil
	}
	NotAdmitted.Inc(string(refusal.Reason))
	limited := apierr.New(apierr.CodeRateLimited, "the client account's requests a second are used up")
	return limited.WithRetryAfter(refusal.RetryAfter).WithCause(refusal)
}
