package order

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/kv"
)

const (
	// maxInlineBody is the largest body that a record holds itself, in bytes.
	maxInlineBody = 16 << 10
	// bodyPartSize is the size of the values that hold a larger body, in bytes.
	bodyPartSize = 512 << 10
)

// saveBody stores a body that is too large for a record, and returns the
// outcome that refers to it. It may be repeated.
func saveBody(ctx context.Context, store kv.Store, claim *Claim, outcome *Outcome) (*Outcome, *Error) {
	if outcome == nil || len(outcome.Body) <= maxInlineBody {
		return outcome, nil
	}
	out := &Outcome{Status: outcome.Status, ContentType: outcome.ContentType}
	for rest := outcome.Body; len(rest) > 0; out.Parts++ {
		part := rest[:min(bodyPartSize, len(rest))]
		rest = rest[len(part):]
		result := kv.Swap(ctx, store, kv.Write{Key: bodyKey(claim.Nonce, out.Parts), Value: part}, nil)
		// The key is this claim's alone: a conflict is an earlier try.
		if result.Outcome != kv.OutcomeWon && kv.ReasonOf(result.Cause) != kv.ReasonConflict {
			return nil, &Error{ID: claim.ID, Reason: ReasonUnavailable, Cause: result.Cause}
		}
	}
	return out, nil
}

// loadBody returns the outcome of a record with its body.
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

// deleteBody drops the parts of a record's body, as far as that succeeds.
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
