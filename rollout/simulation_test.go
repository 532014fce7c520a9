package rollout

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// simulation plays one roll-out in virtual time: requests, upstreams with slots and a queue, hosts that apply directives
// with delays, and a coordinator that calls Next every 250 ms.
type simulation struct {
	hosts, upstreams, slots int
	duration                time.Duration
	rate                    func(at time.Duration) float64 // requests a second over all hosts
	fault                   fault
	maxDelay                time.Duration // of directives and reports
	restartsPerS            float64       // of hosts, over all hosts
	lost                    float64       // share of directives that do not arrive
	random                  *rand.Rand

	now       time.Duration
	events    eventQueue
	entry     []*simHost
	old, next []*simUpstream
	record    Record
	heardOf   map[int]HostReport
	outcome   outcome
}

// fault decides for one request at an upstream whether it fails and by which factor it is slow.
type fault func(target bool, route string, at time.Duration, inFlight int, random *rand.Rand) (failed bool, slow float64)

// outcome is what a roll-out did.
type outcome struct {
	phase                   Phase
	reason                  string
	ended                   time.Duration
	requests, atTarget, bad int
	// excess is the largest number of requests at the target beyond the share of all requests, before the promotion.
	excess float64
	// promoted reports a promotion, and evidence is what was known then.
	promoted bool
	evidence Evidence
	// fiftieth is the time of the 50th bad answer, and lastSent that of the last request to the target.
	fiftieth, lastSent time.Duration
}

type simEvent struct {
	at  time.Duration
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{at: s.now + d, run: run})
}

// simHost is one process of an entry host.
type simHost struct {
	process           int
	credit            *Credit
	recorder          *Recorder
	directive         Decision
	at                time.Duration // when the directive arrived
	informed, stopped bool
	atOld, atTarget   int64
}

// simUpstream works on as many requests at once as it has slots and queues the others.
type simUpstream struct {
	target          bool
	inFlight, begun int
	queue           []func()
}

func (s *simulation) delay() time.Duration {
	return time.Duration(s.random.Float64() * float64(s.maxDelay))
}

// run plays the roll-out until 2 s after its end, or for half of its duration beyond its limit.
func (s *simulation) run() outcome {
	s.record = Begin(nil, Order{Pool: "p", Target: "v2", Duration: s.duration, Revision: 1}, []string{"v1"}, testStart)
	s.heardOf = map[int]HostReport{}
	for range s.hosts {
		s.entry = append(s.entry, &simHost{process: len(s.entry), credit: NewCredit(testBounds), recorder: &Recorder{}})
	}
	for range s.upstreams {
		s.old, s.next = append(s.old, &simUpstream{}), append(s.next, &simUpstream{target: true})
	}
	s.after(0, s.arrive)
	s.after(0, s.coordinate)
	if s.restartsPerS > 0 {
		s.after(time.Second, s.restart)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if s.now = e.at; s.now > s.duration*3/2 || s.outcome.ended > 0 && s.now > s.outcome.ended+2*time.Second {
			break
		}
		e.run()
	}
	s.outcome.phase, s.outcome.reason = s.record.Phase, s.record.Reason
	return s.outcome
}

// restart replaces a host's process by a new one. The last report of the former one still counts.
func (s *simulation) restart() {
	i := s.random.IntN(s.hosts)
	if last, known := s.heardOf[s.entry[i].process]; known {
		s.record.Ended.Add(last.Evidence)
		delete(s.heardOf, s.entry[i].process)
	}
	s.entry[i] = &simHost{process: s.entry[i].process + 1_000_000, credit: NewCredit(testBounds), recorder: &Recorder{}}
	s.after(time.Duration(s.random.ExpFloat64()/s.restartsPerS*float64(time.Second)), s.restart)
}

// coordinate decides and calls all hosts.
func (s *simulation) coordinate() {
	situation := Situation{
		Now: testStart.Add(s.now), Bounds: testBounds, LongestTimeout: 4 * time.Second, OldSlots: s.upstreams * s.slots, TargetSlots: s.upstreams * s.slots,
		TargetUpstreams: s.upstreams, Asking: s.now,
	}
	for i, h := range s.entry {
		situation.Listed = append(situation.Listed, strconv.Itoa(i))
		if report, known := s.heardOf[h.process]; known {
			report.ReportedAgo += s.now
			situation.Hosts = append(situation.Hosts, report)
		}
	}
	d := Next(s.record, situation)
	before := s.record.Phase
	s.record = s.record.Apply(d, situation.Now)
	if s.record.Phase == PhasePromoting && before == PhaseCanary {
		s.outcome.promoted, s.outcome.evidence = true, s.record.Evidence(situation.Hosts)
	}
	if s.record.Phase.Final() && s.outcome.ended == 0 {
		s.outcome.ended = s.now
	}
	sent := s.now
	for i, h := range s.entry {
		if s.random.Float64() < s.lost {
			continue
		}
		s.after(s.delay(), func() {
			if s.entry[i] == h {
				s.apply(i, h, d, sent)
			}
		})
	}
	s.after(250*time.Millisecond, s.coordinate)
}

