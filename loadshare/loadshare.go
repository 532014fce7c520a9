// Package loadshare tells entry hosts what the others have sent to each
// upstream. Each host sends a digest of its own load to one of them, the
// center, and gets the sum of the others' in the answer: a message a host and
// interval, however many hosts there are.
//
// The center is found by rendezvous hashing and holds nothing that is missed
// when another takes its place.
package loadshare

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// minInterval and intervalPerHost give the pause between two digests: short
	// against the 300 ms in which an engine reads a long prompt, and longer with
	// many hosts, so that the center's work does not grow with them.
	minInterval     = 80 * time.Millisecond
	intervalPerHost = 4 * time.Millisecond
	// callTimeout bounds one exchange.
	callTimeout = 200 * time.Millisecond
	// role is the key by which the center is chosen.
	role = "loadshare"
	// centers is how many hosts are tried in a row.
	centers = 3
)

// Exchanges counts exchanges with the center by outcome.
var Exchanges = metrics.New("loadshare_exchanges_total", "Exchanges of load digests, by outcome.")

const (
	labelDone   = "done"
	labelSelf   = "center_here"
	labelFailed = "failed"
	labelStale  = "stale"
)

// Load is what one or more hosts have sent to an upstream.
type Load struct {
	// Upstream is the Key of the upstream.
	Upstream uint32 `cbor:"1,keyasint"`
	// Unread are prompt tokens that the upstream has not yet read.
	Unread int64 `cbor:"2,keyasint,omitempty"`
	// InFlight are requests without a whole answer.
	InFlight int64 `cbor:"3,keyasint,omitempty"`
	// Ended and Failed are requests that ended there lately, in hundredths: both
	// decay at the host that counts them.
	Ended  int64 `cbor:"4,keyasint,omitempty"`
	Failed int64 `cbor:"5,keyasint,omitempty"`
}

// Key returns the short name of an upstream. Two upstreams may share one; then
// each seems as loaded as both.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// digest is a host's message to the center.
type digest struct {
	Host  string `cbor:"1,keyasint"`
	Loads []Load `cbor:"2,keyasint,omitempty"`
}

// totals are the center's answer.
type totals struct {
	Others []Load `cbor:"1,keyasint,omitempty"`
}

// Sharer exchanges this host's load. Use New.
type Sharer struct {
	self   string
	client *inner.Client
	hosts  func() *membership.View
	own    func() []Load
	apply  func(others []Load)
	center center
}

// New returns a sharer of the host self and registers its message. own returns
// this host's load; apply takes that of the others, nil where it is unknown.
func New(self string, client *inner.Client, server *inner.Server, hosts func() *membership.View,
	own func() []Load, apply func([]Load),
) *Sharer {
	s := &Sharer{self: self, client: client, hosts: hosts, own: own, apply: apply}
	inner.Register(server, inner.KindLoadDigest, func(_ context.Context, d digest) (totals, error) {
		return totals{Others: s.center.exchange(d.Host, d.Loads, time.Now())}, nil
	})
	return s
}

// Run exchanges digests until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	var last time.Time
	for {
		view := s.hosts()
		if !wait.For(ctx, max(minInterval, time.Duration(len(view.Members))*intervalPerHost)) {
			return
		}
		others, ok := s.exchange(ctx, view)
		now := time.Now()
		switch {
		case ok:
			s.apply(others)
			last = now
		case now.Sub(last) > digestAge:
			Exchanges.Inc(labelStale)
			s.apply(nil)
		}
	}
}

func (s *Sharer) exchange(ctx context.Context, view *membership.View) ([]Load, bool) {
	d := digest{Host: s.self, Loads: s.own()}
	for _, m := range view.Chosen(role, centers) {
		if m.ID == s.self {
			Exchanges.Inc(labelSelf)
			return s.center.exchange(s.self, d.Loads, time.Now()), true
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		var answer totals
		err := s.client.Call(call, m.InnerAddress, inner.KindLoadDigest, d, &answer)
		cancel()
		if err == nil {
			Exchanges.Inc(labelDone)
			return answer.Others, true
		}
		Exchanges.Inc(labelFailed)
	}
	return nil, false
}
