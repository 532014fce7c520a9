package upstream

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/metrics"
)

// ReplyFailures counts replies of upstreams that were not read to their end, by reason.
var ReplyFailures = metrics.New("upstream_replies_cut_total", "Replies of upstreams that were cut because of their size, by reason.")

// SizeReason is the reason why a reply was cut. Its values are the labels of ReplyFailures.
type SizeReason string

// The reasons for which a reply is cut.
const (
	// SizeLimit means that the reply exceeds its own limit.
	SizeLimit SizeReason = "too_long"
	// SizeBudget means that all replies together exceed the budget of the process.
	SizeBudget SizeReason = "budget"
)

// SizeError is the cause of a failed call whose reply was cut because of its size.
type SizeError struct{ Reason SizeReason }

// Error implements error.
func (e *SizeError) Error() string { return "the reply was cut: " + string(e.Reason) }

const (
	// replyBudgetBytes bounds the replies that a process holds, in bytes. The smallest hosts have 160 MB, and
	// the garbage collector may let a heap grow to twice its live size.
	replyBudgetBytes = 32 << 20
	// firstReadBytes is the size of a reply up to which it is not charged to the budget, in bytes.
	firstReadBytes = 16 << 10
)

// ReplyBudget bounds the bytes of replies that a process holds at once, whatever its upstreams send. Use
// NewReplyBudget.
type ReplyBudget struct{ free atomic.Int64 }

// NewReplyBudget returns a budget of 32 MiB.
func NewReplyBudget() *ReplyBudget {
	b := &ReplyBudget{}
	b.free.Store(replyBudgetBytes)
	return b
}

// ReadAll reads a reply of at most limit bytes. Its memory is charged to the budget until release is called. If
// err is not nil, release is nil; a reply that is too long, or for which no budget is left, fails with a *SizeError.
func (b *ReplyBudget) ReadAll(r io.Reader, limit int64) (body []byte, release func(), err error) {
	charged := int64(0)
	fail := func(err error) ([]byte, func(), error) {
		b.free.Add(charged)
		var cut *SizeError
		if errors.As(err, &cut) {
			ReplyFailures.Inc(string(cut.Reason))
		}
		return nil, nil, err
	}
	body = make([]byte, 0, firstReadBytes)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return fail(&SizeError{Reason: SizeLimit})
		case errors.Is(err, io.EOF):
			var once sync.Once
			return body, func() { once.Do(func() { b.free.Add(charged) }) }, nil
		case err != nil:
			return fail(err)
		case len(body) < cap(body):
			continue
		}
		grown := 2 * int64(cap(body))
		if b.free.Add(-grown) < 0 { // the old buffer stays charged until the copy is made
			charged += grown
			return fail(&SizeError{Reason: SizeBudget})
		}
		body = append(make([]byte, 0, grown), body...)
		b.free.Add(charged)
		charged = grown
	}
}
