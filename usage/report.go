package usage

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// settleDelay is how long after a window's end its counts are added up: two
	// messages of each host.
	settleDelay   = 2*tellInterval + callTimeout
	settledPrefix = "usage/settled/"
	// settledTTL is how long a sum stays: longer than any holder repeats it.
	settledTTL = 2 * time.Minute
	// reportInterval is how often the holder looks for windows that are due.
	reportInterval = time.Second
)

// Reporter reports windows while it holds the duty.
type Reporter struct {
	Store kv.Store
	// Counts are those that this host has collected.
	Counts *Counter
	Sink   cloud.UsageSink
	Window time.Duration
	// Now returns true time.
	Now    func() time.Time
	Logger hclog.Logger
}

// Run reports until ctx ends, which is the end of the term.
func (r *Reporter) Run(ctx context.Context, term *lease.Term) {
	next := number(r.Now().Add(-settleDelay), r.Window) - keptWindows
	for ctx.Err() == nil {
		due := number(r.Now().Add(-settleDelay), r.Window)
		for next < due && ctx.Err() == nil {
			if err := r.report(ctx, term, next); err != nil {
				Records.Inc(labelFailed)
				events.UsageFailed.Log(r.Logger, "step", "report", "window", next, "fence", term.Fence, "error", err)
				break
			}
			next++
		}
		next = max(next, due-keptWindows)
		wait.For(ctx, reportInterval)
	}
}

func (r *Reporter) report(ctx context.Context, term *lease.Term, window int64) error {
	call, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	counts, err := r.settle(call, window)
	if err != nil {
		return err
	}
	if !term.Valid() || len(counts) == 0 {
		return nil
	}
	if err := r.Sink.Report(call, term.Fence, window, counts); err != nil {
		return err
	}
	Records.Inc(labelReported)
	events.UsageReported.Log(r.Logger, "window", window, "fence", term.Fence, "accounts", len(counts))
	return nil
}

// settle returns the counts of a window that every holder reports.
func (r *Reporter) settle(ctx context.Context, window int64) (map[string]int64, error) {
	name := strconv.FormatInt(window, 10)
	if entry, err := r.Store.Get(ctx, settledPrefix+name); err == nil {
		return settled(entry)
	} else if kv.ReasonOf(err) != kv.ReasonNotFound {
		return nil, err
	}
	counts := r.Counts.sum(window)
	if len(counts) == 0 {
		return nil, nil
	}
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, &RecordError{Key: settledPrefix + name, Cause: err}
	}
	leaseID, err := r.Store.Grant(ctx, settledTTL)
	if err != nil {
		return nil, err
	}
	_, err = r.Store.CompareAndSwap(ctx, kv.Write{Key: settledPrefix + name, Value: value, Lease: leaseID})
	if kv.ReasonOf(err) == kv.ReasonConflict {
		entry, err := r.Store.Get(ctx, settledPrefix+name)
		if err != nil {
			return nil, err
		}
		return settled(entry)
	}
	return counts, err
}

func settled(entry kv.Entry) (map[string]int64, error) {
	var counts map[string]int64
	if err := json.Unmarshal(entry.Value, &counts); err != nil {
		return nil, &RecordError{Key: entry.Key, Cause: err}
	}
	return counts, nil
}

// RecordError is a settled sum that cannot be read.
type RecordError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return "usage record " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }
