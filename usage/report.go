package usage

import (
	"context"
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
	// Until now, another holder may have reported every window before the current one. A clock ahead of this one by up
	// to settleDelay is allowed for.
	first := windowNumber(r.Now(), r.Window)
	for ctx.Err() == nil {
		due := windowNumber(r.Now().Add(-settleDelay), r.Window)
		for next < due && ctx.Err() == nil {
			err := r.report(ctx, term, next, first)
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
// sends nothing if the counts are empty, and fails with cloud.ReasonUnavailable if the lease
// term does not cover the call. No other holder can have reported the window first or a later one.
func (r *Reporter) report(ctx context.Context, term *lease.Term, window, first int64) error {
	call, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	counts, err := r.settle(call, window, first)
	if err != nil {
		return err
	}
	if len(counts) == 0 {
		return nil
	}
	if !term.Covers(cloud.CallLifetime) {
		return &cloud.Error{Op: "usage", Reason: cloud.ReasonUnavailable}
	}
	if err := r.Sink.Report(call, term.Fence, window, counts); err != nil {
		return err
	}
	Records.Inc(labelReported)
	events.UsageReported.Log(r.Logger, "window", window, "fence", term.Fence, "accounts", len(counts),
		"lease_age_ms", term.Age().Milliseconds(), "lease_left_ms", term.Remaining().Milliseconds())
	return nil
}
