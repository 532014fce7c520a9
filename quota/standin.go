package quota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/metrics"
)

const (
	// standInFraction is the part of a limit that belongs to the deputy of its owner. The owner spends it only while it
	// holds it; the deputy spends it only while no owner can hold it.
	standInFraction = 0.5
	// holdDuration is how long an owner holds the part of a deputy after it sent a hold that was answered.
	holdDuration = 500 * time.Millisecond
	// standInDelay is how long after the owner's last hold a deputy decides in its place. It exceeds holdDuration, since
	// the hosts measure both by clocks of their own.
	standInDelay = 600 * time.Millisecond
	// heldUse is how long an owner holds the deputy's part after the last request for a client account.
	heldUse = 10 * time.Second
	// maxHeldAccounts is the largest number of known client accounts for which owners hold the deputies' parts also before
	// the first request.
	maxHeldAccounts = 256
	// relayTimeout is the timeout of a request that a deputy passes on to the owner.
	relayTimeout = takeTimeout / 2
)

// StandIns counts requests to a deputy from hosts that do not reach the owner, by outcome.
var StandIns = metrics.New("quota_stand_ins_total", "Requests for a part of an account's limit to the deputy of an owner that does not respond, by what the deputy did.")

// Labels of the metric StandIns, one for each outcome.
const (
	labelRelayed    = "relayed"
	labelStoodIn    = "decided"
	labelOwnerHolds = "owner_holds"
)

// holdRequest is the message with which an owner holds the parts of all limits that belong to the deputy.
type holdRequest struct {
	Owner string `cbor:"1,keyasint"`
}

// holdResponse is the response to a holdRequest.
type holdResponse struct{}

// hold is the time for which an owner has held the parts of a deputy without a pause.
type hold struct {
	since, until time.Time
}

// SetAccounts sets the function that returns the names of the client accounts with a limit. Owners then hold the deputies'
// parts also before the first request, so that an account that was idle has its whole limit at once. It must be called
// before Run.
func (o *Owners) SetAccounts(accounts func() []string) { o.accounts = accounts }

// knownAccounts returns the client accounts for which owners hold the deputies' parts whether they are used or not.
func (o *Owners) knownAccounts() []string {
	if o.accounts == nil {
		return nil
	}
	if known := o.accounts(); len(known) <= maxHeldAccounts {
		return known
	}
	return nil
}

// holdParts renews the holds at the deputies of all client accounts that this host decides about as owner and that are
// known or were used recently.
func (o *Owners) holdParts(ctx context.Context, now time.Time) {
	known := o.knownAccounts()
	o.mu.Lock()
	maps.DeleteFunc(o.usedAt, func(_ string, at time.Time) bool { return now.Sub(at) > heldUse })
	maps.DeleteFunc(o.holds, func(_ string, h hold) bool { return now.Sub(h.until) > heldUse })
	maps.DeleteFunc(o.heardAt, func(_ string, at time.Time) bool { return now.Sub(at) > heldUse })
	used := slices.Collect(maps.Keys(o.usedAt))
	o.mu.Unlock()
	deputies := map[string]string{} // address by ID
	for _, account := range lo.Union(known, used) {
		if ranked := o.hosts().Chosen(ownerKeyPrefix+account, 2); len(ranked) == 2 && ranked[0].ID == o.self {
			deputies[ranked[1].ID] = ranked[1].InnerAddress
		}
	}
	var calls sync.WaitGroup
	for id, address := range deputies {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, takeTimeout)
			defer cancel()
			sent := time.Now()
			if err := o.client.Call(ctx, address, inner.KindQuotaHold, holdRequest{Owner: o.self}, &holdResponse{}); err == nil {
				o.recordHold(id, sent)
			}
		})
	}
	calls.Wait()
}

// recordHold records that a deputy has answered a hold that was sent at the given time.
func (o *Owners) recordHold(deputy string, sent time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	held, known := o.holds[deputy]
	if !known || sent.After(held.until) {
		held.since = time.Now()
	}
	held.until = sent.Add(holdDuration)
	o.holds[deputy] = held
}

