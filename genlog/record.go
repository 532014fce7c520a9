package genlog

import (
	"time"

	"github.com/cardamompier/cardamompier/apierr"
)

// Record is an accepted request, with all that another host needs to run it.
type Record struct {
	RequestID string `cbor:"1,keyasint"`
	Account   string `cbor:"2,keyasint"`
	Service   string `cbor:"3,keyasint"`
	Prompt    string `cbor:"4,keyasint"`
	// MaxTokens is the maximum length of the answer, in tokens.
	MaxTokens int `cbor:"5,keyasint"`
	// Digest is the hash of the request body. A repeat with the same idempotency key must have the
	// same digest.
	Digest uint64 `cbor:"6,keyasint"`
	// Deadline is when the last byte of the answer is due, on the clock of the host that accepted
	// the request.
	Deadline time.Time `cbor:"7,keyasint"`
}

// Owner is the entry host that runs a request.
type Owner struct {
	ID           string `cbor:"1,keyasint"`
	InnerAddress string `cbor:"2,keyasint"`
}

// Attempt is one run of a request at one engine.
type Attempt struct {
	// Number is the attempt's number, counted from 1 across all owners of the request.
	Number   uint64 `cbor:"1,keyasint"`
	Host     string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	StreamID string `cbor:"4,keyasint"`
}

// Branch is a point in a log after which the text may differ from the text that owners of earlier
// epochs showed to callers. Start is the index of the first such token.
type Branch struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Start int    `cbor:"2,keyasint"`
}

// Failure is the encoding of an apierr.Error in messages between entry hosts.
type Failure struct {
	Code       apierr.Code   `cbor:"1,keyasint"`
	Ran        apierr.Ran    `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"`
	Detail     string        `cbor:"4,keyasint"`
}

// FailureOf encodes err for a message between entry hosts. It returns nil for nil.
func FailureOf(err *apierr.Error) *Failure {
	if err == nil {
		return nil
	}
	return &Failure{Code: err.Code, Ran: err.Ran, RetryAfter: err.RetryAfter, Detail: err.Detail}
}

// APIError decodes the failure to the error it was made from. It returns nil for nil.
func (f *Failure) APIError() *apierr.Error {
	if f == nil {
		return nil
	}
	return &apierr.Error{Code: f.Code, Ran: f.Ran, RetryAfter: f.RetryAfter, Detail: f.Detail}
}

// Copy is a copy of a request and of the part of its answer that has been generated.
type Copy struct {
	Record   Record   `cbor:"1,keyasint"`
	Epoch    uint64   `cbor:"2,keyasint"`
	Owner    Owner    `cbor:"3,keyasint"`
	Text     []byte   `cbor:"4,keyasint"`
	Ends     []uint32 `cbor:"5,keyasint"`
	State    State    `cbor:"6,keyasint"`
	Failed   *Failure `cbor:"7,keyasint,omitempty"`
	Attempt  Attempt  `cbor:"8,keyasint"`
	Branches []Branch `cbor:"9,keyasint,omitempty"`
	// Released reports that the owner has handed the request over and has shown callers no token
	// that the copy lacks.
	Released bool `cbor:"10,keyasint,omitempty"`
}

// extends reports whether a text with these branches begins with the text that a caller has read:
// the tokens before index from, where the last branch that the caller has read has the epoch seen.
func extends(branches []Branch, seen uint64, from int) bool {
	for _, b := range branches {
		if b.Epoch > seen && from > b.Start {
			return false
		}
	}
	return true
}
