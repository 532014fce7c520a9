package genlog

import (
	"time"

	"github.com/cardamompier/cardamompier/apierr"
)

// Record is an accepted request: what another host needs to carry it out.
type Record struct {
	RequestID string `cbor:"1,keyasint"`
	Account   string `cbor:"2,keyasint"`
	Service   string `cbor:"3,keyasint"`
	Prompt    string `cbor:"4,keyasint"`
	// MaxTokens bounds the answer, in tokens.
	MaxTokens int `cbor:"5,keyasint"`
	// Digest of the request's body; a repeat under its key must have the same.
	Digest uint64 `cbor:"6,keyasint"`
	// Deadline is the time of the last byte, on the accepting host's clock.
	Deadline time.Time `cbor:"7,keyasint"`
}

// Owner is the entry host that carries a request out.
type Owner struct {
	ID           string `cbor:"1,keyasint"`
	InnerAddress string `cbor:"2,keyasint"`
}

// Attempt is one run of a request at one engine.
type Attempt struct {
	// Number counts from one over all owners of the request.
	Number   uint64 `cbor:"1,keyasint"`
	Host     string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	StreamID string `cbor:"4,keyasint"`
}

// Branch is a token index from which the text may differ from what owners of
// an earlier epoch showed.
type Branch struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Start int    `cbor:"2,keyasint"`
}

// Failure is an apierr.Error between entry hosts.
type Failure struct {
	Code       apierr.Code   `cbor:"1,keyasint"`
	Ran        apierr.Ran    `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"`
	Detail     string        `cbor:"4,keyasint"`
}

// FailureOf returns the form of err between entry hosts; nil for nil.
func FailureOf(err *apierr.Error) *Failure {
	if err == nil {
		return nil
	}
	return &Failure{Code: err.Code, Ran: err.Ran, RetryAfter: err.RetryAfter, Detail: err.Detail}
}

// APIError returns the error that the failure carries; nil for nil.
func (f *Failure) APIError() *apierr.Error {
	if f == nil {
		return nil
	}
	return &apierr.Error{Code: f.Code, Ran: f.Ran, RetryAfter: f.RetryAfter, Detail: f.Detail}
}

// Copy is a request with its answer so far.
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
	// Released says that the owner showed nothing beyond the copy and left it.
	Released bool `cbor:"10,keyasint,omitempty"`
}

// extends says whether a text with these branches holds what a caller has that saw the
// tokens before from, the last of them after the branch of epoch seen.
func extends(branches []Branch, seen uint64, from int) bool {
	for _, b := range branches {
		if b.Epoch > seen && from > b.Start {
			return false
		}
	}
	return true
}
