// Package order runs non-idempotent work at most once. A claim for each
// (client account, key) is recorded in the platform's key-value service before
// the work is sent; its outcome is recorded after, and given again on a repeat.
//
// It leaves the sending itself to its caller.
package order

import (
	"context"
	"time"
)

// State is the state of an order's record.
type State string

// The states of a record.
const (
	// StateClaimed: a claimant may have sent the order.
	StateClaimed State = "claimed"
	// StateDone: the order ran, and Outcome holds its answer.
	StateDone State = "done"
	// StateNotRun: the claimant knows that no byte was sent; the key may be
	// claimed again.
	StateNotRun State = "not_run"
	// StateUnknown: the order may have run. It is never sent again.
	StateUnknown State = "unknown"
)

// ID names an order.
type ID struct {
	Account string
	Key     string
}

// Digest is the digest of an order's method, path and body.
type Digest [32]byte

// Outcome is the recorded answer of an order that ran.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Record is what the ledger keeps of an order.
type Record struct {
	State   State     `json:"state"`
	Digest  Digest    `json:"digest"`
	Outcome *Outcome  `json:"outcome,omitempty"`
	Writer  string    `json:"writer"`
	Nonce   string    `json:"nonce"`
	At      time.Time `json:"at"`
}

// Claim is the right to send one order once.
type Claim struct {
	ID     ID
	Digest Digest
	// token is the ledger's own state of the claim.
	token any
}

// Ledger records claims and outcomes. All methods return *Error.
type Ledger interface {
	// Claim records the order before it is sent. Where the key was claimed
	// before it returns a nil Claim and the record. On an error nothing may be sent.
	Claim(ctx context.Context, id ID, digest Digest) (*Claim, Record, error)
	// Finish records the outcome of a claim: StateDone, StateNotRun or StateUnknown.
	Finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error
	// Get returns the record of an order.
	Get(ctx context.Context, id ID) (Record, error)
}

// Reason classifies a failed ledger call.
type Reason string

// The reasons of a failed ledger call.
const (
	ReasonNotFound    Reason = "not_found"
	ReasonUnavailable Reason = "unavailable"
	ReasonCorrupt     Reason = "corrupt"
	// ReasonConflict: the key was used with a different body.
	ReasonConflict Reason = "conflict"
)

// Error is a failed ledger call.
type Error struct {
	ID     ID
	Reason Reason
	Cause  error
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
