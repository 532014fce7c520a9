package order

import (
	"context"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/wait"
)

// directPrefix is the prefix of the keys under which PerOrderLedger stores records.
const directPrefix = "order/d/"

// directAttempts limits how often one operation reads and writes a record that
// other hosts change at the same time.
const directAttempts = 4

// PerOrderLedger is a Ledger that stores each order in a separate value. It makes one
// write for the claim and one for the outcome. It deletes no records.
type PerOrderLedger struct {
	store  kv.Store
	writer string
}

var _ Ledger = (*PerOrderLedger)(nil)

// NewPerOrderLedger returns a PerOrderLedger that writes to store and sets Record.Writer
// to writer.
func NewPerOrderLedger(store kv.Store, writer string) *PerOrderLedger {
	return &PerOrderLedger{store: store, writer: writer}
}

// Claim implements Ledger.
func (d *PerOrderLedger) Claim(ctx context.Context, request Request) (*Claim, Record, error) {
	claim := newClaim(request)
	answer, err := d.apply(ctx, claimOperation(claim, time.Now, d.writer), Record{}, 0)
	return resultOfClaim(claim, answer, err)
}

// Finish implements Ledger.
func (d *PerOrderLedger) Finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error {
	op := finishOperation(claim, time.Now, d.writer, state, outcome)
	record, version, err := d.read(ctx, claim.ID)
	if err != nil && err.Reason != ReasonNotFound {
		return err
	}
	answer, err := d.apply(ctx, op, record, version)
	return resultOfFinish(claim.ID, answer, err)
}

// Get implements Ledger.
func (d *PerOrderLedger) Get(ctx context.Context, id ID) (Record, error) {
	record, _, err := d.read(ctx, id)
	if err != nil {
		return Record{}, err
	}
	return record, nil
}

// apply decides on an operation against the existing record, which has the given
// version, and writes the new record if one is needed. It repeats the decision if
// the record has changed in the meantime. Version 0 means that there is no
// record.
func (d *PerOrderLedger) apply(ctx context.Context, op operation, existing Record, version kv.Version) (decision, *Error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for conflicts := 0; conflicts < directAttempts; {
		answer := evaluate(existing, version != 0, op)
		if !answer.needsWrite {
			return answer, nil
		}
		result := d.write(ctx, op.ID, answer.Record, version)
		if result.Outcome == kv.OutcomeApplied {
			return answer, nil
		}
		reason := kv.ReasonOf(result.Cause)
		if reason == kv.ReasonRateLimited && wait.For(ctx, rateLimitPause/2+rand.N(rateLimitPause)) {
			continue
		}
		if reason != kv.ReasonConflict {
			return decision{}, &Error{ID: op.ID, Reason: reasonOfDirect(result, version), Cause: result.Cause}
		}
		conflicts++
		var err *Error
		if existing, version, err = d.read(ctx, op.ID); err != nil {
			return decision{}, err
		}
	}
	return decision{}, &Error{ID: op.ID, Reason: ReasonUnreadable}
}

func (d *PerOrderLedger) read(ctx context.Context, id ID) (Record, kv.Version, *Error) {
	entry, err := d.store.Get(ctx, directKey(id))
	if kv.ReasonOf(err) == kv.ReasonNotFound {
		return Record{}, 0, &Error{ID: id, Reason: ReasonNotFound}
	}
	if err != nil {
		return Record{}, 0, &Error{ID: id, Reason: ReasonUnreadable, Cause: err}
	}
	var record Record
	if err := cbor.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, 0, &Error{ID: id, Reason: ReasonCorrupt, Cause: err}
	}
	return record, entry.Version, nil
}

func (d *PerOrderLedger) write(ctx context.Context, id ID, record Record, expect kv.Version) kv.Result {
	value, err := cbor.Marshal(record)
	if err != nil {
		return kv.Result{Outcome: kv.OutcomeNotApplied, Cause: &kv.Error{Op: "encode", Key: id.Key, Reason: kv.ReasonInvalid, Cause: err}}
	}
	w := kv.Write{Key: directKey(id), Value: value, Expect: expect}
	return kv.Swap(kv.WithPurpose(ctx, kv.PurposeOrder), d.store, w, func(entry kv.Entry) kv.Match {
		var stored Record
		if cbor.Unmarshal(entry.Value, &stored) == nil && stored.Nonce == record.Nonce {
			return kv.MatchOwn
		}
		// Only the claimant of a record replaces it, so a record with another nonce
		// did not follow this write.
		return kv.MatchOther
	})
}

func directKey(id ID) string {
	return directPrefix + url.PathEscape(id.Account) + "/" + url.PathEscape(id.Key)
}

// reasonOfDirect returns the Reason for a failed write. It differs from
// reasonOfStore for a write without a previous read, version 0: earlier claims
// are unknown, so it returns ReasonUnreadable instead of ReasonUnavailable.
func reasonOfDirect(result kv.Result, version kv.Version) Reason {
	reason := reasonOfStore(result)
	if reason == ReasonUnavailable && version == 0 {
		return ReasonUnreadable
	}
	return reason
}

// reasonOfStore returns the Reason for a failed write to the key-value service.
func reasonOfStore(result kv.Result) Reason {
	switch {
	case result.Outcome == kv.OutcomeUnknown:
		return ReasonUnknown
	case kv.ReasonOf(result.Cause) == kv.ReasonTooLarge:
		return ReasonTooLarge
	default:
		return ReasonUnavailable
	}
}
