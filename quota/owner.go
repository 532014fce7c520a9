package quota

import (
	"context"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
)

const (
	// takeTimeout bounds one question to an owner: some round trips.
	takeTimeout = 60 * time.Millisecond
	// unreachableSpan is how long an owner that did not answer is not asked.
	unreachableSpan = time.Second
	// alonePart of a host's even share is used while the owner cannot be
	// reached, since the owner goes on giving out the whole limit.
	alonePart = 0.5
)

// Takes counts requests for a part of an account's limit by outcome.
var Takes = metrics.New("quota_takes_total", "Requests for a part of an account's limit, by where they were decided and how.")

const (
	labelOwnerTaken   = "owner_taken"
	labelOwnerRefused = "owner_refused"
	labelAloneTaken   = "alone_taken"
	labelAloneRefused = "alone_refused"
	labelNotOwner     = "owner_unreachable"
)

// takeRequest asks an account's owner for a cost; a negative one is a refund.
type takeRequest struct {
	Account string              `cbor:"1,keyasint"`
	Limit   admission.Allowance `cbor:"2,keyasint"`
	Cost    float64             `cbor:"3,keyasint"`
}

// takeAnswer is the owner's decision.
type takeAnswer struct {
	Taken  bool  `cbor:"1,keyasint,omitempty"`
	WaitMS int64 `cbor:"2,keyasint,omitempty"`
}

// Owners keeps client accounts' limits over all hosts: each account has an
// owner among them, found by rendezvous hashing, that is asked for every
// request. A host that cannot reach the owner goes on with a part of an even
// share. Use NewOwners.
type Owners struct {
	self   string
	client *inner.Client
	hosts  func() *membership.View
	// count is the number of hosts that share a limit without its owner.
	count func() int

	owned, alone admission.Shares

	mu          sync.Mutex
	unreachable map[string]time.Time // by host id
}

// NewOwners returns the limits at the host self and registers their message.
func NewOwners(self string, client *inner.Client, server *inner.Server, hosts func() *membership.View, count func() int) *Owners {
	o := &Owners{self: self, client: client, hosts: hosts, count: count, unreachable: map[string]time.Time{}}
	inner.Register(server, inner.KindQuotaTake, func(_ context.Context, req takeRequest) (takeAnswer, error) {
		return o.decide(req), nil
	})
	return o
}

// decide answers for an account that this host owns.
func (o *Owners) decide(req takeRequest) takeAnswer {
	if req.Cost < 0 {
		o.owned.Refund(req.Account, -req.Cost)
		return takeAnswer{Taken: true}
	}
	wait, ok := o.owned.Take(req.Account, req.Limit, 1, req.Cost, time.Now())
	return takeAnswer{Taken: ok, WaitMS: wait.Milliseconds()}
}

// Take spends cost of an account's limit, or returns when to try again.
func (o *Owners) Take(ctx context.Context, account string, limit admission.Allowance, cost float64) (wait time.Duration, ok bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	answer, ok := o.ask(ctx, takeRequest{Account: account, Limit: limit, Cost: cost})
	switch {
	case ok && answer.Taken:
		Takes.Inc(labelOwnerTaken)
		return 0, true
	case ok:
		Takes.Inc(labelOwnerRefused)
		return time.Duration(answer.WaitMS) * time.Millisecond, false
	}
	part := admission.Allowance{Rate: limit.Rate * alonePart, Burst: limit.Burst * alonePart, Slack: limit.Slack * alonePart}
	if wait, ok = o.alone.Take(account, part, max(o.count(), 1), cost, time.Now()); ok {
		Takes.Inc(labelAloneTaken)
	} else {
		Takes.Inc(labelAloneRefused)
	}
	return wait, ok
}

// Refund gives back what a request took that did not run. It does not wait.
func (o *Owners) Refund(account string, cost float64) {
	go o.ask(context.Background(), takeRequest{Account: account, Cost: -cost})
}

// ask asks an account's owner; ok is false where it does not answer.
func (o *Owners) ask(ctx context.Context, req takeRequest) (answer takeAnswer, ok bool) {
	owners := o.hosts().Chosen("quota/"+req.Account, 1)
	if len(owners) == 0 || owners[0].ID == o.self {
		return o.decide(req), true
	}
	owner := owners[0]
	if o.avoided(owner.ID) {
		return answer, false
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	if err := o.client.Call(ctx, owner.InnerAddress, inner.KindQuotaTake, req, &answer); err != nil {
		Takes.Inc(labelNotOwner)
		o.avoid(owner.ID)
		return answer, false
	}
	return answer, true
}

func (o *Owners) avoided(host string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, known := o.unreachable[host]
	if known && time.Now().After(until) {
		delete(o.unreachable, host)
		return false
	}
	return known
}

func (o *Owners) avoid(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unreachable[host] = time.Now().Add(unreachableSpan)
}
