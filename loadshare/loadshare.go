// Package loadshare exchanges between entry hosts, the hosts that accept client
// requests, how much load each of them sends to each upstream. Each host sends
// a digest of its own load to one host, the aggregator, and receives the sums of
// all other hosts' loads in the answer. Large fleets have several aggregators,
// each for one partition of the upstreams, so that the sums stay fresh and the
// request rate of an aggregator does not grow.
//
// Aggregators are selected by rendezvous hashing. They hold no state that is
// lost when another host replaces them: digests are sent again.
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
	// minInterval is the shortest pause between two digests of a host.
	minInterval = 80 * time.Millisecond
	// intervalPerHost times the number of hosts in the fleet is the pause between two digests of a
	// host. The pause grows with the fleet, so that the request rate of an aggregator does not.
	intervalPerHost = 4 * time.Millisecond
	// maxInterval is the longest pause between two digests of a host. It limits the age of the
	// sums, compared with the 300 ms in which an inference engine reads a long prompt. A digest
	// stays valid for more than two of these pauses.
	maxInterval = 400 * time.Millisecond
	// hostsPerAggregator sets the number of aggregators, the hosts that add up the loads of all
	// hosts: a fleet has one, plus one for every 100 hosts.
	hostsPerAggregator = 100
	// callTimeout bounds one exchange of a digest for the sums of the other hosts' loads.
	callTimeout = 200 * time.Millisecond
	// role is the hash key that selects the host that aggregates the loads.
	role = "loadshare"
	// aggregatorTries is how many hosts an exchange tries in a row until one answers.
	aggregatorTries = 3
)

// Exchanges counts exchanges of load digests with the aggregating host by outcome.
var Exchanges = metrics.New("loadshare_exchanges_total", "Exchanges of load digests, by outcome.")

const (
	labelDone   = "done"
	labelLocal  = "center_here"
	labelFailed = "failed"
	labelStale  = "stale"
)

// Load is the load that one or more hosts cause on an upstream.
type Load struct {
	// Upstream is the Key of the upstream.
	Upstream uint32 `cbor:"1,keyasint"`
	// PendingPromptTokens is the number of prompt tokens that the upstream has not yet processed.
	PendingPromptTokens int64 `cbor:"2,keyasint,omitempty"`
	// InFlight is the number of requests whose answer is not yet complete.
	InFlight int64 `cbor:"3,keyasint,omitempty"`
	// Ended is the number of requests that ended recently at the upstream, in hundredths. The host
	// that counts them lets the number decay.
	Ended int64 `cbor:"4,keyasint,omitempty"`
	// Failed is the number of requests that failed recently at the upstream, in hundredths. It
	// decays like Ended.
	Failed int64 `cbor:"5,keyasint,omitempty"`
}

// UpstreamHash returns a 32-bit hash of an upstream's ID. If two upstreams have the same hash, the
// load of each appears as the sum of both.
func UpstreamHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// digest is the message with which a host sends its loads to the aggregating host.
type digest struct {
	Host  string `cbor:"1,keyasint"`
	Loads []Load `cbor:"2,keyasint,omitempty"`
	// Partition is the index of the partition of the upstreams to which Loads belongs. One host may
	// aggregate the loads of two partitions.
	Partition int `cbor:"3,keyasint,omitempty"`
	// Partitions is the number of partitions into which the upstreams are divided.
	Partitions int `cbor:"4,keyasint,omitempty"`
	// Attached is a request of the Attachment, only in the digest of partition 0.
	Attached []byte `cbor:"5,keyasint,omitempty"`
}

// totals is the aggregating host's answer to a digest: the sums of the other hosts' loads.
type totals struct {
	Others []Load `cbor:"1,keyasint,omitempty"`
	// Attached is the Attachment's answer to the request in the digest.
	Attached []byte `cbor:"2,keyasint,omitempty"`
}

// Attachment exchanges other data than loads with the aggregating host of partition 0, in the same
// messages. Its methods must not block.
type Attachment interface {
	// Request returns the request for an aggregating host.
	Request(host string, now time.Time) []byte
	// Answer returns the answer of this host, as the aggregating host, to a request.
	Answer(request []byte, now time.Time) []byte
	// Receive handles the answer of an aggregating host.
	Receive(host string, answer []byte, now time.Time)
}

// schedule returns how many aggregators (hosts that add up the loads) a fleet of the given number of
// hosts has, and the pause between two digests of a host.
func schedule(hosts int) (aggregators int, interval time.Duration) {
	return 1 + hosts/hostsPerAggregator, min(max(minInterval, time.Duration(hosts)*intervalPerHost), maxInterval)
}

