package order

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/kv"
)

const (
	// maxInlineBody is the size in bytes of the largest response body that is
	// stored inside an order's record.
	maxInlineBody = 16 << 10
	// bodyPartSize is the maximum size in bytes of the values into which a larger
	// response body is split.
	bodyPartSize = 512 << 10
)

// saveBody stores a response body larger than maxInlineBody in separate values
// and returns an outcome that refers to them. It returns other outcomes
// unchanged. The call may be repeated.
func saveBody(ctx context.Context, store kv.Store, claim *Claim, outcome *Outcome) (*Outcome, *Error) {
	if outcome == nil || len(outcome.Body) <= maxInlineBody {
		return outcome, nil
	}
	out := &Outcome{Status: outcome.Status, ContentType: outcome.ContentType}
	for rest := outcome.Body; len(rest) > 0; out.Parts++ {
		part := rest[:min(bodyPartSize, len(rest))]
		rest = rest[len(part):]
		result := kv.Swap(ctx, store, kv.Write{Key: bodyKey(claim.Nonce, out.Parts), Value: part}, nil)
		// Only this claim writes this key, so a conflict means that an earlier
		// attempt stored the part.
		if result.Outcome != kv.OutcomeApplied && kv.ReasonOf(result.Cause) != kv.ReasonConflict {
			return nil, &Error{ID: claim.ID, Reason: ReasonUnavailable, Cause: result.Cause}
		}
	}
	return out, nil
}

// loadBody returns the outcome of a record. It reads the body from the store if
// separate values hold it.
func loadBody(ctx context.Context, store kv.Store, record Record) (*Outcome, error) {
	o := record.Outcome
	if o == nil || o.Parts == 0 {
		return o, nil
	}
	out := &Outcome{Status: o.Status, ContentType: o.ContentType}
	for n := range o.Parts {
		entry, err := store.Get(ctx, bodyKey(record.Nonce, n))
		if err != nil {
			return nil, err
		}
		out.Body = append(out.Body, entry.Value...)
	}
	return out, nil
}

// deleteBody deletes the separate values that hold a record's response body. It
// ignores errors.
func deleteBody(ctx context.Context, store kv.Store, record Record) {
	if record.Outcome == nil {
		return
	}
	for n := range record.Outcome.Parts {
		if entry, err := store.Get(ctx, bodyKey(record.Nonce, n)); err == nil {
			_ = store.Delete(ctx, entry.Key, entry.Version)
		}
	}
}

func bodyKey(nonce uuid.UUID, part int) string { return fmt.Sprintf("order/body/%s/%d", nonce, part) }
