package main

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cardamompier/cardamompier/promptcache"
	"github.com/cardamompier/cardamompier/routing"
)

const (
	// simRate is the reading speed of a simulated upstream, in tokens per millisecond.
	simRate = 64
	// simMemory is the memory of a simulated upstream, in tokens.
	simMemory = 600000
	// simDigestInterval is the interval at which the hosts exchange their loads, and simDigestDelay the
	// time on the way.
	simDigestInterval, simDigestDelay = 250 * time.Millisecond, 100 * time.Millisecond
	// simTokenTime is the time between two tokens of an answer, and simOutput the length of an answer.
	simTokenTime, simOutput = 15 * time.Millisecond, 150
	// simWarmUp is the time at the start from which no request is measured.
	simWarmUp = 20 * time.Second
)

// promptClass is a kind of prompts: the sizes of the shared parts, the number of different parts at each
// place and the size of the part that no other request has.
type promptClass struct {
	name   string
	shared []int
	counts []int
	own    int
}

var promptClasses = []promptClass{
	{"long", []int{13300}, []int{784}, 3720},
	{"middle", []int{2520, 3780}, []int{4, 276}, 2890},
	{"short", []int{210, 140}, []int{10, 894}, 1110},
}

// simPrompt is the prompt of one request.
type simPrompt struct {
	class  int
	chain  promptcache.Chain
	tokens int
}

func (p *simPrompt) shared() int { return p.chain.Tokens() }

// digest is that of all shared parts.
func (p *simPrompt) digest() uint64 { return p.chain[len(p.chain)-1].Digest }

// simUpstream reads the prompts that it is sent one after another.
type simUpstream struct {
	memory *promptMemory
	run    promptcache.Run
	queue  []*queuedPrompt
	busy   bool
}

// queuedPrompt is a prompt that an upstream has not read yet.
type queuedPrompt struct {
	prompt *simPrompt
	// start is called with the number of cached tokens when the upstream starts to read, read when
	// it has read the prompt, and end after the answer.
	start     func(held int)
	read, end func()
}

// simHost is an entry host with its own requests and the delayed loads of the others.
type simHost struct {
	stats    []*routing.UpstreamStats
	snapshot *routing.Snapshot
	mix      routing.WorkMix
	memory   routing.SentPrompts
	tracker  *promptcache.Tracker
	sent     float64 // tokens sent since the last exchange
	// others is the work of the other hosts in the interval before the newest loads, in tokens, and
	// loadsAt the time of these loads.
	others  float64
	loadsAt time.Duration
}

// promptSim is one run of the experiment in virtual time.
type promptSim struct {
	now       time.Duration
	end       time.Duration
	events    simEvents
	random    *rand.Rand
	upstreams []*simUpstream
	hosts     []*simHost
	rate      float64 // requests per second
	skew      float64 // exponent of the Zipf distribution of the parts; 1 or less: all are equally frequent
	policy    promptPolicy
	directory map[uint64][]sentTo // by digest of all shared parts, as package prefixes keeps it
	result    promptResult
}

// promptResult holds the measurements of a run.
type promptResult struct {
	first                    []*hdrhistogram.Histogram // time to the first event in microseconds, by class
	sharedTokens, heldTokens int
	// wrongTokens is the sum of the differences between the tokens that were expected to be held and
	// those that were.
	wrongTokens int
	requests    int
}

// simEvent is a function that runs at a point of virtual time.
type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simEvents struct {
	queue []simEvent
	count int
}

func (q *simEvents) Len() int { return len(q.queue) }
func (q *simEvents) Less(i, j int) bool {
	return q.queue[i].at < q.queue[j].at || q.queue[i].at == q.queue[j].at && q.queue[i].order < q.queue[j].order
}
func (q *simEvents) Swap(i, j int) { q.queue[i], q.queue[j] = q.queue[j], q.queue[i] }
func (q *simEvents) Push(x any)    { q.queue = append(q.queue, x.(simEvent)) }
func (q *simEvents) Pop() any {
	last := q.queue[len(q.queue)-1]
	q.queue = q.queue[:len(q.queue)-1]
	return last
}

func newPromptSim(o *promptFlags, policy promptPolicy, rate float64, seed uint64) *promptSim {
	s := &promptSim{
		random: rand.New(rand.NewPCG(seed, 1)), rate: rate, policy: policy, directory: map[uint64][]sentTo{},
		end: time.Duration(o.seconds) * time.Second, skew: o.skew,
	}
	for i := range o.upstreams {
		s.upstreams = append(s.upstreams, &simUpstream{memory: newPromptMemory(simMemory), run: promptcache.Run{ID: "u" + strconv.Itoa(i)}})
	}
	for range o.hosts {
		h := &simHost{tracker: promptcache.NewTracker(simTime(0))}
		for _, u := range s.upstreams {
			h.stats = append(h.stats, &routing.UpstreamStats{})
			h.tracker.SetCapacity(u.run, simMemory)
		}
		s.hosts = append(s.hosts, h)
	}
	for range promptClasses {
		s.result.first = append(s.result.first, hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3))
	}
	return s
}

// simTime converts virtual time to a time.
func simTime(at time.Duration) time.Time { return time.Unix(1000, 0).Add(at) }

func (s *promptSim) at(t time.Duration, run func()) {
	s.events.count++
	heap.Push(&s.events, simEvent{at: t, order: s.events.count, run: run})
}

func (s *promptSim) play() *promptResult {
	s.exchange()
	s.arrive()
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return &s.result
}

