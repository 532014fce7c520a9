package workload

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cardamompier/cardamompier/routing"
)

const (
	unevenPeers     = 304 * time.Millisecond // between two load digests of a host, at 76 hosts
	unevenPeerDelay = 50 * time.Millisecond  // until the sums of a digest's exchange are in force
	unevenSpeed     = 60000.0                // prompt tokens that an upstream of speed 1 reads per second
	unevenAnswer    = 700 * time.Millisecond // from the first event to the end, at speed 1
	unevenService   = 60 * time.Millisecond  // mean time of a plain answer at speed 1
	unevenPlain     = 8                      // slots of an upstream for requests without prompt tokens
	unevenSlots     = 64                     // slots of an upstream for prompts
	unevenPrompts   = 48                     // shared prompts
	unevenCached    = 6                      // shared prompts that an upstream holds
	unevenKnown     = 20 * time.Second       // how long a prompt that was sent counts as held
	slowdownFactor  = 2.5
	slowdownSpan    = 600 * time.Millisecond
	slowdownShare   = 0.15 // of the time
)

// UnevenSetup configures a run of upstreams of different speeds behind many hosts.
type UnevenSetup struct {
	Seed             uint64
	Hosts, Upstreams int
	// Speeds holds the speed of each upstream, 1 being normal; the upstreams use them in turn.
	Speeds []float64
	// Load is the share of the upstreams' capacity that the arrivals use.
	Load float64
	// Plain sends requests without prompt tokens.
	Plain bool
	// Slowdowns makes each upstream slower by slowdownFactor for a part of the time.
	Slowdowns bool
	Duration  time.Duration
	// Measure makes the hosts measure the rates of the upstreams and share the measurements.
	Measure bool
	// Known returns the rate that the hosts assume for an upstream if they do not measure it; nil means 1.
	Known func(upstream int) float64
	// Policy returns the policy for a request at a host.
	Policy func(UnevenChoice) routing.Policy
}

// UnevenChoice is what a host knows of a request and of the pool.
type UnevenChoice struct {
	routing.Prefill
	// Domain is the failure domain of the host.
	Domain string
	// Arrived is the work that the other hosts are expected to have sent since the loads that they report,
	// in tokens or requests.
	Arrived float64
}

// UnevenResult is what a run measured after its warm-up of a quarter of the duration.
type UnevenResult struct {
	// First holds the times from arrival to the first event, or to the whole answer of a plain request.
	First []time.Duration
	// InTime is the share of requests whose first event came in time.
	InTime float64
	// Served is the number of requests by upstream.
	Served []int
	// Rates holds the rates that the first host has measured at the end, by upstream.
	Rates []float64
}

// Merge adds the times of another run; the shares in time are averaged by the numbers of requests.
func (r *UnevenResult) Merge(other *UnevenResult) {
	all := len(r.First) + len(other.First)
	if all == 0 {
		return
	}
	r.InTime = (r.InTime*float64(len(r.First)) + other.InTime*float64(len(other.First))) / float64(all)
	r.First = append(r.First, other.First...)
}

// Mean returns the mean of the times in First.
func (r *UnevenResult) Mean() time.Duration {
	sum := time.Duration(0)
	for _, d := range r.First {
		sum += d
	}
	return sum / time.Duration(max(len(r.First), 1))
}

// Percentile returns the time that p percent of the requests do not exceed.
func (r *UnevenResult) Percentile(p int) time.Duration {
	if len(r.First) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.First))
	return sorted[min(len(sorted)-1, len(sorted)*p/100)]
}

// unevenRun is the state of one run.
type unevenRun struct {
	UnevenSetup
	clock     *Clock
	random    *rand.Rand
	upstreams []*unevenUpstream
	hosts     []*unevenHost
	inTime    int
	result    UnevenResult
	sent      map[unevenSent]time.Duration // when a shared prompt was sent to an upstream last
}

type unevenSent struct{ prompt, upstream int }

// unevenHost is what one host knows of the upstreams.
type unevenHost struct {
	snapshot  *routing.Snapshot
	meters    []*routing.RateMeter
	reference routing.RateReference
	ages      routing.LoadAge
	digest    []unevenLoad // as the other hosts see it
}

type unevenLoad struct {
	waiting, inFlight int64
	rate              routing.RateEvidence
}

// unevenUpstream reads prompts one after the other and runs at most unevenSlots requests at once.
type unevenUpstream struct {
	speed   float64
	slowed  float64 // 1 or slowdownFactor
	queue   []*unevenRequest
	running int
	reading bool
	cache   []int // shared prompts, the most recent one last
}

// unevenRequest is one request at its upstream.
type unevenRequest struct {
	host, upstream int
	prompt         int // the shared prompt; -1 without one
	tokens, shared int
	limit          time.Duration
	arrived        time.Duration
	prefill        int // tokens that the host expects the upstream to read
	sample         routing.RateSample
	sampled        bool
}

