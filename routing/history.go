package routing

import (
	"math/bits"
	"sync/atomic"
)

const (
	// promptClasses are powers of two of the prompt's size, in tokens.
	promptClasses = 24
	// BytesPerToken converts the size of a prompt to tokens.
	BytesPerToken = 4
	// longFactor is the multiple of the mean work from which work is long.
	longFactor = 6
	// prefillRatio is the number of prompt tokens that cost as much as one
	// generated token.
	prefillRatio = 16
	// shareDecay is the weight of one request in the share of long work.
	shareDecay = 1.0 / 256
)

// History predicts a service's work from the lengths of earlier answers, by
// the size of the prompt. The zero value is ready. Concurrent use is safe; a
// lost update between two writers is harmless.
type History struct {
	answers   [promptClasses]atomic.Int64 // smoothed answer length, milli-tokens
	first     [promptClasses]Span         // time to first token
	mean      atomic.Int64                // smoothed work of a request, milli-tokens
	longShare atomic.Int64                // share of long work, millionths
}

// Work is the predicted work of a request, in generated tokens.
type Work struct {
	Tokens float64
	Long   bool
}

// Predict returns the predicted work of a request, in tokens. maxTokens bounds
// the answer.
func (h *History) Predict(promptTokens, maxTokens int) Work {
	answer := float64(h.answers[classOf(promptTokens)].Load()) / milli
	if answer == 0 {
		answer = float64(min(maxTokens, promptTokens))
	}
	w := Work{Tokens: min(answer, float64(maxTokens)) + float64(promptTokens)/prefillRatio}
	mean := float64(h.mean.Load()) / milli
	w.Long = mean > 0 && w.Tokens > longFactor*mean
	return w
}

// Arrive counts a request that was accepted with its predicted work.
func (h *History) Arrive(predicted Work) {
	mean := float64(h.mean.Load()) / milli
	h.addShare(predicted.Tokens, max(mean, 1), predicted.Long)
}

// FirstToken returns the times to first token of requests of this size.
func (h *History) FirstToken(promptTokens int) *Span { return &h.first[classOf(promptTokens)] }

// Add adds a finished request.
func (h *History) Add(promptTokens, answerTokens int, predicted Work) {
	class := &h.answers[classOf(promptTokens)]
	class.Store(smooth(class.Load(), float64(answerTokens)*milli, 8))
	work := float64(answerTokens) + float64(promptTokens)/prefillRatio
	mean := float64(h.mean.Load()) / milli
	if mean == 0 || !predicted.Long {
		h.mean.Store(smooth(h.mean.Load(), work*milli, 64))
	}
}

// addShare tracks the ratio of long work to all work.
func (h *History) addShare(work, mean float64, long bool) {
	share := float64(h.longShare.Load()) / million
	weight := min(shareDecay*work/mean, 0.5)
	target := 0.0
	if long {
		target = 1
	}
	h.longShare.Store(int64((share + weight*(target-share)) * million))
}

// LongShare is the share of long work in all work, 0 to 1.
func (h *History) LongShare() float64 { return float64(h.longShare.Load()) / million }

const (
	milli   = 1000
	million = 1000000
)

func classOf(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), promptClasses-1) }

func smooth(old int64, measured, span float64) int64 {
	if old == 0 {
		return int64(measured)
	}
	return int64(float64(old) + (measured-float64(old))/span)
}
