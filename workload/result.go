package workload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(20 * time.Minute / time.Microsecond) // longest recorded time, in microseconds
	histogramDigits = 3                                          // significant decimal digits of a recorded time
)

// Times holds the latencies of short or of long requests, in microseconds.
type Times struct {
	// Wait is the time from arrival until an engine adds the request to its batch,
	// First the time from arrival to the first token, Whole the time from arrival to the
	// last token.
	Wait, First, Whole *hdrhistogram.Histogram
}

func newTimes() Times {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return Times{Wait: newHistogram(), First: newHistogram(), Whole: newHistogram()}
}

// Merge adds the latencies of another run.
func (t Times) Merge(other Times) {
	t.Wait.Merge(other.Wait)
	t.First.Merge(other.First)
	t.Whole.Merge(other.Whole)
}

// Result holds the measurements of one run, for requests that arrive after the
// warm-up. Prompt, Cached and SingleCache include the warm-up.
type Result struct {
	Short, Long Times
	// Requests, Finished and Failed count requests and Attempts counts attempts.
	// Refused counts attempts that a retry budget denied.
	Requests, Attempts, Finished, Failed, Refused int
	// Prompt counts the prompt tokens of first attempts, Cached those of them that were
	// found in an engine's cache.
	Prompt, Cached int
	// Recomputed counts the prompt and answer tokens that later attempts computed again.
	Recomputed int
	// SingleCache is the share of prompt tokens, 0 to 1, that one cache as large as all
	// engine caches together would serve.
	SingleCache float64
}

// NewResult returns a result without measurements.
func NewResult() *Result { return &Result{Short: newTimes(), Long: newTimes()} }

// Merge adds the counts and latencies of another run. SingleCache becomes the sum of both.
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

// HitShare returns the share of prompt tokens, 0 to 1, that were found in a cache.
func (r *Result) HitShare() float64 { return float64(r.Cached) / float64(max(r.Prompt, 1)) }

// measured reports whether the request arrives after the warm-up.
func measured(a *Arrival) bool { return a.At >= warmUp }

// timesOf returns the latencies of the request's kind, short or long.
func (r *Result) timesOf(a *Arrival) Times {
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

// prompt counts the cache hits of a first attempt. It includes the warm-up, as
// SingleCache does, so that both shares are comparable.
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
		record(r.timesOf(a).Wait, wait)
	}
}

func (r *Result) first(a *Arrival, span time.Duration) {
	if measured(a) {
		record(r.timesOf(a).First, span)
	}
}

func (r *Result) finished(a *Arrival, span time.Duration) {
	if measured(a) {
		r.Finished++
		record(r.timesOf(a).Whole, span)
	}
}
