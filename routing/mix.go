package routing

import "sync/atomic"

// mixWeight is the weight of one request in the smoothed estimate: about the last
// 200 requests count.
const mixWeight = 1.0 / 200

// outputCost is the cost of one generated token, in prompt tokens. An engine
// generates each token of an answer in a separate step, which it shares with
// other answers.
const outputCost = 4

// minShortShare is the lowest share that is reserved for short prompts if there
// are any. It may exceed their share of the tokens because their answers are
// long.
const minShortShare = 0.1

// WorkMix estimates the share of a pool's work that comes from short prompts. The
// zero value is ready to use. Concurrent use is safe: if two writers collide, one
// update is lost, which is harmless.
type WorkMix struct {
	short, long atomic.Uint64 // smoothed tokens per request, in thousandths of a token
}

// Add records a request by three numbers of tokens: its whole prompt, the part of
// the prompt that has to be read, and its answer.
func (m *WorkMix) Add(prompt, unread, output int) {
	short, long := 0.0, float64(unread)+outputCost*float64(output)
	if prompt <= ShortPrompt {
		short, long = long, 0
	}
	addSmoothed(&m.short, short)
	addSmoothed(&m.long, long)
}

func addSmoothed(v *atomic.Uint64, x float64) {
	const thousandths = 1000
	old := float64(v.Load())
	v.Store(uint64(old + mixWeight*(x*thousandths-old)))
}

// ShortShare returns the share of work from short prompts, from 0 to 1. It is
// zero until both short and long prompts were recorded.
func (m *WorkMix) ShortShare() float64 {
	short, long := float64(m.short.Load()), float64(m.long.Load())
	if short == 0 || long == 0 {
		return 0
	}
	return max(short/(short+long), minShortShare)
}
