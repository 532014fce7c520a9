package workload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(20 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Times are the times of one kind of work, in microseconds.
type Times struct {
	// Wait is from arrival to the first place in an engine's batch, First to
	// the first token and Whole to the last.
	Wait, First, Whole *hdrhistogram.Histogram
}

func newTimes() Times {
	one := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return Times{Wait: one(), First: one(), Whole: one()}
}

// Merge adds the times of another run.
func (t Times) Merge(other Times) {
	t.Wait.Merge(other.Wait)
	t.First.Merge(other.First)
	t.Whole.Merge(other.Whole)
}

// Result is what one run measured, from the end of the warm-up on.
type Result struct {
	Short, Long Times
	// Requests, Attempts, Finished and Failed count; Refused counts attempts
	// that a budget did not allow.
	Requests, Attempts, Finished, Failed, Refused int
	// Prompt and Cached count the prompt tokens of first attempts.
	Prompt, Cached int
	// Recomputed counts the tokens computed again by later attempts.
	Recomputed int
	// SingleCache is the share of hits of one cache of the total size.
	SingleCache float64
}

// NewResult returns an empty result.
func NewResult() *Result { return &Result{Short: newTimes(), Long: newTimes()} }

// Merge adds another run.
func (r *Result) Merge(other *Result) {
	r.Short.Merge(other.Short)
	r.Long.Merge(other.Long)
	r.Requests += other.Requests
	r.Attempts += other.Attempts
	r.Finished += other.Finished
	r.Failed += other.Failed
	r.Refused += other.Refused
	r.Prompt += other.Prompt
	r.Cached += other.Cached
	r.Recomputed += other.Recomputed
	r.SingleCache += other.SingleCache
}

// HitShare is the share of prompt tokens found in a cache.
func (r *Result) HitShare() float64 { return float64(r.Cached) / float64(max(r.Prompt, 1)) }

func measured(a *Arrival) bool { return a.At >= warmUp }

func (r *Result) of(a *Arrival) Times {
	if a.Class.Long {
		return r.Long
	}
	return r.Short
}

func record(h *hdrhistogram.Histogram, span time.Duration) {
	_ = h.RecordValue(min(max(1, span.Microseconds()), histogramMax))
}

func (r *Result) request(a *Arrival) {
	if measured(a) {
		r.Requests++
	}
}

func (r *Result) attempt(a *Arrival) {
	if measured(a) {
		r.Attempts++
	}
}

func (r *Result) refused(a *Arrival) {
	if measured(a) {
		r.Refused++
	}
}

func (r *Result) failed(a *Arrival) {
	if measured(a) {
		r.Failed++
	}
}

// prompt counts the hits of a first attempt. The warm-up counts too, as it
// does for the single cache.
func (r *Result) prompt(a *Arrival, s *Stream) {
	r.Prompt += a.Prompt
	r.Cached += s.Cached
}

func (r *Result) recomputed(a *Arrival, s *Stream) {
	if measured(a) {
		r.Recomputed += s.Computed
	}
}

func (r *Result) started(a *Arrival, wait time.Duration) {
	if measured(a) {
		record(r.of(a).Wait, wait)
	}
}

func (r *Result) first(a *Arrival, span time.Duration) {
	if measured(a) {
		record(r.of(a).First, span)
	}
}

func (r *Result) finished(a *Arrival, span time.Duration) {
	if measured(a) {
		r.Finished++
		record(r.of(a).Whole, span)
	}
}