// apply obeys a directive at a host and answers it. ReportedAgo holds the negative time of the directive.
func (s *simulation) apply(i int, h *simHost, d Decision, sent time.Duration) {
	h.informed, h.directive, h.at = true, d, s.now
	evidence := h.recorder.Snapshot()
	h.stopped = h.stopped || d.Phase == PhaseCanary && Judge("v2", []string{"v1"}, evidence).Sure
	report := HostReport{
		Host: strconv.Itoa(i), Process: strconv.Itoa(h.process), Applied: d.Phase, Revision: 1, Evidence: evidence, AtOld: h.atOld, AtTarget: h.atTarget, ReportedAgo: -sent,
	}
	s.after(s.delay(), func() {
		if s.entry[i] == h {
			s.heardOf[h.process] = report
		}
	})
}

// arrive sends one request and schedules the next one.
func (s *simulation) arrive() {
	h := s.entry[s.random.IntN(s.hosts)]
	route := strconv.Itoa(s.random.IntN(3))
	u, recorded := s.choose(h)
	s.outcome.requests++
	if u.target {
		s.outcome.atTarget++
		s.outcome.lastSent = s.now
		if !s.outcome.promoted {
			s.outcome.excess = max(s.outcome.excess, float64(s.outcome.atTarget)-testBounds.Share*float64(s.outcome.requests))
		}
	}
	s.send(h, u, route, recorded)
	s.after(time.Duration(s.random.ExpFloat64()/s.rate(s.now)*float64(time.Second)), s.arrive)
}

// choose returns the upstream for a request, and whether its outcome is evidence.
func (s *simulation) choose(h *simHost) (u *simUpstream, recorded bool) {
	spread := func(all []*simUpstream) *simUpstream {
		a, b := all[s.random.IntN(len(all))], all[s.random.IntN(len(all))]
		if b.inFlight < a.inFlight {
			return b
		}
		return a
	}
	h.credit.Earn()
	d := h.directive
	switch {
	case d.Phase == PhaseCanary && d.Open && !h.stopped && s.now-h.at < 1500*time.Millisecond:
		if s.random.Float64() >= d.Step {
			return spread(s.old), h.credit.Ready()
		}
		if h.credit.Take() {
			return spread(s.next[:canaryCount(s.upstreams, testBounds.Share)]), true
		}
		return spread(s.old), false
	case (d.Phase == PhasePromoting || d.Phase == PhaseComplete) && s.random.Float64() < max(d.Step, map[Phase]float64{PhaseComplete: 1}[d.Phase]):
		return spread(s.next), true
	default:
		return spread(s.old), d.Phase == PhasePromoting
	}
}

// send runs a request at an upstream and records its outcome.
func (s *simulation) send(h *simHost, u *simUpstream, route string, recorded bool) {
	sent := s.now
	u.inFlight++
	if u.target {
		h.atTarget++
	} else {
		h.atOld++
	}
	work := func() {
		failed, slow := s.fault(u.target, route, s.now, u.inFlight, s.random)
		median := map[string]float64{"0": 40, "1": 60, "2": 25}[route]
		service := time.Duration(median * math.Exp(0.5*s.random.NormFloat64()) * slow * float64(time.Millisecond))
		s.after(service, func() {
			u.inFlight--
			u.begun--
			if len(u.queue) > 0 {
				begin := u.queue[0]
				u.queue = u.queue[1:]
				u.begun++
				begin()
			}
			version := "v2"
			if u.target {
				h.atTarget--
			} else {
				version = "v1"
				h.atOld--
			}
			if recorded {
				h.recorder.Record(version, route, failed, s.now-sent)
			}
			if u.target && (failed || slow > 1) {
				if s.outcome.bad++; s.outcome.bad == 50 {
					s.outcome.fiftieth = s.now
				}
			}
		})
	}
	if u.begun < s.slots {
		u.begun++
		work()
		return
	}
	u.queue = append(u.queue, work)
}
