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
	// token bucket of its limit after its last decision.
	deputyDuration = 2 * ownerSettleTime
	// declinedFraction is the fraction of its even share that a host uses while the owner
	// and the deputy decline to decide. It is below 1 because other hosts may know another
	// owner.
	declinedFraction = 0.5
	// unreachableFraction is the fraction of its even share that a host uses while it
	// reaches neither the owner nor the deputy, which may admit requests up to the whole
	// limit.
	unreachableFraction = 0.1
	// unknownHostsWait is the time after which to retry at a host that does not know the others.
	unknownHostsWait = 300 * time.Millisecond
	// deputyAccrual bounds the time between two decisions of a deputy for which tokens accrue, if it does
	// not know for how long the owner has not decided.
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
	labelHostsUnknown = "hosts_unknown"
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
	// StandIn is set when the sender does not reach the owner and the request goes to
	// the deputy.
	StandIn bool `cbor:"5,keyasint,omitempty"`
	// DeclinedMS is the DeclinedMS of the owner's response, in a request with Deputy set.
	DeclinedMS int64 `cbor:"6,keyasint,omitempty"`
	// accruesSince is the time since which the deputy's part of the limit was not held, in a
	// decision in place of an owner that does not respond.
	accruesSince time.Time
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
	// DeclinedMS is how long the owner has not decided, in milliseconds; 0 if unknown.
	DeclinedMS int64 `cbor:"4,keyasint,omitempty"`
}

// Owners enforces the limits of client accounts across all hosts. Rendezvous hashing
// selects one host as the owner of each client account, and every request spends
// from the limit at the owner. An owner decides only while its own registration is
// valid and once ownerSettleTime has passed since it joined. Until then the previous
// owner, which is the next host in rendezvous order, decides as its deputy.
//
// A host that does not reach the owner asks the deputy, which passes the request on. A
// standInFraction of each limit belongs to the deputy: the owner spends it only while the
// deputy confirms its holds, and the deputy decides about it once holds have ceased.
//
// A host for which neither decides uses a fraction of its even share. Use NewOwners.
type Owners struct {
	self   string
	client inner.Transport
	hosts  func() *membership.View
	// hostCount returns the number of hosts that divide a limit evenly while its owner
	// is unreachable, or 0 while the hosts are not known.
	hostCount func() int
	// registered reports whether the other hosts still count this host as a member.
	registered func() bool

	// owned holds the limits that this host decides about as owner or deputy.
	// evenShares holds its own share of each limit about which no other host decides.
	owned, evenShares admission.Shares

	// accounts returns the names of the client accounts with a limit; nil if they are not known.
	accounts func() []string

	// unreachable marks hosts that did not respond. They are not called for a while.
	unreachable inner.Backoff

	// startedAt is when this process started.
	startedAt time.Time

	mu sync.Mutex
	// usedAt holds the time of the last request for each client account that this host
	// decided about as owner.
	usedAt map[string]time.Time
	// holds are this host's holds as owner, by the ID of the deputy. heardAt is when the last
	// hold of an owner arrived, by its ID.
	holds   map[string]hold
	heardAt map[string]time.Time
	// evenSince is the time since which this host has used its even share of a client
	// account's limit.
	evenSince map[string]time.Time
	// lostAt maps a client account that another host owns to the time at which this
	// host last decided about it as deputy, or ceased to be its owner.
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
		lostAt: map[string]time.Time{}, joinedAt: time.Now(), startedAt: time.Now(), usedAt: map[string]time.Time{},
		holds: map[string]hold{}, heardAt: map[string]time.Time{}, evenSince: map[string]time.Time{},
	}
	inner.Register(server, inner.KindQuotaTake, o.serveTake)
	inner.Register(server, inner.KindQuotaHold, o.serveHold)
	return o
}

// Run renews this host's holds and removes client accounts that another host has owned
// for deputyDuration, until ctx ends. What is left of their limits on this host must not be spent, since the
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
		o.holdParts(ctx, now)
	}
}

// owns reports whether this host owns a client account by its own view of the hosts.
func (o *Owners) owns(account string) bool {
	owners := o.hosts().Chosen(ownerKeyPrefix+account, 1)
	return len(owners) > 0 && owners[0].ID == o.self
}