// RunUneven runs a setup in virtual time. The same setup gives the same result.
func RunUneven(setup UnevenSetup) *UnevenResult {
	r := &unevenRun{
		UnevenSetup: setup, clock: &Clock{}, random: rand.New(rand.NewPCG(setup.Seed, 1)), sent: map[unevenSent]time.Duration{},
	}
	for i := range setup.Upstreams {
		r.upstreams = append(r.upstreams, &unevenUpstream{speed: setup.Speeds[i%len(setup.Speeds)], slowed: 1})
	}
	for range setup.Hosts {
		r.hosts = append(r.hosts, r.newHost())
	}
	r.result.Served = make([]int, setup.Upstreams)
	for i := range r.hosts {
		r.every(unevenPeers, unevenPeers*time.Duration(i)/time.Duration(setup.Hosts), func() { r.exchange(i) })
	}
	if setup.Slowdowns {
		for _, u := range r.upstreams {
			r.slowDown(u)
		}
	}
	r.arrive()
	r.clock.Run(setup.Duration)
	for _, live := range r.hosts[0].snapshot.Upstreams {
		r.result.Rates = append(r.result.Rates, live.Live.Rate())
	}
	r.result.InTime = float64(r.inTime) / float64(max(len(r.result.First), 1))
	return &r.result
}

func (r *unevenRun) newHost() *unevenHost {
	h := &unevenHost{digest: make([]unevenLoad, r.Upstreams)}
	list := make([]routing.Upstream, r.Upstreams)
	for i := range list {
		list[i] = routing.Upstream{
			ID: "u-" + strconv.Itoa(i), FailureDomain: strconv.Itoa(i % 4), Slots: r.slots(), Live: &routing.UpstreamStats{},
		}
		if r.Known != nil {
			list[i].Live.SetRate(r.Known(i))
		}
		h.meters = append(h.meters, &routing.RateMeter{})
	}
	h.snapshot = routing.NewSnapshot(list, routing.NewLayout(list), 0)
	return h
}

func (r *unevenRun) every(interval, first time.Duration, run func()) {
	var tick func()
	tick = func() {
		run()
		r.clock.After(interval, tick)
	}
	r.clock.At(first, tick)
}

// slowDown slows an upstream down for slowdownSpan at random times.
func (r *unevenRun) slowDown(u *unevenUpstream) {
	pause := slowdownSpan.Seconds() * (1 - slowdownShare) / slowdownShare
	r.clock.After(time.Duration(r.random.ExpFloat64()*pause*float64(time.Second)), func() {
		u.slowed = slowdownFactor
		r.clock.After(slowdownSpan, func() {
			u.slowed = 1
			r.slowDown(u)
		})
	})
}

// exchange publishes the loads of a host and hands it the sums of the others' a little later.
func (r *unevenRun) exchange(host int) {
	h, now := r.hosts[host], r.clock.Time()
	for i := range h.digest {
		live := h.snapshot.Upstreams[i].Live
		h.digest[i] = unevenLoad{waiting: live.Unread(), inFlight: int64(live.InFlight())}
		if e, ok := h.meters[i].Publish(uint32(i*997), now); ok && r.Measure {
			h.digest[i].rate = e
		}
	}
	sums := make([]unevenLoad, r.Upstreams)
	for other, o := range r.hosts {
		if other == host {
			continue
		}
		for i, l := range o.digest {
			sums[i].waiting += l.waiting
			sums[i].inFlight += l.inFlight
			sums[i].rate.Sum += l.rate.Sum
			sums[i].rate.Weight += l.rate.Weight
		}
	}
	r.clock.After(unevenPeerDelay, func() { r.apply(h, sums) })
}

func (r *unevenRun) apply(h *unevenHost, sums []unevenLoad) {
	h.ages.Received(r.clock.Time())
	logs := make([]float64, len(sums))
	for i, l := range sums {
		h.snapshot.Upstreams[i].OthersInFlight = int(l.inFlight) // for the baselines
		h.snapshot.Upstreams[i].Live.SetOthers(l.waiting, l.inFlight, routing.Outcomes{})
		h.meters[i].AddPeers(l.rate, r.clock.Time())
		logs[i], _ = h.meters[i].Log(r.clock.Time())
	}
	if !r.Measure {
		return
	}
	for i, rate := range routing.RelativeRates(logs) {
		h.snapshot.Upstreams[i].Live.SetRate(rate)
	}
}

// arrive sends one request and schedules the next one.
func (r *unevenRun) arrive() {
	q := &unevenRequest{host: r.random.IntN(r.Hosts), prompt: -1, arrived: r.clock.Now(), limit: 2 * unevenService}
	if !r.Plain {
		q.tokens, q.limit = 1460, 500*time.Millisecond
		if r.random.Float64() < 0.4 {
			q.tokens, q.shared, q.limit = 17000, 13300, 800*time.Millisecond
			q.prompt = int(float64(unevenPrompts) * math.Pow(r.random.Float64(), 2))
		}
	}
	r.send(q)
	r.clock.After(time.Duration(r.random.ExpFloat64()*r.gap().Seconds()*float64(time.Second)), r.arrive)
}

