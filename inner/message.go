// Package inner implements the protocol between entry hosts, which are the hosts
// that receive the clients' requests: typed messages in CBOR over WebSocket
// connections. A message is either a call with a response or a one-way message.
//
// The packages that register handlers define what the messages mean.
package inner

import (
	"github.com/fxamacker/cbor/v2"
)

// MessageKind is the number of a message type. A message type has the same number in
// all releases.
type MessageKind uint16

// Kinds of messages between entry hosts. Each package that handles messages has
// a range of numbers.
const (
	// KindGossip is the first of the messages of package membership, which has
	// the numbers 1 to 99.
	KindGossip        MessageKind = 1
	KindProbe         MessageKind = 2
	KindIndirectProbe MessageKind = 3
	KindStateDiff     MessageKind = 4
	KindStatePull     MessageKind = 5
	// KindHostList is the message of package hosts.
	KindHostList MessageKind = 6
	// KindJournalCreate is the first of the messages of package reclaim, which
	// has the numbers 100 to 199.
	KindJournalCreate   MessageKind = 100
	KindJournalAppend   MessageKind = 101
	KindJournalLookup   MessageKind = 102
	KindJournalTakeOver MessageKind = 103
	KindJournalRead     MessageKind = 104
	KindJournalClaim    MessageKind = 105
	KindJournalWithdraw MessageKind = 106
	// KindOrderClaim is the first of the messages of package order, which has the
	// numbers 200 to 299.
	KindOrderClaim  MessageKind = 200
	KindOrderFinish MessageKind = 201
	KindOrderGet    MessageKind = 202
	// KindOrderRelease requests that the owner of a partition of the orders
	// releases the partition.
	KindOrderRelease MessageKind = 203
	// KindQuotaGrant is the first of the messages of package quota, which has the
	// numbers 300 to 399.
	KindQuotaGrant MessageKind = 300
	// KindQuotaTake consumes part of a client account's limit at the host that
	// owns the limit.
	KindQuotaTake MessageKind = 301
	// KindQuotaHold reserves the deputies' shares of the limits of client accounts for
	// their owner.
	KindQuotaHold MessageKind = 304
	// KindPacePermit asks the host that paces the requests to an upstream for a
	// permit for one request.
	KindPacePermit MessageKind = 302
	// KindReplicaRead is the message of package replica, which has the numbers
	// 500 to 599.
	KindReplicaRead MessageKind = 500
	// KindLoadDigest is the message of package loadshare, which has the numbers
	// 600 to 699.
	KindLoadDigest MessageKind = 600
	// KindUsageCounts is the message of package usage, which has the numbers 700
	// to 799.
	KindUsageCounts MessageKind = 700
	// KindPrefixLookup is the first of the messages of package prefixes, which has
	// the numbers 800 to 899.
	KindPrefixLookup   MessageKind = 800
	KindPrefixAnnounce MessageKind = 801
	// KindRolloutDirective is the message of the packages below rollout, which have
	// the numbers 900 to 909.
	KindRolloutDirective MessageKind = 900
	// KindProvisionRate is the message of package provision, which has the
	// numbers 400 to 499.
	KindProvisionRate MessageKind = 400
)

// Path is the HTTP path at which an entry host serves the protocol of this package.
const Path = "/inner"

// maxMessageSize is the size limit of one message, in bytes. A KV cache (the
// attention state of a prompt) can be larger and is therefore sent in parts.
const maxMessageSize = 4 << 20

// envelope is the CBOR form of one message or one response.
type envelope struct {
	// Call is the ID that a call and its response share. It is zero for a
	// one-way message.
	Call uint64      `cbor:"1,keyasint,omitempty"`
	Kind MessageKind `cbor:"2,keyasint,omitempty"`
	// Answer is true for the response to a call.
	Answer bool            `cbor:"3,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	// Failure is the error code of a failed call. It is empty on success.
	Failure string `cbor:"5,keyasint,omitempty"`
}

// Reason is the cause of a failed call to an entry host.
type Reason string

// Reasons why a call to an entry host fails.
const (
	// ReasonConnect means that the connection could not be opened, so that the
	// message was not sent.
	ReasonConnect Reason = "connect_failed"
	// ReasonBroken means that the connection broke. The peer may have handled the
	// message.
	ReasonBroken Reason = "connection_broken"
	// ReasonTimeout means that no response arrived in time. The peer may have
	// handled the message.
	ReasonTimeout Reason = "timeout"
	// ReasonCodec means that a message could not be encoded or decoded.
	ReasonCodec Reason = "codec"
	// ReasonUnknownKind means that the peer has no handler for the message.
	ReasonUnknownKind Reason = "unknown_kind"
	// ReasonHandler means that the peer's handler failed. Error.Code is the
	// handler's error code.
	ReasonHandler Reason = "handler"
)

// Error describes a failed call or message to another entry host.
type Error struct {
	Peer   string
	Kind   MessageKind
	Reason Reason
	// Code is the handler's error code if Reason is ReasonHandler.
	Code  string
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	msg := "inner call to " + e.Peer + ": " + string(e.Reason)
	if e.Code != "" {
		msg += " " + e.Code
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns e.Cause.
func (e *Error) Unwrap() error { return e.Cause }

// Failure is the error that a handler returns to send an error code to the caller.
type Failure struct{ Code string }

// Error implements error.
func (f *Failure) Error() string { return "inner handler: " + f.Code }