// Sharer exchanges this host's load for the sums of the other hosts' loads. Use New.
type Sharer struct {
	self   string
	client inner.Transport
	hosts  func() *membership.View
	own    func() []Load
	apply  func(others []Load)

	attachment  Attachment // nil if there is none
	aggregators aggregators
	sums        []partitionSums // by partition of the upstreams; accessed by Run only
}

// partitionSums holds the last received sums of the other hosts' loads for one partition of the
// upstreams.
type partitionSums struct {
	others     []Load
	receivedAt time.Time
	// attached is an answer of an Attachment that was not handled yet, from the host attachedBy.
	attached   []byte
	attachedBy string
}

// New returns a sharer for the host self and registers the handler of its message with the server.
// The function own returns this host's loads. The function apply is called with the sums of the
// other hosts' loads, without the upstreams for which they are unknown.
func New(self string, client inner.Transport, server *inner.Server, hosts func() *membership.View,
	own func() []Load, apply func([]Load),
) *Sharer {
	s := &Sharer{self: self, client: client, hosts: hosts, own: own, apply: apply}
	inner.Register(server, inner.KindLoadDigest, func(_ context.Context, d digest) (totals, error) {
		now := time.Now()
		out := totals{Others: s.aggregators.exchange(d, now)}
		if s.attachment != nil && len(d.Attached) > 0 {
			out.Attached = s.attachment.Answer(d.Attached, now)
		}
		return out, nil
	})
	return s
}

// Attach adds an attachment to the exchanges. It must be called before Run and before the server
// serves its first connection.
func (s *Sharer) Attach(a Attachment) { s.attachment = a }

// Run exchanges load digests with the aggregating hosts until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	for {
		view := s.hosts()
		count, interval := schedule(len(view.Members))
		if !wait.For(ctx, interval) {
			return
		}
		s.exchangeAll(ctx, view, count)
	}
}

// exchangeAll exchanges the digests of all partitions of the upstreams and applies the known sums.
func (s *Sharer) exchangeAll(ctx context.Context, view *membership.View, count int) {
	if len(s.sums) != count { // the upstreams are divided into a new number of partitions
		s.sums = make([]partitionSums, count)
	}
	digests := make([]digest, count)
	for _, l := range s.own() {
		d := &digests[int(l.Upstream%uint32(count))]
		d.Loads = append(d.Loads, l)
	}
	var done sync.WaitGroup
	for i := range digests {
		done.Go(func() {
			if sums, ok := s.exchange(ctx, view, i, digests[i].Loads); ok {
				s.sums[i] = sums
			}
		})
	}
	done.Wait()
	if first := &s.sums[0]; len(first.attached) > 0 {
		s.attachment.Receive(first.attachedBy, first.attached, time.Now())
		first.attached = nil
	}
	var others []Load
	for i := range s.sums {
		if time.Since(s.sums[i].receivedAt) > maxDigestAge {
			Exchanges.Inc(labelStale)
			continue
		}
		others = append(others, s.sums[i].others...)
	}
	s.apply(others)
}

// partitionRole returns the hash key that selects the aggregating host of a partition of the upstreams.
func partitionRole(partition int) string {
	if partition == 0 {
		return role
	}
	return role + "/" + strconv.Itoa(partition)
}

// exchange sends the digest of one partition of the upstreams to the host that aggregates it, or to the
// next candidate host if there is no answer. It returns false if none of the hosts answered.
func (s *Sharer) exchange(ctx context.Context, view *membership.View, partition int, loads []Load) (partitionSums, bool) {
	d := digest{Host: s.self, Loads: loads, Partition: partition, Partitions: len(s.sums)}
	for _, m := range view.ChosenByCapacity(partitionRole(partition), aggregatorTries) {
		if m.ID == s.self {
			Exchanges.Inc(labelLocal)
			return partitionSums{others: s.aggregators.exchange(d, time.Now()), receivedAt: time.Now()}, true
		}
		if s.attachment != nil && partition == 0 {
			d.Attached = s.attachment.Request(m.ID, time.Now())
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		var answer totals
		err := s.client.Call(call, m.InnerAddress, inner.KindLoadDigest, d, &answer)
		cancel()
		if err == nil {
			Exchanges.Inc(labelDone)
			return partitionSums{others: answer.Others, receivedAt: time.Now(), attached: answer.Attached, attachedBy: m.ID}, true
		}
		Exchanges.Inc(labelFailed)
	}
	return partitionSums{}, false
}
