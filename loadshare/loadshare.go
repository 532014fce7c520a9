// Package loadshare tells entry hosts what the others have sent to each
// upstream. Each host sends a digest of its own load to one of them, the
// center, and gets the sum of the others' in the answer. Large fleets have
// several centers, each for a share of the upstreams, so that the sums stay
// fresh and no center is asked more often.
//
// Centers are found by rendezvous hashing and hold nothing that is missed when
// another takes their place.
package loadshare

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// minInterval and intervalPerHost give the pause between two digests: longer
	// with many hosts, so that the work of a center does not grow with them.
	minInterval     = 80 * time.Millisecond
	intervalPerHost = 4 * time.Millisecond
	// maxInterval keeps sums fresh against the 300 ms in which an engine reads a
	// long prompt; a digest counts for more than two of them.
	maxInterval = 400 * time.Millisecond
	// hostsPerCenter is from how many hosts on there is one more center.
	hostsPerCenter = 100
	// callTimeout bounds one exchange.
	callTimeout = 200 * time.Millisecond
	// role is the key by which the center is chosen.
	role = "loadshare"
	// centerTries is how many hosts are tried in a row.
	centerTries = 3
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
	// Share and Shares say which of how many shares of the upstreams it is for:
	// one host may be the center of two.
	Share  int `cbor:"3,keyasint,omitempty"`
	Shares int `cbor:"4,keyasint,omitempty"`
}

// totals are the center's answer.
type totals struct {
	Others []Load `cbor:"1,keyasint,omitempty"`
}

// cadence returns how many centers a number of hosts has and the pause between
// two digests of a host.
func cadence(hosts int) (centers int, interval time.Duration) {
	return 1 + hosts/hostsPerCenter, min(max(minInterval, time.Duration(hosts)*intervalPerHost), maxInterval)
}

// Sharer exchanges this host's load. Use New.
type Sharer struct {
	self   string
	client inner.Transport
	hosts  func() *membership.View
	own    func() []Load
	apply  func(others []Load)

	centers centers
	parts   []part // by share of the upstreams; used by Run alone
}

// part is what the center of a share said last.
type part struct {
	others []Load
	at     time.Time
}

// New returns a sharer of the host self and registers its message. own returns
// this host's load; apply takes that of the others, without the upstreams for
// which it is unknown.
func New(self string, client inner.Transport, server *inner.Server, hosts func() *membership.View,
	own func() []Load, apply func([]Load),
) *Sharer {
	s := &Sharer{self: self, client: client, hosts: hosts, own: own, apply: apply}
	inner.Register(server, inner.KindLoadDigest, func(_ context.Context, d digest) (totals, error) {
		return totals{Others: s.centers.exchange(d, time.Now())}, nil
	})
	return s
}

// Run exchanges digests until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	for {
		view := s.hosts()
		count, interval := cadence(len(view.Members))
		if !wait.For(ctx, interval) {
			return
		}
		s.round(ctx, view, count)
	}
}

// round exchanges the digests of all shares and applies the sums that are known.
func (s *Sharer) round(ctx context.Context, view *membership.View, count int) {
	if len(s.parts) != count { // upstreams belong to other shares now
		s.parts = make([]part, count)
	}
	digests := make([]digest, count)
	for _, l := range s.own() {
		d := &digests[int(l.Upstream%uint32(count))]
		d.Loads = append(d.Loads, l)
	}
	var done sync.WaitGroup
	for i := range digests {
		done.Go(func() {
			if others, ok := s.exchange(ctx, view, i, digests[i].Loads); ok {
				s.parts[i] = part{others: others, at: time.Now()}
			}
		})
	}
	done.Wait()
	var others []Load
	for i := range s.parts {
		if time.Since(s.parts[i].at) > digestAge {
			Exchanges.Inc(labelStale)
			continue
		}
		others = append(others, s.parts[i].others...)
	}
	s.apply(others)
}

// shareRole returns the key by which the center of a share is chosen.
func shareRole(share int) string {
	if share == 0 {
		return role
	}
	return role + "/" + strconv.Itoa(share)
}

// exchange sends the digest of a share to its center, or to the next host.
func (s *Sharer) exchange(ctx context.Context, view *membership.View, share int, loads []Load) ([]Load, bool) {
	d := digest{Host: s.self, Loads: loads, Share: share, Shares: len(s.parts)}
	for _, m := range view.ChosenStrong(shareRole(share), centerTries) {
		if m.ID == s.self {
			Exchanges.Inc(labelSelf)
			return s.centers.exchange(d, time.Now()), true
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