// slots returns how many requests an upstream runs at once.
func (r *unevenRun) slots() int {
	if r.Plain {
		return unevenPlain
	}
	return unevenSlots
}

// gap returns the mean time between two arrivals.
func (r *unevenRun) gap() time.Duration {
	capacity := 0.0
	for _, u := range r.upstreams {
		capacity += u.speed
	}
	if r.Plain {
		return time.Duration(float64(unevenService) / (capacity * unevenPlain * r.Load))
	}
	return time.Duration(meanRead / (unevenSpeed * capacity * r.Load) * float64(time.Second))
}

// meanRead is the mean number of tokens that are read for a request: small prompts whole, the others with
// three quarters of their shared part cached.
const meanRead = 0.6*1460 + 0.4*(3700+13300/4)

// demand returns the work that arrives per second, in tokens or requests.
func (r *unevenRun) demand() float64 {
	if r.Plain {
		return 1 / r.gap().Seconds()
	}
	return meanRead / r.gap().Seconds()
}

func (r *unevenRun) send(q *unevenRequest) {
	h, now := r.hosts[q.host], r.clock.Time()
	req := routing.Request{Now: now, Sequence: uint64(q.arrived)}
	policy := routing.Prefill{Tokens: q.tokens, Shared: q.shared}
	if q.prompt >= 0 {
		req.Blocks = []uint64{uint64(q.prompt + 1)}
		policy.Cached = func(id string) bool {
			index, _ := strconv.Atoi(id[2:])
			at, ok := r.sent[unevenSent{q.prompt, index}]
			return ok && r.clock.Now()-at < unevenKnown
		}
	}
	known := UnevenChoice{Prefill: policy, Domain: strconv.Itoa(q.host % 4), Arrived: h.ages.Age(now).Seconds() * r.demand()}
	choice := r.Policy(known).Pick(h.snapshot, &req, r.random.Uint64())
	q.upstream, q.prefill = choice.Index, choice.PrefillTokens
	live := h.snapshot.Upstreams[q.upstream].Live
	inFlight := live.InFlight() + live.OthersInFlight()
	q.sampled = inFlight < r.slots()
	if r.Plain {
		q.sample = routing.PlainSample(1, inFlight, r.slots())
	} else {
		q.sample = routing.PromptSample(q.prefill, live.Backlog(), choice.Reason == routing.ReasonAffinity)
	}
	live.Begin()
	live.BeginPrefill(q.prefill)
	if q.prompt >= 0 {
		r.sent[unevenSent{q.prompt, q.upstream}] = r.clock.Now()
	}
	u := r.upstreams[q.upstream]
	u.queue = append(u.queue, q)
	r.next(u)
}

// next starts what an upstream can start: a prompt while none is read, or a plain request.
func (r *unevenRun) next(u *unevenUpstream) {
	for len(u.queue) > 0 && u.running < r.slots() && (r.Plain || !u.reading) {
		q := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		if r.Plain {
			took := r.random.ExpFloat64()*0.5 + 0.5
			r.clock.After(time.Duration(took*float64(unevenService)*u.slowed/u.speed), func() {
				r.first(q)
				r.end(q)
			})
			continue
		}
		u.reading = true
		read := float64(u.read(q)) * (1 + 0.02*float64(u.running-1))
		r.clock.After(time.Duration(read/unevenSpeed*u.slowed/u.speed*float64(time.Second)), func() {
			u.reading = false
			r.first(q)
			r.clock.After(time.Duration(float64(unevenAnswer)*u.slowed/u.speed), func() { r.end(q) })
			r.next(u)
		})
	}
}

// read returns the tokens that the upstream has to read of a prompt, and caches its shared part.
func (u *unevenUpstream) read(q *unevenRequest) int {
	if q.prompt < 0 {
		return q.tokens
	}
	at := slices.Index(u.cache, q.prompt)
	if at >= 0 {
		u.cache = slices.Delete(u.cache, at, at+1)
	}
	if u.cache = append(u.cache, q.prompt); len(u.cache) > unevenCached {
		u.cache = u.cache[1:]
	}
	if at >= 0 {
		return q.tokens - q.shared
	}
	return q.tokens
}

// first records the first event of an answer, or the whole answer to a plain request.
func (r *unevenRun) first(q *unevenRequest) {
	h, took := r.hosts[q.host], r.clock.Now()-q.arrived
	h.snapshot.Upstreams[q.upstream].Live.EndPrefill(q.prefill)
	if q.sampled {
		if deviation, ok := h.reference.Compare(q.sample.Class, q.sample.LogSpeed(took)); ok {
			h.meters[q.upstream].Add(deviation, q.sample.Weight, r.clock.Time())
		}
	}
	if q.arrived < r.Duration/4 {
		return
	}
	r.result.First = append(r.result.First, took)
	r.result.Served[q.upstream]++
	if took <= q.limit {
		r.inTime++
	}
}

func (r *unevenRun) end(q *unevenRequest) {
	r.hosts[q.host].snapshot.Upstreams[q.upstream].Live.End()
	u := r.upstreams[q.upstream]
	u.running--
	r.next(u)
}
