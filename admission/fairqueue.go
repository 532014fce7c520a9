package admission

import "container/heap"

// FairQueue orders waiting work by weighted fair queueing: each account's
// items finish in virtual time at a pace of its weight, so that an account
// with twice the weight is served twice as often while both wait, and an
// unused share goes to the others.
type FairQueue[T any] struct {
	items fairHeap[T]
	// virtual is the virtual time: the finish time of the last item served.
	virtual float64
	// finish is the virtual finish time of each account's last item.
	finish map[string]float64
	count  map[string]int
	pushed uint64
}

type fairItem[T any] struct {
	value   T
	account string
	finish  float64
	order   uint64
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any]() *FairQueue[T] {
	return &FairQueue[T]{finish: map[string]float64{}, count: map[string]int{}}
}

// Len returns the number of waiting items.
func (q *FairQueue[T]) Len() int { return len(q.items) }

// LenOf returns the number of an account's waiting items.
func (q *FairQueue[T]) LenOf(account string) int { return q.count[account] }

// Push adds work of an account. A weight that is not positive counts as one.
func (q *FairQueue[T]) Push(account string, weight, cost float64, value T) {
	if weight <= 0 {
		weight = 1
	}
	start := max(q.virtual, q.finish[account])
	q.pushed++
	item := &fairItem[T]{value: value, account: account, finish: start + cost/weight, order: q.pushed}
	q.finish[account] = item.finish
	q.count[account]++
	heap.Push(&q.items, item)
}

// Pop removes and returns the next item; false when nothing waits.
func (q *FairQueue[T]) Pop() (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	item, _ := heap.Pop(&q.items).(*fairItem[T])
	q.virtual = item.finish
	if q.count[item.account]--; q.count[item.account] == 0 {
		delete(q.count, item.account)
		delete(q.finish, item.account)
	}
	return item.value, true
}

type fairHeap[T any] []*fairItem[T]

func (h fairHeap[T]) Len() int { return len(h) }

func (h fairHeap[T]) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
	}
	return h[i].order < h[j].order
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