// deputizes reports whether this host owns a client account or is the deputy of its owner, by
// its own view of the hosts.
func (o *Owners) deputizes(account string) bool {
	owners := o.hosts().Chosen(ownerKeyPrefix+account, 2)
	return slices.ContainsFunc(owners, func(m membership.Member) bool { return m.ID == o.self })
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
		return takeResponse{NotOwner: true, DeclinedMS: o.declined(now).Milliseconds()}
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
	since, limit := o.decidesSince(req, now), req.Limit
	if !req.Deputy {
		heldSince, held := o.holdsDeputy(req.Account, now)
		switch {
		case !held:
			limit = partOf(limit, 1-standInFraction)
		case heldSince.After(since):
			since = heldSince // the deputy may have decided until then
		}
	}
	wait, ok := o.owned.Take(req.Account, limit, 1, req.Cost, since, now)
	return takeResponse{Taken: ok, WaitMS: wait.Milliseconds()}
}

// declined records that this host has declined to decide. It returns for how long it has not decided at least.
func (o *Owners) declined(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.declinedAt = now
	if age := now.Sub(o.startedAt); age < ownerSettleTime {
		return age
	}
	return 0
}

// decidesSince returns the time since which no other host has decided about the limit of a client account.
// Tokens that accrue before may have been spent at another host.
func (o *Owners) decidesSince(req takeRequest, now time.Time) time.Time {
	owns := o.owns(req.Account)
	o.mu.Lock()
	defer o.mu.Unlock()
	if !owns {
		o.lostAt[req.Account] = now
	}
	switch {
	case !req.accruesSince.IsZero():
		// The bucket is removed after deputyDuration without use.
		if bound := now.Add(-deputyDuration); bound.After(req.accruesSince) {
			return bound
		}
		return req.accruesSince
	case req.Deputy:
		return now.Add(-max(deputyAccrual, time.Duration(req.DeclinedMS)*time.Millisecond))
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
	count := o.hostCount()
	if count <= 0 { // any share may be too large
		TakeRequests.Inc(labelHostsUnknown)
		return unknownHostsWait, "", false
	}
	response, by, outcome := o.requestTake(ctx, takeRequest{Account: account, Limit: limit, Cost: cost})
	since := o.evenShareSince(account, outcome == takeDecided)
	switch {
	case outcome == takeDecided && response.Taken:
		TakeRequests.Inc(labelOwnerTaken)
		return 0, by, true
	case outcome == takeDecided:
		TakeRequests.Inc(labelOwnerRefused)
		return time.Duration(response.WaitMS) * time.Millisecond, by, false
	}
	fraction := declinedFraction
	if outcome == takeUnreachable {
		fraction = unreachableFraction
	}
	if wait, ok = o.evenShares.Take(account, partOf(limit, fraction), count, cost, since, time.Now()); ok {
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

// takeOutcome is the outcome of requests to the owner and the deputy of a client account.
type takeOutcome uint8

const (
	takeDecided     takeOutcome = iota
	takeDeclined                // both declined to decide
	takeUnreachable             // at least one did not respond, and neither decided
)

// requestTake sends req to the owner of the client account, and to its deputy if the
// owner has just joined or does not respond. by is the ID of the last host tried.
func (o *Owners) requestTake(ctx context.Context, req takeRequest) (response takeResponse, by string, outcome takeOutcome) {
	outcome = takeDeclined
	for i, host := range o.hosts().Chosen(ownerKeyPrefix+req.Account, 2) {
		req.Deputy, req.StandIn, by = i > 0 && outcome == takeDeclined, outcome == takeUnreachable, host.ID
		var ok bool
		if response, ok = o.ask(ctx, host, req); !ok {
			outcome = takeUnreachable
		} else if !response.NotOwner {
			return response, by, takeDecided
		}
		req.DeclinedMS = response.DeclinedMS
	}
	return response, by, outcome
}

// ask sends req to one host. It returns false if the host does not respond.
func (o *Owners) ask(ctx context.Context, host membership.Member, req takeRequest) (response takeResponse, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	if host.ID == o.self {
		response, _ = o.serveTake(ctx, req)
		return response, true
	}
	if o.unreachable.Active(host.ID) {
		return takeResponse{}, false
	}
	if err := o.client.Call(ctx, host.InnerAddress, inner.KindQuotaTake, req, &response); err != nil {
		TakeRequests.Inc(labelNotOwner)
		o.callFailed(host.ID, err)
		return takeResponse{}, false
	}
	return response, true
}
