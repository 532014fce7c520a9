package workload

import (
	"container/heap"
	"time"
)

// Clock runs events in order of their virtual time.
type Clock struct {
	now    time.Duration
	events eventHeap
	count  uint64
}

type event struct {
	at       time.Duration
	sequence uint64 // keeps events of one time in order
	run      func()
}

// Now returns the virtual time since the start.
func (c *Clock) Now() time.Duration { return c.now }

// Time returns the virtual time as a time.Time.
func (c *Clock) Time() time.Time { return time.Unix(0, int64(c.now)) }

// At runs an event at a time.
func (c *Clock) At(at time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, event{at: max(at, c.now), sequence: c.count, run: run})
}

// After runs an event after a span.
func (c *Clock) After(span time.Duration, run func()) { c.At(c.now+span, run) }

// Run runs the events until the given time or until none is left.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = max(c.now, until)
}

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
