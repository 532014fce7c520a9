package routing

import (
	"math/bits"
	"sync/atomic"
)

const (
	// promptClasses is the number of size classes of prompts. The class
	// boundaries are powers of two, in tokens.
	promptClasses = 24
	// BytesPerToken is the assumed size of a prompt token, in bytes.
	BytesPerToken = 4
	// longFactor is the multiple of the mean work of a request above which a
	// request counts as long.
	longFactor = 6
	// prefillRatio is the number of prompt tokens that cost as much as one
	// generated token.
	prefillRatio = 16
	// shareDecay is the weight of a request of mean work in the smoothed share of
	// long work.
	shareDecay = 1.0 / 256
)

// History predicts the work of a service's requests from the lengths of earlier
// answers to prompts of similar size. The zero value is ready to use. Concurrent
// use is safe: if two writers collide, one update is lost, which is harmless.
type History struct {
	answers   [promptClasses]atomic.Int64     // smoothed answer length by prompt size class, in thousandths of a token
	first     [promptClasses]DurationEstimate // time to first token by prompt size class
	mean      atomic.Int64                    // smoothed work of a request, in thousandths of a token
	longShare atomic.Int64                    // share of long work in all work, in millionths
}

// Work is the predicted work of a request. Tokens is its cost in generated
// tokens; Long is set if the cost exceeds longFactor times the mean.
type Work struct {
	Tokens float64
	Long   bool
}

// Predict returns the predicted work of a request whose answer has at most
// maxTokens tokens. Before the first answer to a prompt of this size class, it
// assumes an answer as long as the prompt.
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

// Arrive adds the predicted work of an accepted request to the share of long
// work.
func (h *History) Arrive(predicted Work) {
	mean := float64(h.mean.Load()) / milli
	h.addToLongShare(predicted.Tokens, max(mean, 1), predicted.Long)
}

// FirstToken returns the estimated time to first token for prompts of this size
// class.
func (h *History) FirstToken(promptTokens int) *DurationEstimate {
	return &h.first[classOf(promptTokens)]
}

// Add records the answer length of a finished request. It also updates the mean
// work, except for a request that was predicted to be long.
func (h *History) Add(promptTokens, answerTokens int, predicted Work) {
	class := &h.answers[classOf(promptTokens)]
	class.Store(smooth(class.Load(), float64(answerTokens)*milli, 8))
	work := float64(answerTokens) + float64(promptTokens)/prefillRatio
	mean := float64(h.mean.Load()) / milli
	if mean == 0 || !predicted.Long {
		h.mean.Store(smooth(h.mean.Load(), work*milli, 64))
	}
}

// addToLongShare updates the smoothed share of long work in all work.
func (h *History) addToLongShare(work, mean float64, long bool) {
	share := float64(h.longShare.Load()) / million
	weight := min(shareDecay*work/mean, 0.5)
	target := 0.0
	if long {
		target = 1
	}
	h.longShare.Store(int64((share + weight*(target-share)) * million))
}

// LongShare returns the share of long work in all work, from 0 to 1.
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
