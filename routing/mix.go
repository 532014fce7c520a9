package routing

import "sync/atomic"

// mixWeight is the weight of one request in the estimate: about the last 200
// requests count.
const mixWeight = 1.0 / 200

// outputCost is what a token of an answer counts as, in tokens read: it is made
// in a step of its own, together with those of other answers.
const outputCost = 4

// shortFloor is the least share that is kept for short prompts while there are
// any, beyond their tokens: their answers are long.
const shortFloor = 0.1

// Mix estimates which share of the work of a pool comes from short prompts.
// The zero value is ready; concurrent use is safe, a lost update is harmless.
type Mix struct {
	short, long atomic.Uint64 // smoothed tokens a request, in thousandths
}

// Add counts a request's prompt, the tokens of it that have to be read, and the
// tokens of its answer.
func (m *Mix) Add(prompt, unread, output int) {
	short, long := 0.0, float64(unread)+outputCost*float64(output)
	if prompt <= ShortPrompt {
		short, long = long, 0
	}
	moveTo(&m.short, short)
	moveTo(&m.long, long)
}

func moveTo(v *atomic.Uint64, x float64) {
	const thousandths = 1000
	old := float64(v.Load())
	v.Store(uint64(old + mixWeight*(x*thousandths-old)))
}

// ShortShare returns the share of short prompts, 0 to 1.
func (m *Mix) ShortShare() float64 {
	short, long := float64(m.short.Load()), float64(m.long.Load())
	if short == 0 || long == 0 {
		return 0
	}
	return max(short/(short+long), shortFloor)
}
