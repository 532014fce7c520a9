package quota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// ownerKeyPrefix starts the rendezvous hashing key that selects the owner of a
	// client account: the host that decides about its limit.
	ownerKeyPrefix = "quota/"
	// takeTimeout is the timeout of one request to an owner, enough for several round
	// trips.
	takeTimeout = 60 * time.Millisecond
	// ownerSettleTime is the time after joining in which a host does not yet decide for
	// the client accounts that it owns. Their previous owners may not have read its
	// registration yet.
	ownerSettleTime = 1500 * time.Millisecond
	// deputyDuration is how long the previous owner of a client account retains the
	// token bucket of its limit. It decides as deputy until the new owner may decide.
	deputyDuration = 2 * ownerSettleTime
	// unreachableFraction is the fraction of its even share that a host uses while the
	// owner is unreachable. It is below 1 because the owner still admits requests up
	// to the whole limit.
	unreachableFraction = 0.5
	// deputyAccrual bounds the time between two decisions of a deputy for which tokens accrue. In a
	// longer pause, the owner may have decided.
	deputyAccrual = 100 * time.Millisecond
)

// TakeRequests counts requests to spend from a client account's limit, by outcome.
var TakeRequests = metrics.New("quota_takes_total", "Requests for a part of an account's limit, by where they were decided and how.")

// Labels of the metric TakeRequests, one for each outcome.
const (
	labelOwnerTaken   = "owner_taken"
	labelOwnerRefused = "owner_refused"
	labelAloneTaken   = "alone_taken"
	labelAloneRefused = "alone_refused"
	labelNotOwner     = "owner_unreachable"
)

// takeRequest is the message that spends Cost of a client account's limit at its
// owner. A negative Cost is a refund.
type takeRequest struct {
	Account string                 `cbor:"1,keyasint"`
	Limit   admission.AccountLimit `cbor:"2,keyasint"`
	Cost    float64                `cbor:"3,keyasint"`
	// Deputy is set when the owner has just joined and the request goes to the
	// previous owner, which must decide in its place.
	Deputy bool `cbor:"4,keyasint,omitempty"`
}

// takeResponse is the response to a takeRequest.
type takeResponse struct {
	// Taken is set when the cost was spent or refunded.
	Taken bool `cbor:"1,keyasint,omitempty"`
	// WaitMS is the time after which a rejected request may be retried, in
	// milliseconds.
	WaitMS int64 `cbor:"2,keyasint,omitempty"`
	// NotOwner is set when the responding host must not decide: another host owns the
	// client account, it has just joined, or its own registration may have expired.
	NotOwner bool `cbor:"3,keyasint,omitempty"`
}

// Owners enforces the limits of client accounts across all hosts. Rendezvous hashing
// selects one host as the owner of each client account, and every request spends
// from the limit at the owner. An owner decides only while its own registration is
// valid and once ownerSettleTime has passed since it joined. Until then the previous
// owner, which is the next host in rendezvous order, decides as its deputy. A host
// that reaches neither uses unreachableFraction of its even share. Use NewOwners.
type Owners struct {
	self   string
	client inner.Transport
	hosts  func() *membership.View
	// hostCount returns the number of hosts that divide a limit evenly while its owner
	// is unreachable.
	hostCount func() int
	// registered reports whether the other hosts still count this host as a member.
	registered func() bool

	// owned holds the limits that this host decides about as owner or deputy.
	// evenShares holds its own share of each limit whose owner is unreachable.
	owned, evenShares admission.Shares

	// unreachable marks hosts that did not respond. They are not called for a while.
	unreachable inner.Backoff

	mu sync.Mutex
	// lostAt maps a client account that this host owned to the time at which
	// another host became its owner.
	lostAt map[string]time.Time
	// joinedAt is when this host last joined the membership, or when it started.
	joinedAt time.Time
	// declinedAt is when this host last declined to decide as owner, because it had just joined or its own
	// registration might have expired.
	declinedAt time.Time
	// lastView is the newest view of the hosts that was looked at, usable are its usable members, and
	// changedAt is when these last changed.
	lastView  *membership.View
	usable    map[string]bool
	changedAt time.Time
}

