// Package quota enforces the limits of client accounts across all entry hosts.
// Rendezvous hashing selects one entry host as the granter of each client account.
// The other entry hosts request credit, the permission to admit a number of requests,
// from the granter in small amounts over the inner protocol that connects entry hosts.
// No call goes to the key-value service.
//
// Package admission makes the decisions.
package quota

import (
	"context"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// grantTimeout is the timeout of one request for credit.
	grantTimeout = 150 * time.Millisecond
	// maxCreditRequests is the maximum number of requests for credit that one call of
	// Admit waits for.
	maxCreditRequests = 3
	// changeInterval is the time between two checks for changes of the entry hosts.
	changeInterval = 200 * time.Millisecond
	// expireInterval is the time between two removals of unused client accounts.
	expireInterval = 10 * time.Second
	// settleTime is how long the set of entry hosts must be unchanged before a granter
	// grants credit at once on the first request for a client account.
	settleTime = time.Second
	// codeNotGranter is the error code for a request for credit sent to a host that is
	// not the granter of the client account.
	codeNotGranter = "not_granter"
)

// CreditRequests counts requests for credit by outcome.
var CreditRequests = metrics.New("quota_grants_total", "Requests for an account's credit, by outcome.")

// Labels of the metric CreditRequests, one for each outcome.
const (
	labelGranted     = "granted"
	labelNothing     = "nothing_left"
	labelUnreachable = "granter_unreachable"
)

// Members describes the current entry hosts.
type Members interface {
	// Granter returns the granter of a client account: its address for calls between
	// entry hosts, and whether it is this host.
	Granter(account string) (address string, self bool)
	// Count returns the number of entry hosts.
	Count() int
	// ChangedAt returns when the set of entry hosts last changed.
	ChangedAt() time.Time
}

// Quota enforces the limits of client accounts on one entry host. Use New.
type Quota struct {
	members  Members
	client   *inner.Client
	config   *config.Follower
	limiter  *admission.Limiter
	granter  *admission.Granter
	inFlight singleflight.Group
}

// New returns a Quota and registers the handler of its messages with server.
func New(members Members, follower *config.Follower, client *inner.Client, server *inner.Server) *Quota {
	q := &Quota{
		members: members, client: client, config: follower,
		limiter: admission.NewLimiter(), granter: admission.NewGranter(),
	}
	inner.Register(server, inner.KindQuotaGrant, q.serveGrant)
	return q
}

// Run detects changes of the entry hosts and removes unused client accounts until
// ctx ends.
func (q *Quota) Run(ctx context.Context) {
	changes := wait.NewTicker(changeInterval)
	defer changes.Stop()
	expiry := wait.NewTicker(expireInterval)
	defer expiry.Stop()
	for {
		select {
		case <-changes.C:
			q.members.ChangedAt()
		case now := <-expiry.C:
			q.granter.Expire(now)
			q.granter.DropUnowned(func(account string) bool {
				_, self := q.members.Granter(account)
				return self
			})
		case <-ctx.Done():
			return
		}
	}
}

// Admit spends credit for one request of a client account. It requests credit from
// the granter when this host has none left. It returns an error with
// CodeRateLimited when the client account is over its limit.
func (q *Quota) Admit(ctx context.Context, account *config.Account) *apierr.Error {
	limits := limitsOf(account)
	for range maxCreditRequests {
		verdict, wait := q.limiter.Admit(account.Name, limits, time.Now())
		switch verdict {
		case admission.Admitted:
			return nil
		case admission.Limited:
			return apierr.New(apierr.CodeRateLimited, "the client account is over its limit").WithRetryAfter(wait)
		}
		_, _, _ = q.inFlight.Do(account.Name, func() (any, error) {
			q.requestCredit(ctx, account.Name, limits)
			return struct{}{}, nil
		})
	}
	return apierr.New(apierr.CodeRateLimited, "the client account's limit is used up").WithRetryAfter(grantTimeout)
}

// AddTokens counts tokens generated for a client account against its limit.
func (q *Quota) AddTokens(account string, tokens int) { q.limiter.AddTokens(account, tokens) }

func limitsOf(account *config.Account) admission.Limits {
	return admission.Limits{RequestsPerSecond: account.RequestsPerSecond, TokensPerSecond: account.TokensPerSecond}
}

// requestCredit requests credit from the granter of a client account and passes the
// result to the limiter. It does nothing while another request is in flight.
func (q *Quota) requestCredit(ctx context.Context, account string, limits admission.Limits) {
	req, ok := q.limiter.CreditRequest(account, time.Now())
	if !ok {
		return
	}
	// The grant serves all waiting requests of the client account, so the call must not
	// be cancelled with the request that started it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
	defer cancel()
	sent := time.Now()
	grant, err := q.fetchGrant(ctx, req, limits)
	now := time.Now()
	if err != nil {
		CreditRequests.Inc(labelUnreachable)
		q.limiter.UseEqualShare(req, limits, q.members.Count(), now)
		return
	}
	if grant.Requests > 0 {
		CreditRequests.Inc(labelGranted)
	} else {
		CreditRequests.Inc(labelNothing)
	}
	q.limiter.ApplyGrant(account, grant, sent, now)
}

// fetchGrant calls the granter of a client account, which may be this host.
func (q *Quota) fetchGrant(ctx context.Context, req admission.GrantRequest, limits admission.Limits) (admission.Grant, error) {
	address, self := q.members.Granter(req.Account)
	if self {
		return q.granter.Grant(req, limits, q.settled(time.Now()), time.Now()), nil
	}
	var grant admission.Grant
	err := q.client.Call(ctx, address, inner.KindQuotaGrant, req, &grant)
	return grant, err
}

// serveGrant handles a request for credit from another entry host.
func (q *Quota) serveGrant(_ context.Context, req admission.GrantRequest) (admission.Grant, error) {
	snapshot := q.config.Current()
	if snapshot == nil {
		return admission.Grant{}, &inner.Failure{Code: codeNotGranter}
	}
	account, known := snapshot.Accounts[req.Account]
	if _, self := q.members.Granter(req.Account); !known || !self {
		return admission.Grant{}, &inner.Failure{Code: codeNotGranter}
	}
	now := time.Now()
	return q.granter.Grant(req, limitsOf(account), q.settled(now), now), nil
}

// settled reports whether the set of entry hosts has not changed for settleTime.
func (q *Quota) settled(now time.Time) bool { return now.Sub(q.members.ChangedAt()) > settleTime }
