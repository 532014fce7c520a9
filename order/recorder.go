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

// Recorded counts outcomes by how they were recorded.
var Recorded = metrics.New("order_outcomes_total", "Outcomes of orders, by how they were recorded.")

// Labels of Recorded.
const (
	recordedAtOnce  = "at_once"
	recordedLater   = "later"
	recordedGivenUp = "given_up"
	recordedQueued  = "queue_full"
)

const (
	// finishWait is how long a request waits for its outcome to be recorded.
	finishWait = 2 * time.Second
	// finishGiveUp is how long an outcome is tried to be recorded.
	finishGiveUp  = 10 * time.Minute
	finishPause   = 500 * time.Millisecond
	finishAttempt = 5 * time.Second
	// maxUnfinished bounds the outcomes that are being tried again.
	maxUnfinished = 4096
)

// Recorder is a Ledger that records outcomes past the deadline of their
// requests, releases claims that may have been recorded without being granted,
// and keeps large answers in values of their own.
type Recorder struct {
	ledger Ledger
	store  kv.Store
	logger hclog.Logger
	slots  chan struct{}
}

var _ Ledger = (*Recorder)(nil)

// NewRecorder returns a recorder over ledger; store holds the large answers.
func NewRecorder(ledger Ledger, store kv.Store, logger hclog.Logger) *Recorder {
	return &Recorder{ledger: ledger, store: store, logger: logger, slots: make(chan struct{}, maxUnfinished)}
}

// Claim implements Ledger.
func (r *Recorder) Claim(ctx context.Context, request Request) (*Claim, Record, error) {
	claim, record, err := r.ledger.Claim(ctx, request)
	var failed *Error
	if errors.As(err, &failed) && failed.Pending != nil {
		r.finishLater(ctx, failed.Pending, StateNotRun, nil)
	}
	if err != nil {
		return nil, record, err
	}
	if record.Outcome, err = loadBody(ctx, r.store, record); err != nil {
		return nil, Record{}, &Error{ID: request.ID, Reason: ReasonUnreadable, Cause: err}
	}
	return claim, record, nil
}

// Finish implements Ledger. After an error it goes on trying.
func (r *Recorder) Finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error {
	within, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishWait)
	defer cancel()
	err := r.finish(within, claim, state, outcome)
	if err == nil {
		Recorded.Inc(recordedAtOnce)
		return nil
	}
	if isFinal(err) {
		r.giveUp(claim, err)
		return err
	}
	r.finishLater(ctx, claim, state, outcome)
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
	kept, failed := saveBody(ctx, r.store, claim, outcome)
	if failed != nil {
		return failed
	}
	return r.ledger.Finish(ctx, claim, state, kept)
}

// finishLater goes on trying to record an outcome in the background.
func (r *Recorder) finishLater(ctx context.Context, claim *Claim, state State, outcome *Outcome) {
	select {
	case r.slots <- struct{}{}:
	default:
		Recorded.Inc(recordedQueued)
		return
	}
	go func() {
		defer func() { <-r.slots }()
		r.keepTrying(context.WithoutCancel(ctx), claim, state, outcome)
	}()
}

func (r *Recorder) keepTrying(ctx context.Context, claim *Claim, state State, outcome *Outcome) {
	ctx, cancel := context.WithTimeout(ctx, finishGiveUp)
	defer cancel()
	var err error
	for wait.For(ctx, finishPause/2+rand.N(finishPause)) {
		attempt, cancelAttempt := context.WithTimeout(ctx, finishAttempt)
		err = r.finish(attempt, claim, state, outcome)
		cancelAttempt()
		if err == nil {
			Recorded.Inc(recordedLater)
			return
		}
		if isFinal(err) {
			break
		}
	}
	r.giveUp(claim, err)
}

func (r *Recorder) giveUp(claim *Claim, err error) {
	Recorded.Inc(recordedGivenUp)
	events.OrderRecordGivenUp.Log(r.logger, "account", claim.ID.Account, "key", claim.ID.Key, "error", err)
}

// isFinal says that a repeat cannot succeed.
func isFinal(err error) bool {
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