// NewOwners returns the Owners of the host with the ID self and registers the handler
// of its messages with server.
func NewOwners(self string, client inner.Transport, server *inner.Server, hosts func() *membership.View, hostCount func() int, registered func() bool) *Owners {
	o := &Owners{
		self: self, client: client, hosts: hosts, hostCount: hostCount, registered: registered,
		lostAt: map[string]time.Time{}, joinedAt: time.Now(),
	}
	inner.Register(server, inner.KindQuotaTake, func(_ context.Context, req takeRequest) (takeResponse, error) {
		return o.decide(req), nil
	})
	return o
}

// Run removes client accounts that another host has owned for deputyDuration, until
// ctx ends. What is left of their limits on this host must not be spent, since the
// new owner admits requests up to the whole limits.
func (o *Owners) Run(ctx context.Context) {
	for wait.For(ctx, changeInterval) {
		now := time.Now()
		view := o.hosts()
		o.mu.Lock()
		o.membersChangedAt(now)
		if !slices.ContainsFunc(view.Members, func(m membership.Member) bool { return m.ID == o.self }) {
			o.joinedAt = now
		}
		o.owned.Retain(func(account string) bool {
			if o.owns(account) {
				_, lost := o.lostAt[account]
				delete(o.lostAt, account)
				return !lost // until now, another host has admitted requests against the limit
			}
			if _, known := o.lostAt[account]; !known {
				o.lostAt[account] = now
			}
			return now.Sub(o.lostAt[account]) < deputyDuration
		})
		maps.DeleteFunc(o.lostAt, func(_ string, at time.Time) bool { return now.Sub(at) >= deputyDuration })
		o.mu.Unlock()
	}
}

// owns reports whether this host owns a client account by its own view of the hosts.
// It returns true when the view has no hosts.
func (o *Owners) owns(account string) bool {
	owners := o.hosts().Chosen(ownerKeyPrefix+account, 1)
	return len(owners) == 0 || owners[0].ID == o.self
}

// deputizes reports whether this host owns a client account or is the deputy of its owner, by
// its own view of the hosts. It returns true when the view has no hosts.
func (o *Owners) deputizes(account string) bool {
	owners := o.hosts().Chosen(ownerKeyPrefix+account, 2)
	return len(owners) == 0 || slices.ContainsFunc(owners, func(m membership.Member) bool { return m.ID == o.self })
}

// settled reports whether this host joined at least ownerSettleTime ago.
func (o *Owners) settled() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.joinedAt) >= ownerSettleTime
}

// decide handles a takeRequest for a client account of which this host is the owner
// or deputy.
func (o *Owners) decide(req takeRequest) takeResponse {
	now := time.Now()
	if !o.registered() || !req.Deputy && !o.settled() { // another host may decide
		o.declined(now)
		return takeResponse{NotOwner: true}
	}
	if !req.Deputy && !o.owns(req.Account) {
		return takeResponse{NotOwner: true}
	}
	if req.Deputy && !o.deputizes(req.Account) { // the sender does not know the newest owner yet
		return takeResponse{NotOwner: true}
	}
	if req.Cost < 0 {
		o.owned.Refund(req.Account, -req.Cost)
		return takeResponse{Taken: true}
	}
	wait, ok := o.owned.Take(req.Account, req.Limit, 1, req.Cost, o.decidesSince(req, now), now)
	return takeResponse{Taken: ok, WaitMS: wait.Milliseconds()}
}

// declined records that this host has declined to decide.
func (o *Owners) declined(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.declinedAt = now
}