// exchange gives each host the loads of the others.
func (s *promptSim) exchange() {
	total, waiting, inFlight := 0.0, make([]int64, len(s.upstreams)), make([]int64, len(s.upstreams))
	for _, h := range s.hosts {
		total += h.sent
		for i, l := range h.stats {
			waiting[i] += l.Unread()
			inFlight[i] += int64(l.InFlight())
		}
	}
	for _, h := range s.hosts {
		own, unseen := make([][2]int64, len(h.stats)), total-h.sent
		h.sent = 0
		for i, l := range h.stats {
			own[i] = [2]int64{l.Unread(), int64(l.InFlight())}
		}
		taken := s.now
		s.at(s.now+simDigestDelay, func() {
			h.others, h.loadsAt = unseen, taken
			s.apply(h, waiting, inFlight, own, unseen)
		})
	}
	if s.now < s.end {
		s.at(s.now+simDigestInterval, s.exchange)
	}
}

func (s *promptSim) apply(h *simHost, waiting, inFlight []int64, own [][2]int64, unseen float64) {
	upstreams := make([]routing.Upstream, 0, len(s.upstreams))
	runs := make([]promptcache.Run, 0, len(s.upstreams))
	for i, u := range s.upstreams {
		others := inFlight[i] - own[i][1]
		h.stats[i].SetOthers(waiting[i]-own[i][0], others, routing.Outcomes{})
		upstreams = append(upstreams, routing.Upstream{
			ID: u.run.ID, FailureDomain: strconv.Itoa(i % 4), Live: h.stats[i], OthersInFlight: int(others),
		})
		runs = append(runs, u.run)
	}
	h.snapshot = routing.NewSnapshot(upstreams, routing.NewLayout(upstreams), 0)
	h.tracker.AddUnseen(runs, unseen)
}

// arrive sends a request and schedules the next one.
func (s *promptSim) arrive() {
	if s.now >= s.end {
		return
	}
	if host := s.hosts[s.random.IntN(len(s.hosts))]; host.snapshot != nil {
		s.send(host, s.draw())
	}
	s.at(s.now+time.Duration(s.random.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
}

// draw draws a prompt.
func (s *promptSim) draw() *simPrompt {
	class := s.random.IntN(len(promptClasses))
	c := promptClasses[class]
	parts := make([]promptcache.Part, 0, len(c.shared))
	for i, tokens := range c.shared {
		parts = append(parts, promptcache.Part{Digest: uint64(class)<<32 | uint64(i)<<16 | s.drawPart(c.counts[i]), Tokens: tokens})
	}
	p := &simPrompt{class: class, chain: promptcache.NewChain(parts)}
	p.tokens = p.shared() + c.own
	return p
}

// drawPart draws one of count parts.
func (s *promptSim) drawPart(count int) uint64 {
	if s.skew <= 1 {
		return s.random.Uint64N(uint64(count))
	}
	return rand.NewZipf(s.random, s.skew, 1, uint64(count-1)).Uint64()
}

// send lets the policy choose an upstream, which reads the prompt and answers.
func (s *promptSim) send(h *simHost, p *simPrompt) {
	now := simTime(s.now)
	h.mix.Add(p.tokens, p.tokens-int(0.7*float64(p.shared())), simOutput)
	chosen := s.policy.pick(s, h, p)
	u, live, arrived := s.upstreams[chosen.index], h.stats[chosen.index], s.now
	live.Begin()
	live.BeginPrefill(chosen.unread)
	h.sent += float64(chosen.unread)
	reading := h.tracker.Begin(u.run, p.chain, p.tokens-p.shared(), now)
	if owner := s.owner(p); owner != nil {
		s.remember(p.digest(), chosen.index)
		if owner != h {
			owner.tracker.Report(u.run, p.chain, p.tokens-p.shared(), now)
		}
	}
	u.queue = append(u.queue, &queuedPrompt{
		prompt: p,
		start:  func(held int) { s.measure(arrived, p, chosen, held) },
		read: func() {
			live.EndPrefill(chosen.unread)
			reading.Read(simTime(s.now))
			if arrived >= simWarmUp {
				_ = s.result.first[p.class].RecordValue(max(1, int64((s.now-arrived)/time.Microsecond)))
			}
		},
		end: func() {
			live.End()
			reading.End(simOutput, simTime(s.now))
		},
	})
	s.readNext(u)
}

// measure compares what was expected to be cached with what is.
func (s *promptSim) measure(arrived time.Duration, p *simPrompt, chosen chosenUpstream, held int) {
	if arrived < simWarmUp {
		return
	}
	s.result.requests++
	s.result.sharedTokens += p.shared()
	s.result.heldTokens += held
	s.result.wrongTokens += max(chosen.held-held, held-chosen.held)
}

// readNext lets an upstream read its next prompt if it reads none.
func (s *promptSim) readNext(u *simUpstream) {
	if u.busy || len(u.queue) == 0 {
		return
	}
	next := u.queue[0]
	u.queue, u.busy = u.queue[1:], true
	p, held := next.prompt, u.memory.held(next.prompt)
	next.start(held)
	own := p.tokens - p.shared()
	u.memory.run(own)
	s.at(s.now+time.Duration(p.tokens-held)*time.Millisecond/simRate, func() {
		for i := len(p.chain) - 1; i >= 0; i-- {
			u.memory.use(p.chain[i].Digest, p.chain[i].Tokens)
		}
		next.read()
		s.at(s.now+simOutput*simTokenTime, func() {
			u.memory.run(-own)
			s.events.count++
			u.memory.use(1<<63|uint64(s.events.count), own+simOutput) // nobody shares this part
			next.end()
		})
		u.busy = false
		s.readNext(u)
	})
}
