// Package order makes sure that a non-idempotent request, called an order, runs
// at most once. A host records a claim for each pair of client account and
// idempotency key in the platform's key-value service before it sends the order.
// Afterwards it records the outcome, which is returned when a caller repeats the
// order.
//
// Each claim carries a nonce that only its claimant has. A claim is granted to
// that nonce and never transferred to another claimant. The package does not send
// orders; its caller does.
package order

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// State is the state of an order: claimed, run, not run, or possibly run.
type State string

// The states of an order's record.
const (
	// StateClaimed means that a host claimed the order and may have sent it.
	StateClaimed State = "claimed"
	// StateDone means that the order ran. Record.Outcome holds its response.
	StateDone State = "done"
	// StateNotRun means that the claimant sent no byte of the order and will send
	// none. The key may be claimed again.
	StateNotRun State = "not_run"
	// StateUnknown means that the order may have run. An order in this state is
	// never sent again.
	StateUnknown State = "unknown"
)

// ID identifies an order by its client account and idempotency key.
type ID struct {
	Account string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
}

// Digest is the hash of an order's method, path and body. Two requests with the
// same key must have the same Digest.
type Digest [32]byte

// Request describes an order for which a host requests a claim.
type Request struct {
	ID     ID     `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	// Created is when the caller created the idempotency key. The age of a record
	// counts from it.
	Created time.Time `cbor:"3,keyasint"`
}

// Outcome is the recorded response of an order that ran.
type Outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Parts is the number of separate stored values that contain the body. Zero
	// means that the field Body contains it.
	Parts int `cbor:"4,keyasint,omitempty"`
}

// Record is what a Ledger stores about one order.
type Record struct {
	State   State     `cbor:"1,keyasint"`
	Digest  Digest    `cbor:"2,keyasint"`
	Outcome *Outcome  `cbor:"3,keyasint,omitempty"`
	Writer  string    `cbor:"4,keyasint"`
	Nonce   uuid.UUID `cbor:"5,keyasint"`
	At      time.Time `cbor:"6,keyasint"`
	Created time.Time `cbor:"7,keyasint"`
}

// Claim is a host's right to send one order once.
type Claim struct {
	Request
	Nonce uuid.UUID
}

// Ledger records claims and outcomes of orders. The errors of all its methods
// have the type *Error.
type Ledger interface {
	// Claim records the right to send an order before the order is sent. If the
	// key was already claimed, Claim returns a nil *Claim and the existing
	// record. After an error the order must not be sent.
	Claim(ctx context.Context, request Request) (*Claim, Record, error)
	// Finish records the final state of a claimed order: StateDone, StateNotRun
	// or StateUnknown. The call may be repeated. StateNotRun also releases a
	// claim that may or may not have been recorded.
	Finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error
	// Get returns the record of an order. Without a record it fails with
	// ReasonNotFound.
	Get(ctx context.Context, id ID) (Record, error)
}

// Reason classifies a failed call of a Ledger method.
type Reason string

// The reasons for which calls of Ledger methods fail.
const (
	// ReasonNotFound means that the order has no record.
	ReasonNotFound Reason = "not_found"
	// ReasonUnavailable means that the call recorded nothing and that no claim
	// had been recorded before.
	ReasonUnavailable Reason = "unavailable"
	// ReasonUnknown means that the claim or outcome may have been recorded.
	ReasonUnknown Reason = "unknown"
	// ReasonUnreadable means that the call recorded nothing and that earlier
	// records could not be read.
	ReasonUnreadable Reason = "unreadable"
	// ReasonCorrupt means that the stored record could not be decoded.
	ReasonCorrupt Reason = "corrupt"
	// ReasonConflict means that the key was used with a different body, or that
	// the claim differs from the recorded one.
	ReasonConflict Reason = "conflict"
	// ReasonNotOwner means that the called host does not own the order's
	// partition, a group of keys with one owner at a time.
	ReasonNotOwner Reason = "not_owner"
	// ReasonTooLarge means that the record exceeds the maximum size of a value in
	// the key-value service.
	ReasonTooLarge Reason = "too_large"
)

// Error describes a failed call of a Ledger method.
type Error struct {
	ID     ID
	Reason Reason
	// Pending is a claim that may have been recorded and must be released. It is
	// nil if there is none.
	Pending *Claim
	Cause   error
}

// Error returns the order's account and key, the reason and the cause in one
// line.
func (e *Error) Error() string {
	msg := "order " + e.ID.Account + "/" + e.ID.Key + ": " + string(e.Reason)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the Cause field.
func (e *Error) Unwrap() error { return e.Cause }
