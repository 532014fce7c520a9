// Package routing chooses an upstream for a request. A policy is a function of an
// immutable snapshot, the request and one random number. It does no I/O and reads
// no clock, so it behaves the same in the daemon, in tests and in experiments.
//
// Package dispatch sends and retries requests and measures the upstreams.
package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Upstream is the state of one upstream host that a policy uses.
type Upstream struct {
	ID            string
	FailureDomain string
	// Leaving means that the upstream is about to leave the pool and receives no
	// new work.
	Leaving bool
	// ReclaimLikely means that the cloud provider is likely to reclaim the
	// upstream soon. It receives no long work while other upstreams are
	// available.
	ReclaimLikely bool
	// OthersInFlight is the number of streams that other hosts have at the upstream, from
	// the load digests that the hosts share.
	OthersInFlight int
	// OthersSlow means that another host has marked the upstream as a straggler
	// (unusually slow).
	OthersSlow bool
	// ProbedByOther means that a host with a lower ID has marked the upstream as a
	// straggler too and probes it until it recovers.
	ProbedByOther bool
	// Slots is the number of requests that the upstream processes at once; zero
	// when unknown.
	Slots int
	// Live holds this host's own measurements. It is the only part of a snapshot
	// that changes, by atomic operations.
	Live *UpstreamStats
}

// load returns the number of streams at the upstream, from this host and from the
// reports of others.
func (u *Upstream) load() int { return u.OthersInFlight + u.Live.InFlight() }

// Slow reports whether the upstream is a straggler. This host's own measurements
// override those of other hosts.
func (u *Upstream) Slow(now time.Time) bool {
	if u.Live.Marked(now) {
		return u.ProbedByOther || u.Live.Slow(now)
	}
	return u.OthersSlow
}

// Snapshot is an immutable view of one pool of upstreams. Use NewSnapshot.
type Snapshot struct {
	Upstreams []Upstream
	// Hot holds the prompt blocks that are cached on many upstreams because many
	// requests share them. Such blocks are not used for prefix affinity.
	Hot Hot
	// TypicalGap is the pool's median time between tokens; zero when unknown.
	TypicalGap time.Duration
	// MeanLoad is the mean number of streams at the upstreams that accept new
	// work.
	MeanLoad float64
	layout   *Layout
	// longFirst is the number of upstreams that are reserved for long work. Short
	// work uses them only when its own upstreams are full.
	longFirst int
}

// NewSnapshot returns a snapshot of the upstreams. layout must be made from the
// same upstreams in the same order. longShare is the share of long work in all
// work, from 0 to 1.
func NewSnapshot(upstreams []Upstream, layout *Layout, longShare float64) *Snapshot {
	s := &Snapshot{Upstreams: upstreams, layout: layout, longFirst: longFirstCount(len(upstreams), longShare)}
	usable, total := 0, 0
	var gaps []time.Duration
	for i := range upstreams {
		u := &upstreams[i]
		if u.Leaving {
			continue
		}
		usable++
		total += u.load()
		if gap := u.Live.TokenGap.Mean(); gap > 0 {
			gaps = append(gaps, gap)
		}
	}
	if usable > 0 {
		s.MeanLoad = float64(total) / float64(usable)
	}
	if len(gaps) > 0 {
		slices.Sort(gaps)
		s.TypicalGap = gaps[(len(gaps)-1)/2]
	}
	return s
}

// Request holds the properties of a request that a policy uses.
type Request struct {
	// Blocks holds the digests of the prompt's prefixes, shortest first.
	Blocks []uint64
	// Long means that the request is predicted to run many times longer than
	// most; see History.
	Long bool
	// Tried holds the IDs of upstreams that must not be chosen again.
	Tried []string
	// Closed reports whether an upstream takes no requests now; nil means that none is closed.
	Closed func(id string) bool
	// AvoidDomain is a failure domain that is avoided while another one has room.
	AvoidDomain string
	// Sequence is the number of this request in the order of this host's
	// requests.
	Sequence uint64
	// Now is the time of the choice.
	Now time.Time
}

func (r *Request) tried(id string) bool { return slices.Contains(r.Tried, id) }

// Reason is the reason for the choice of an upstream.
type Reason string

// These constants are the reasons for the choice of an upstream.
const (
	ReasonAffinity Reason = "prefix_affinity"
	ReasonLoad     Reason = "load"
	// ReasonBorrowed means that all upstreams for this kind of work (short or
	// long) are full, so that one for the other kind was chosen.
	ReasonBorrowed Reason = "borrowed"
	// ReasonLastResort means that every remaining upstream is unsuitable, for
	// example a straggler or likely to be reclaimed.
	ReasonLastResort Reason = "last_resort"
	// ReasonNone means that no upstream can be chosen.
	ReasonNone Reason = "none"
)

// Choice is the result of a policy. Index is the position of the upstream in the
// snapshot, or -1 if none can be chosen.
type Choice struct {
	Index  int
	Reason Reason
	// PrefillTokens is the number of prompt tokens that the upstream is expected to
	// read. Only Prefill sets it.
	PrefillTokens int
}

var noChoice = Choice{Index: -1, Reason: ReasonNone}

// Policy chooses an upstream for a request. Implementations are stateless.
type Policy interface {
	Pick(s *Snapshot, r *Request, random uint64) Choice
}

// allowed reports whether the upstream may be chosen at all: it is not leaving
// the pool, it is not closed and the request has not tried it.
func allowed(u *Upstream, r *Request) bool {
	return !u.Leaving && !r.tried(u.ID) && (r.Closed == nil || !r.Closed(u.ID))
}

// nextRandom advances a SplitMix64 state and returns the next random number.
func nextRandom(random *uint64) uint64 {
	*random += 0x9e3779b97f4a7c15
	z := *random
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// randomBelow returns a random number from 0 to n-1.
func randomBelow(random *uint64, n int) int { return int(nextRandom(random) % uint64(n)) }

// BlockSize is the size of a prompt block, in bytes.
const BlockSize = 1024

// Blocks returns a digest for each prefix of the prompt that consists of whole
// blocks, shortest first and at most limit digests. A part shorter than a block
// at the end is ignored.
func Blocks(prompt string, limit int) []uint64 {
	out := make([]uint64, 0, min(limit, len(prompt)/BlockSize))
	digest := xxhash.New()
	for len(prompt) >= BlockSize && len(out) < limit {
		_, _ = digest.WriteString(prompt[:BlockSize])
		out = append(out, digest.Sum64())
		prompt = prompt[BlockSize:]
	}
	return out
}
