package usage

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// settleDelay is the time from the end of a usage window until its counts are
	// summed: long enough for each host to send its counts twice.
	settleDelay = 2*sendInterval + callTimeout
	// settledPrefix is the key prefix under which the sums of usage windows are stored.
	settledPrefix = "usage/settled/"
	// settledTTL is the time for which the sum of a usage window stays in the store:
	// longer than any reporter repeats the window.
	settledTTL = 2 * time.Minute
	// reportInterval is the time between checks for usage windows that are due.
	reportInterval = time.Second
)

// Reporter reports the counts of each usage window to Sink. It runs on the one host
// that holds the lease for usage reports.
type Reporter struct {
	Store kv.Store
	// Counts holds the usage counts that this host has received from all hosts.
	Counts *Counter
	Sink   cloud.UsageSink
	Window time.Duration
	// Now returns the estimated true time, which ignores later changes to the host's
	// wall clock.
	Now    func() time.Time
	Logger hclog.Logger
}

// Run reports each usage window that is due until ctx ends; ctx must end with the
// lease term. It starts keptWindows windows back, and retries a failed report
// until keptWindows newer windows are due. A window whose stored counts cannot be read
// does not hold up the windows after it.
func (r *Reporter) Run(ctx context.Context, term *lease.Term) {
	next := windowNumber(r.Now().Add(-settleDelay), r.Window) - keptWindows
	for ctx.Err() == nil {
		due := windowNumber(r.Now().Add(-settleDelay), r.Window)
		for next < due && ctx.Err() == nil {
			err := r.report(ctx, term, next)
			if err != nil {
				Records.Inc(labelReportFailed)
				events.UsageFailed.Log(r.Logger, "step", "report", "window", next, "fence", term.Fence, "error", err)
			}
			if err != nil && !isUnreadable(err) {
				break
			}
			next++
		}
		next = max(next, due-keptWindows)
		wait.For(ctx, reportInterval)
	}
}

// isUnreadable reports whether the stored counts of a window cannot be read, now or later.
func isUnreadable(err error) bool {
	var unreadable *kv.RecordError
	return errors.As(err, &unreadable)
}

// report determines the final counts of a window and sends them to the sink. It
// sends nothing if the counts are empty or the lease term has expired.
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
	events.UsageReported.Log(r.Logger, "window", window, "fence", term.Fence, "accounts", len(counts),
		"lease_age_ms", term.Age().Milliseconds(), "lease_left_ms", term.Remaining().Milliseconds())
	return nil
}

// settle returns the final counts of a window. The first lease holder stores the sum;
// a later holder returns the stored counts, so that each repeated report of a window
// is the same.
func (r *Reporter) settle(ctx context.Context, window int64) (map[string]int64, error) {
	name := strconv.FormatInt(window, 10)
	if entry, err := r.Store.Get(ctx, settledPrefix+name); err == nil {
		return decodeSettled(entry)
	} else if kv.ReasonOf(err) != kv.ReasonNotFound {
		return nil, err
	}
	counts := r.Counts.sum(window)
	if len(counts) == 0 {
		return nil, nil
	}
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, &kv.RecordError{Key: settledPrefix + name, Cause: err}
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
		return decodeSettled(entry)
	}
	return counts, err
}

// decodeSettled decodes the stored counts of a window, by client account.
func decodeSettled(entry kv.Entry) (map[string]int64, error) {
	var counts map[string]int64
	if err := json.Unmarshal(entry.Value, &counts); err != nil {
		return nil, &kv.RecordError{Key: entry.Key, Cause: err}
	}
	for account, n := range counts {
		if n < 0 {
			return nil, &kv.RecordError{Key: entry.Key, Cause: negativeCountError(account)}
		}
	}
	return counts, nil
}

// negativeCountError reports a negative count of the client account that it names.
type negativeCountError string

// Error returns the text with the name of the client account.
func (e negativeCountError) Error() string { return "negative count of account " + string(e) }
