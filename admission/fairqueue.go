package admission

import "container/heap"

// FairQueue orders waiting items of client accounts by weighted fair queueing. A
// client account with twice the weight is served twice as often while both wait, and
// an unused share goes to the others. Each item gets a virtual finish time: the cost
// divided by the weight, added to the finish time of the client account's previous
// item or to the current virtual time, whichever is later. The item with the earliest
// finish time is served first. Use NewFairQueue.
type FairQueue[T any] struct {
	items fairHeap[T]
	// virtualTime is the virtual finish time of the item served last.
	virtualTime float64
	// lastFinish maps a client account to the virtual finish time of its newest item.
	lastFinish map[string]float64
	// waiting maps a client account to the number of its waiting items.
	waiting map[string]int
	// pushed counts the items pushed so far and orders items of equal finish time.
	pushed uint64
}

type fairItem[T any] struct {
	value    T
	account  string
	finish   float64
	sequence uint64
}

// NewFairQueue returns an empty FairQueue.
func NewFairQueue[T any]() *FairQueue[T] {
	return &FairQueue[T]{lastFinish: map[string]float64{}, waiting: map[string]int{}}
}

// Len returns the number of waiting items of all client accounts.
func (q *FairQueue[T]) Len() int { return len(q.items) }

// LenOf returns the number of waiting items of one client account.
func (q *FairQueue[T]) LenOf(account string) int { return q.waiting[account] }

// Push adds an item of a client account. A higher cost delays the item and those that
// follow it; a higher weight advances them. A weight of zero or less counts as 1.
func (q *FairQueue[T]) Push(account string, weight, cost float64, value T) {
	if weight <= 0 {
		weight = 1
	}
	start := max(q.virtualTime, q.lastFinish[account])
	q.pushed++
	item := &fairItem[T]{value: value, account: account, finish: start + cost/weight, sequence: q.pushed}
	q.lastFinish[account] = item.finish
	q.waiting[account]++
	heap.Push(&q.items, item)
}

// Pop removes the item with the earliest virtual finish time and returns its
// value. It returns false when the queue is empty.
func (q *FairQueue[T]) Pop() (T, bool) {
	if len(q.items) == 0 {
		var zero T
		return zero, false
	}
	item, _ := heap.Pop(&q.items).(*fairItem[T])
	q.virtualTime = item.finish
	if q.waiting[item.account]--; q.waiting[item.account] == 0 {
		delete(q.waiting, item.account)
		delete(q.lastFinish, item.account)
	}
	return item.value, true
}

type fairHeap[T any] []*fairItem[T]

func (h fairHeap[T]) Len() int { return len(h) }

func (h fairHeap[T]) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
	}
	return h[i].sequence < h[j].sequence
}

func (h fairHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *fairHeap[T]) Push(x any) {
	item, _ := x.(*fairItem[T])
	*h = append(*h, item)
}

func (h *fairHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
