package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// paceKeyPrefix starts the rendezvous hashing key that selects the host that paces the requests
	// to a limited upstream.
	paceKeyPrefix = "pace/"
	// paceTimeout bounds one request for a permit, with the second host.
	paceTimeout = 60 * time.Millisecond
	// paceBurst is the permits that may be granted at once, in seconds of the limit, at least one.
	paceBurst = 100 * time.Millisecond
	// standInShare is the share of a limit that the second host grants while the first one does not
	// respond, because the first one may still grant permits to other hosts.
	standInShare = 0.4
	// minPacedRate is the lowest rate at which permits are granted, in requests per second. An
	// upstream that names a lower limit is asked this often whether it still does.
	minPacedRate = 0.2
	// maxPermitWait bounds the time after which a refused host asks again.
	maxPermitWait = 2 * time.Second
	// noPacerWait is the time after which a host asks again that reached no host that decides.
	noPacerWait = 300 * time.Millisecond
	// maxPaced limits the upstreams that one host paces.
	maxPaced = 1024
	// pacedRetention is how long a pace is kept without a request for a permit.
	pacedRetention = time.Minute
)

// Permits counts requests for permits to send to limited upstreams, by outcome.
var Permits = metrics.New("upstream_permits_total", "Requests for a permit to send to an upstream that names a limit, by outcome.")

// Labels of the Permits counter.
const (
	labelPermitGranted  = "granted"
	labelPermitRefused  = "refused"
	labelPermitNoAnswer = "no_pacer"
)

// paceRole is why a host is asked for a permit.
type paceRole uint8

const (
	paceOwner   paceRole = 0 // it is the first host for the upstream
	paceJoining paceRole = 1 // the first host has just joined; this one was the first before
	paceStandIn paceRole = 2 // the first host does not respond
)

// permitRequest is the message that asks for a permit for one request to an upstream.
type permitRequest struct {
	Upstream string   `cbor:"1,keyasint"`
	Rate     float64  `cbor:"2,keyasint"` // limit of the upstream, in requests per second
	Role     paceRole `cbor:"3,keyasint,omitempty"`
}

// permitResponse is the response to a permitRequest.
type permitResponse struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// WaitMS is the time after which the host may ask again, in milliseconds.
	WaitMS int64 `cbor:"2,keyasint,omitempty"`
	// NotOwner is set when the responding host must not decide.
	NotOwner bool `cbor:"3,keyasint,omitempty"`
}

// Pacer spaces the requests that all hosts together send to an upstream with a limit. Rendezvous
// hashing selects the host that grants permits for an upstream. A host that has just joined does not
// grant any: until ownerSettleTime has passed, the next one in rendezvous order, which was the first
// before, decides. If the first host does not respond, the next one grants standInShare of the limit. A
// host that reaches neither gets no permit, unlike the limits of client accounts: a share for each of
// hundreds of hosts would be several times a limit of a few requests per second. Use NewPacer.
type Pacer struct {
	self      string
	client    inner.Transport
	hosts     func() *membership.View
	startedAt time.Time

	unreachable inner.Backoff

	mu    sync.Mutex
	paces map[string]*pace // by upstream
}

// pace is the state of the permits for one upstream.
type pace struct {
	bucket  admission.Bucket
	refused int // since the last permit
	askedAt time.Time
}

// NewPacer returns the Pacer of the host self and registers the handler of its messages with server.
func NewPacer(self string, client inner.Transport, server *inner.Server, hosts func() *membership.View) *Pacer {
	p := &Pacer{self: self, client: client, hosts: hosts, startedAt: time.Now(), paces: map[string]*pace{}}
	inner.Register(server, inner.KindPacePermit, func(_ context.Context, req permitRequest) (permitResponse, error) {
		return p.decide(req, time.Now()), nil
	})
	return p
}

// Run forgets the paces of upstreams for which no host asks any more, until ctx ends.
func (p *Pacer) Run(ctx context.Context) {
	for wait.For(ctx, changeInterval) {
		p.removeUnused(time.Now())
	}
}

func (p *Pacer) removeUnused(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for upstream, paced := range p.paces {
		if now.Sub(paced.askedAt) >= pacedRetention {
			delete(p.paces, upstream)
		}
	}
}

// Permit asks for a permit to send one request to an upstream that takes rate requests per second from
// all hosts together. If it is refused, retryAfter is the time after which to ask again.
func (p *Pacer) Permit(ctx context.Context, upstream string, rate float64) (retryAfter time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, paceTimeout)
	defer cancel()
	req := permitRequest{Upstream: upstream, Rate: rate}
	for _, host := range p.hosts().Chosen(paceKeyPrefix+upstream, 2) {
		response, answered := p.ask(ctx, host, req)
		switch {
		case !answered:
			req.Role = paceStandIn
		case response.NotOwner:
			req.Role = max(req.Role, paceJoining)
		case response.Granted:
			Permits.Inc(labelPermitGranted)
			return 0, true
		default:
			Permits.Inc(labelPermitRefused)
			return time.Duration(response.WaitMS) * time.Millisecond, false
		}
	}
	Permits.Inc(labelPermitNoAnswer)
	return noPacerWait, false
}

// ask sends a request for a permit to one host. It returns false if the host does not respond.
func (p *Pacer) ask(ctx context.Context, host membership.Member, req permitRequest) (permitResponse, bool) {
	if host.ID == p.self {
		return p.decide(req, time.Now()), true
	}
	if p.unreachable.Active(host.ID) {
		return permitResponse{}, false
	}
	call, cancel := context.WithTimeout(ctx, paceTimeout/2)
	defer cancel()
	var response permitResponse
	if err := p.client.Call(call, host.InnerAddress, inner.KindPacePermit, req, &response); err != nil {
		p.unreachable.Start(host.ID)
		return permitResponse{}, false
	}
	return response, true
}

// decide handles a request for a permit.
func (p *Pacer) decide(req permitRequest, now time.Time) permitResponse {
	if !p.mayDecide(req, now) {
		return permitResponse{NotOwner: true}
	}
	rate := max(req.Rate, minPacedRate)
	if req.Role == paceStandIn {
		rate *= standInShare
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	paced := p.paces[req.Upstream]
	if paced == nil {
		if len(p.paces) >= maxPaced {
			return permitResponse{WaitMS: maxPermitWait.Milliseconds()}
		}
		paced = &pace{} // without permits: until now, another host may have granted them
		p.paces[req.Upstream] = paced
	}
	paced.askedAt = now
	paced.bucket.Fill(rate, max(1, rate*paceBurst.Seconds()), now)
	if paced.bucket.TakeWhole(1) == 1 {
		paced.refused = 0
		return permitResponse{Granted: true}
	}
	// The hosts that are refused come back spread over the time in which as many permits accrue.
	permits := paced.bucket.Shortfall(1) + rand.Float64()*float64(paced.refused)
	paced.refused++
	return permitResponse{WaitMS: min(time.Duration(permits/rate*float64(time.Second)), maxPermitWait).Milliseconds()}
}

// mayDecide reports whether this host grants permits in the given role, by its own view of the hosts.
func (p *Pacer) mayDecide(req permitRequest, now time.Time) bool {
	candidates := p.hosts().Chosen(paceKeyPrefix+req.Upstream, 2)
	for position, m := range candidates {
		if m.ID != p.self {
			continue
		}
		settled := now.Sub(p.startedAt) >= ownerSettleTime || len(candidates) == 1
		return settled && (position == 0 || req.Role != paceOwner)
	}
	return false
}
