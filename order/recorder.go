package order

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

// Recorded counts the outcomes of orders by how they were recorded: at once,
// later by a retry, or not at all.
var Recorded = metrics.New("order_outcomes_total", "Outcomes of orders, by how they were recorded.")

// The labels of the counter Recorded.
const (
	recordedAtOnce    = "at_once"
	recordedLater     = "later"
	recordedGivenUp   = "given_up"
	recordedQueueFull = "queue_full"
)

const (
	// finishTimeout is how long a request waits for its outcome to be recorded.
	finishTimeout = 2 * time.Second
	// retryTimeout limits how long recording an outcome is retried in the
	// background.
	retryTimeout   = 10 * time.Minute
	retryPause     = 500 * time.Millisecond
	attemptTimeout = 5 * time.Second
	// maxBackgroundRetries limits the number of outcomes whose recording is
	// retried in the background at the same time.
	maxBackgroundRetries = 4096
)

// Recorder is a Ledger that wraps another Ledger. It continues to record outcomes
// after the deadline of their requests, releases claims that may have been
// recorded without being granted, and stores large response bodies in separate
// values.
type Recorder struct {
	ledger     Ledger
	store      kv.Store
	logger     hclog.Logger
	retrySlots chan struct{}
}

var _ Ledger = (*Recorder)(nil)

// NewRecorder returns a Recorder that wraps ledger and stores large response
// bodies in store.
func NewRecorder(ledger Ledger, store kv.Store, logger hclog.Logger) *Recorder {
	return &Recorder{ledger: ledger, store: store, logger: logger, retrySlots: make(chan struct{}, maxBackgroundRetries)}
}

// Claim implements Ledger.
func (r *Recorder) Claim(ctx context.Context, request Request) (*Claim, Record, error) {
	claim, record, err := r.ledger.Claim(ctx, request)
	var failed *Error
	if errors.As(err, &failed) && failed.Pending != nil {
		r.retryInBackground(ctx, failed.Pending, StateNotRun, nil)
	}
	if err != nil {
		return nil, record, err
	}
	if record.Outcome, err = loadBody(ctx, r.store, record); err != nil {
		return nil, Record{}, &Error{ID: request.ID, Reason: ReasonUnreadable, Cause: err}
	}
	return claim, record, nil
}

// Finish implements Ledger. After an error that may be temporary it retries in
// the background.
func (r *Recorder) Finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error {
	finishCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	err := r.finish(finishCtx, claim, state, outcome)
	if err == nil {
		Recorded.Inc(recordedAtOnce)
		return nil
	}
	if isPermanent(err) {
		r.abandon(claim, err)
		return err
	}
	r.retryInBackground(ctx, claim, state, outcome)
	return err
}

// Get implements Ledger.
func (r *Recorder) Get(ctx context.Context, id ID) (Record, error) {
	record, err := r.ledger.Get(ctx, id)
	if err != nil {
		return Record{}, err
	}
	if record.Outcome, err = loadBody(ctx, r.store, record); err != nil {
		return Record{}, &Error{ID: id, Reason: ReasonUnreadable, Cause: err}
	}
	return record, nil
}

func (r *Recorder) finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error {
	stored, failed := saveBody(ctx, r.store, claim, outcome)
	if failed != nil {
		return failed
	}
	return r.ledger.Finish(ctx, claim, state, stored)
}

// retryInBackground retries recording an outcome in the background. It drops the
// outcome if maxBackgroundRetries outcomes are already being retried.
func (r *Recorder) retryInBackground(ctx context.Context, claim *Claim, state State, outcome *Outcome) {
	select {
	case r.retrySlots <- struct{}{}:
	default:
		Recorded.Inc(recordedQueueFull)
		return
	}
	go func() {
		defer func() { <-r.retrySlots }()
		r.retryFinish(context.WithoutCancel(ctx), claim, state, outcome)
	}()
}

func (r *Recorder) retryFinish(ctx context.Context, claim *Claim, state State, outcome *Outcome) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	var err error
	for wait.For(ctx, retryPause/2+rand.N(retryPause)) {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, attemptTimeout)
		err = r.finish(attemptCtx, claim, state, outcome)
		cancelAttempt()
		if err == nil {
			Recorded.Inc(recordedLater)
			return
		}
		if isPermanent(err) {
			break
		}
	}
	r.abandon(claim, err)
}

func (r *Recorder) abandon(claim *Claim, err error) {
	Recorded.Inc(recordedGivenUp)
	events.OrderRecordGivenUp.Log(r.logger, "account", claim.ID.Account, "key", claim.ID.Key, "error", err)
}

// isPermanent reports whether a retry after err cannot succeed.
func isPermanent(err error) bool {
	var failed *Error
	if !errors.As(err, &failed) {
		return false
	}
	switch failed.Reason {
	case ReasonConflict, ReasonNotFound, ReasonTooLarge, ReasonCorrupt:
		return true
	default:
		return false
	}
}
