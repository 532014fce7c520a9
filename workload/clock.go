package workload

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock that runs scheduled events in order of their time.
type Clock struct {
	now    time.Duration
	events eventHeap
	count  uint64
}

type event struct {
	at       time.Duration
	sequence uint64 // orders events of the same time by insertion
	run      func()
}

// Now returns the virtual time since the start of the run.
func (c *Clock) Now() time.Duration { return c.now }

// Time returns the virtual time as a time.Time; the run starts at the Unix epoch.
func (c *Clock) Time() time.Time { return time.Unix(0, int64(c.now)) }

// At schedules a call of run at a virtual time. A time in the past means now.
func (c *Clock) At(at time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, event{at: max(at, c.now), sequence: c.count, run: run})
}

// After schedules a call of run after a span of virtual time.
func (c *Clock) After(span time.Duration, run func()) { c.At(c.now+span, run) }

// Run runs all events that are due until the given virtual time, then sets the clock to
// that time.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = max(c.now, until)
}

// eventHeap is a heap.Interface with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
