package order

import "github.com/google/uuid"

// operation is a claim or an outcome that is to be recorded.
type operation struct {
	ID ID `cbor:"1,keyasint"`
	// Record is the record that the operation writes. Its state is StateClaimed
	// for a claim.
	Record Record `cbor:"2,keyasint"`
}

// decision is the result of checking an operation against the existing record of
// its order.
type decision struct {
	Granted bool   `cbor:"1,keyasint"`
	Record  Record `cbor:"2,keyasint"`
	// Failure is the reason for refusing the operation. It is empty on success.
	Failure    Reason `cbor:"3,keyasint,omitempty"`
	needsWrite bool
}

func claimOperation(claim *Claim, at Clock, writer string) operation {
	return operation{ID: claim.ID, Record: Record{
		State: StateClaimed, Digest: claim.Digest, Writer: writer, Nonce: claim.Nonce, At: at().UTC(), Created: claim.Created.UTC(),
	}}
}

func finishOperation(claim *Claim, at Clock, writer string, state State, outcome *Outcome) operation {
	op := claimOperation(claim, at, writer)
	op.Record.State, op.Record.Outcome = state, outcome
	return op
}

// evaluate decides on an operation against the order's existing record; found is
// false if there is none. If decision.needsWrite is set, decision.Record must be
// stored before the decision is valid.
func evaluate(existing Record, found bool, op operation) decision {
	if op.Record.State == StateClaimed {
		return evaluateClaim(existing, found, op.Record)
	}
	return evaluateFinish(existing, found, op.Record)
}

func evaluateClaim(existing Record, found bool, wanted Record) decision {
	switch {
	case !found:
		return decision{Granted: true, Record: wanted, needsWrite: true}
	case existing.Digest != wanted.Digest:
		return decision{Record: existing, Failure: ReasonConflict}
	case existing.Nonce == wanted.Nonce:
		// The claimant repeats its claim after a lost response. A claim that was
		// released remains released.
		return decision{Granted: existing.State == StateClaimed, Record: existing}
	case existing.State == StateNotRun:
		return decision{Granted: true, Record: wanted, needsWrite: true}
	default:
		return decision{Record: existing}
	}
}

func evaluateFinish(existing Record, found bool, wanted Record) decision {
	release := wanted.State == StateNotRun
	switch {
	case !found && release:
		// The claim is not recorded yet. The stored release makes sure that the
		// claim is not granted if it arrives late.
		return decision{Record: wanted, needsWrite: true}
	case !found:
		return decision{Failure: ReasonNotFound}
	case existing.Nonce != wanted.Nonce && release:
		return decision{Record: existing}
	case existing.Nonce != wanted.Nonce:
		return decision{Record: existing, Failure: ReasonConflict}
	case existing.State == StateClaimed:
		return decision{Record: wanted, needsWrite: true}
	case existing.State == wanted.State:
		return decision{Record: existing}
	default:
		return decision{Record: existing, Failure: ReasonConflict}
	}
}

func newClaim(request Request) *Claim { return &Claim{Request: request, Nonce: uuid.New()} }