// decidesSince returns the time since which no other host has decided about the limit of a client account.
// Tokens that accrue before may have been spent at another host.
func (o *Owners) decidesSince(req takeRequest, now time.Time) time.Time {
	owns := o.owns(req.Account)
	o.mu.Lock()
	defer o.mu.Unlock()
	if !owns {
		if _, known := o.lostAt[req.Account]; !known {
			o.lostAt[req.Account] = now
		}
	}
	if req.Deputy {
		return now.Add(-deputyAccrual)
	}
	since := o.joinedAt.Add(ownerSettleTime)
	if o.declinedAt.After(since) {
		since = o.declinedAt
	}
	_, lost := o.lostAt[req.Account]
	if changedAt := o.membersChangedAt(now); changedAt.After(since) && (lost || !o.owned.Has(req.Account)) {
		since = changedAt // the previous owner may have decided until then
	}
	if lost { // this host has decided as deputy, or was the owner before
		o.owned.Remove(req.Account)
		delete(o.lostAt, req.Account)
	}
	return since
}

// membersChangedAt returns when the usable hosts last changed, by this host's view. The hosts of the first view
// count as unchanged since this host joined. o.mu must be held.
func (o *Owners) membersChangedAt(now time.Time) time.Time {
	view := o.hosts()
	if view == o.lastView {
		return o.changedAt
	}
	usable := map[string]bool{}
	for _, m := range view.Usable() {
		usable[m.ID] = true
	}
	switch {
	case o.lastView == nil:
		o.changedAt = o.joinedAt
	case !maps.Equal(usable, o.usable):
		o.changedAt = now
	}
	o.lastView, o.usable = view, usable
	return o.changedAt
}

// Take spends cost of a client account's limit. A limit with a Rate of zero or less
// admits everything. If the limit is used up, ok is false and wait is the time after
// which to retry. by is the ID of the host that decided, or "even_share" when neither
// the owner nor its deputy decided.
func (o *Owners) Take(ctx context.Context, account string, limit admission.AccountLimit, cost float64) (wait time.Duration, by string, ok bool) {
	if limit.Rate <= 0 {
		return 0, "", true
	}
	response, by, ok := o.requestTake(ctx, takeRequest{Account: account, Limit: limit, Cost: cost})
	switch {
	case ok && response.Taken:
		TakeRequests.Inc(labelOwnerTaken)
		return 0, by, true
	case ok:
		TakeRequests.Inc(labelOwnerRefused)
		return time.Duration(response.WaitMS) * time.Millisecond, by, false
	}
	reduced := admission.AccountLimit{Rate: limit.Rate * unreachableFraction, Burst: limit.Burst * unreachableFraction, Slack: limit.Slack * unreachableFraction}
	if wait, ok = o.evenShares.Take(account, reduced, max(o.hostCount(), 1), cost, time.Time{}, time.Now()); ok {
		TakeRequests.Inc(labelAloneTaken)
	} else {
		TakeRequests.Inc(labelAloneRefused)
	}
	return wait, byEvenShare, ok
}

// byEvenShare is returned by Owners.Take in place of a host ID when this host decided
// by its even share.
const byEvenShare = "even_share"

// Refund adds cost back to the client account's limit after a request that spent it
// did not run. It sends the refund in the background and ignores errors.
func (o *Owners) Refund(account string, cost float64) {
	go o.requestTake(context.Background(), takeRequest{Account: account, Cost: -cost})
}

// requestTake sends req to the owner of the client account, and to its deputy if the
// owner has just joined. by is the ID of the last host tried; ok is false when
// neither host decided.
func (o *Owners) requestTake(ctx context.Context, req takeRequest) (response takeResponse, by string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	for i, owner := range o.hosts().Chosen(ownerKeyPrefix+req.Account, 2) {
		req.Deputy, by = i > 0, owner.ID
		if owner.ID == o.self {
			response = o.decide(req)
		} else {
			if o.unreachable.Active(owner.ID) {
				return response, by, false
			}
			response = takeResponse{}
			if err := o.client.Call(ctx, owner.InnerAddress, inner.KindQuotaTake, req, &response); err != nil {
				TakeRequests.Inc(labelNotOwner)
				o.unreachable.Start(owner.ID)
				return response, by, false
			}
		}
		if !response.NotOwner {
			return response, by, true
		}
	}
	return response, by, false
}
