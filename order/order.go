// Package order runs non-idempotent work at most once. A claim for each
// (client account, key) is recorded in the platform's key-value service before
// the work is sent; its outcome is recorded after, and given again on a repeat.
//
// Each claim has a nonce that its claimant alone knows: a claim is granted to
// that nonce, and is never handed on. It leaves the sending to its caller.
package order

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// State is the state of an order's record.
type State string

// The states of a record.
const (
	// StateClaimed: a claimant may have sent the order.
	StateClaimed State = "claimed"
	// StateDone: the order ran, and Outcome holds its answer.
	StateDone State = "done"
	// StateNotRun: the claimant knows that no byte was sent and that it sends
	// none any more; the key may be claimed again.
	StateNotRun State = "not_run"
	// StateUnknown: the order may have run. It is never sent again.
	StateUnknown State = "unknown"
)

// ID names an order.
type ID struct {
	Account string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
}

// Digest is the digest of an order's method, path and body.
type Digest [32]byte

// Request is an order that asks to be sent.
type Request struct {
	ID     ID     `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	// Created is when the caller made the key. Records are dropped by it.
	Created time.Time `cbor:"3,keyasint"`
}

// Outcome is the recorded answer of an order that ran.
type Outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Parts is the number of values that hold the body when it is not in Body.
	Parts int `cbor:"4,keyasint,omitempty"`
}

// Record is what the ledger keeps of an order.
type Record struct {
	State   State     `cbor:"1,keyasint"`
	Digest  Digest    `cbor:"2,keyasint"`
	Outcome *Outcome  `cbor:"3,keyasint,omitempty"`
	Writer  string    `cbor:"4,keyasint"`
	Nonce   uuid.UUID `cbor:"5,keyasint"`
	At      time.Time `cbor:"6,keyasint"`
	Created time.Time `cbor:"7,keyasint"`
}

// Claim is the right to send one order once.
type Claim struct {
	Request
	Nonce uuid.UUID
}

// Ledger records claims and outcomes. All methods return *Error.
type Ledger interface {
	// Claim records the order before it is sent. Where the key was claimed
	// before it returns a nil Claim and the record. On an error nothing may be sent.
	Claim(ctx context.Context, request Request) (*Claim, Record, error)
	// Finish records the outcome of a claim: StateDone, StateNotRun or
	// StateUnknown. It may be repeated. StateNotRun also releases a claim of
	// which it is not known whether it was recorded.
	Finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error
	// Get returns the record of an order.
	Get(ctx context.Context, id ID) (Record, error)
}

// Reason classifies a failed ledger call.
type Reason string

// The reasons of a failed ledger call.
const (
	ReasonNotFound Reason = "not_found"
	// ReasonUnavailable: nothing was recorded, and no claim was recorded before.
	ReasonUnavailable Reason = "unavailable"
	// ReasonUnknown: the claim or outcome may have been recorded.
	ReasonUnknown Reason = "unknown"
	// ReasonUnreadable: nothing was recorded, and what was recorded before
	// could not be read.
	ReasonUnreadable Reason = "unreadable"
	ReasonCorrupt    Reason = "corrupt"
	// ReasonConflict: the key was used with a different body, or the claim is
	// not the one that is recorded.
	ReasonConflict Reason = "conflict"
	// ReasonNotOwner: the host does not own the order's partition.
	ReasonNotOwner Reason = "not_owner"
	// ReasonTooLarge: the record does not fit a value of the service.
	ReasonTooLarge Reason = "too_large"
)

// Error is a failed ledger call.
type Error struct {
	ID     ID
	Reason Reason
	// Pending is the claim that may have been recorded, to be released.
	Pending *Claim
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	msg := "order " + e.ID.Account + "/" + e.ID.Key + ": " + string(e.Reason)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