// serveHold handles a holdRequest.
func (o *Owners) serveHold(_ context.Context, req holdRequest) (holdResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heardAt[req.Owner] = time.Now()
	return holdResponse{}, nil
}

// heard returns when the last hold of an owner arrived. One that arrived before this process started may have been lost
// with the process before.
func (o *Owners) heard(owner string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at, known := o.heardAt[owner]; known {
		return at
	}
	return o.startedAt
}

// callFailed starts the backoff of a host that did not respond. It returns true if the host's process has ended: its
// holds have ended too, since a process that is started anew holds nothing.
func (o *Owners) callFailed(host string, err error) (ended bool) {
	o.unreachable.Start(host)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heardAt[host] = time.Now().Add(-standInDelay)
	return true
}

// holdsDeputy reports whether this host, as the owner of a client account, may spend the deputy's part of its limit, and
// since when. It may if there is no deputy.
func (o *Owners) holdsDeputy(account string, now time.Time) (since time.Time, held bool) {
	ranked := o.hosts().Chosen(ownerKeyPrefix+account, 2)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.usedAt[account] = now
	if len(ranked) < 2 {
		return time.Time{}, true
	}
	h := o.holds[ranked[1].ID]
	return h.since, now.Before(h.until)
}

// serveTake handles a takeRequest of another host.
func (o *Owners) serveTake(ctx context.Context, req takeRequest) (takeResponse, error) {
	if req.StandIn {
		return o.standIn(ctx, req), nil
	}
	return o.decide(req), nil
}

// standIn handles a request of a host that does not reach the owner. As long as the owner holds this host's part, the
// request is passed on to it.
func (o *Owners) standIn(ctx context.Context, req takeRequest) takeResponse {
	ranked := o.hosts().Chosen(ownerKeyPrefix+req.Account, 2)
	if len(ranked) < 2 || ranked[1].ID != o.self {
		return o.decide(takeRequest{Account: req.Account, Limit: req.Limit, Cost: req.Cost})
	}
	owner := ranked[0]
	heldUntil := o.heard(owner.ID).Add(standInDelay) // until then, the owner may spend this host's part
	wait := time.Until(heldUntil)
	if wait <= 0 {
		StandIns.Inc(labelStoodIn)
		req.Limit, req.accruesSince = partOf(req.Limit, standInFraction), heldUntil
		return o.decide(asDeputy(req))
	}
	response := takeResponse{WaitMS: wait.Milliseconds()}
	if o.unreachable.Active(owner.ID) {
		StandIns.Inc(labelOwnerHolds)
		return response
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	relayed := takeResponse{}
	direct := takeRequest{Account: req.Account, Limit: req.Limit, Cost: req.Cost}
	if err := o.client.Call(ctx, owner.InnerAddress, inner.KindQuotaTake, direct, &relayed); err != nil {
		if o.callFailed(owner.ID, err) {
			return o.standIn(ctx, req)
		}
		StandIns.Inc(labelOwnerHolds)
		return response
	}
	StandIns.Inc(labelRelayed)
	if relayed.NotOwner {
		req.DeclinedMS = relayed.DeclinedMS
		return o.decide(asDeputy(req))
	}
	return relayed
}

// evenShareSince records whether another host has decided about a client account, and returns the time since which this
// host has used its even share.
func (o *Owners) evenShareSince(account string, decided bool) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if decided {
		delete(o.evenSince, account)
		return time.Time{}
	}
	if _, known := o.evenSince[account]; !known {
		o.evenSince[account] = time.Now()
	}
	return o.evenSince[account]
}

func asDeputy(req takeRequest) takeRequest {
	req.Deputy, req.StandIn = true, false
	return req
}

// partOf returns a part of a limit.
func partOf(limit admission.AccountLimit, fraction float64) admission.AccountLimit {
	return admission.AccountLimit{Rate: limit.Rate * fraction, Burst: limit.Burst * fraction, Slack: limit.Slack * fraction}
}
