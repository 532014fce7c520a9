package order

import "github.com/google/uuid"

// operation is a claim, or the outcome of one, on its way into the records.
type operation struct {
	ID ID `cbor:"1,keyasint"`
	// Record is the record that the operation asks for: StateClaimed for a claim.
	Record Record `cbor:"2,keyasint"`
}

// verdict is what the records say to an operation.
type verdict struct {
	Granted bool   `cbor:"1,keyasint"`
	Record  Record `cbor:"2,keyasint"`
	// Failure is empty on success.
	Failure Reason `cbor:"3,keyasint,omitempty"`
	write   bool
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

// evaluate decides on an operation against the record that is known; found is
// false when there is none. With verdict.write set, verdict.Record has to be
// recorded before the verdict holds.
func evaluate(existing Record, found bool, op operation) verdict {
	if op.Record.State == StateClaimed {
		return evaluateClaim(existing, found, op.Record)
	}
	return evaluateFinish(existing, found, op.Record)
}

func evaluateClaim(existing Record, found bool, wanted Record) verdict {
	switch {
	case !found:
		return verdict{Granted: true, Record: wanted, write: true}
	case existing.Digest != wanted.Digest:
		return verdict{Record: existing, Failure: ReasonConflict}
	case existing.Nonce == wanted.Nonce:
		// The same claim again, after a lost answer; a released one stays so.
		return verdict{Granted: existing.State == StateClaimed, Record: existing}
	case existing.State == StateNotRun:
		return verdict{Granted: true, Record: wanted, write: true}
	default:
		return verdict{Record: existing}
	}
}

func evaluateFinish(existing Record, found bool, wanted Record) verdict {
	release := wanted.State == StateNotRun
	switch {
	case !found && release:
		return verdict{Record: wanted, write: true} // a late claim of this nonce finds it
	case !found:
		return verdict{Failure: ReasonNotFound}
	case existing.Nonce != wanted.Nonce && release:
		return verdict{Record: existing}
	case existing.Nonce != wanted.Nonce:
		return verdict{Record: existing, Failure: ReasonConflict}
	case existing.State == StateClaimed:
		return verdict{Record: wanted, write: true}
	case existing.State == wanted.State:
		return verdict{Record: existing}
	default:
		return verdict{Record: existing, Failure: ReasonConflict}
	}
}

func newClaim(request Request) *Claim { return &Claim{Request: request, Nonce: uuid.New()} }
