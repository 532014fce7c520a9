// Package cloud defines the interface to the platform's cloud API: prices of hosts, starts and stops
// of hosts, and reclaim notices.
//
// Package planner decides which hosts to start.
package cloud

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Market identifies a kind of host on offer: its failure domain, machine class and reclaimability.
type Market struct {
	FailureDomain string `json:"failure_domain"`
	// Class is the machine class, for example "small".
	Class string `json:"class"`
	// Reclaimable marks cheaper hosts that the platform can stop on short notice.
	Reclaimable bool `json:"reclaimable"`
}

// Offer is the current price of hosts in a market.
type Offer struct {
	Market
	// PricePerHour is the price of one host for an hour, in the platform's currency.
	PricePerHour float64 `json:"price_per_hour"`
}

// State is the lifecycle state of an instance.
type State string

// States of an instance. A leaving instance has received a reclaim notice.
const (
	StateStarting State = "starting"
	StateLive     State = "live"
	StateLeaving  State = "leaving"
)

// Instance is a host that was started through the cloud API and has not ended.
type Instance struct {
	Market
	ID string `json:"id"`
	// Address is the IP address and port of the host. It is empty while the host is starting.
	Address   string    `json:"address,omitempty"`
	Pool      string    `json:"pool"`
	State     State     `json:"state"`
	StartedAt time.Time `json:"started_at"`
	// ReclaimAt is the time at which a leaving host ends. It is zero in all other states.
	ReclaimAt time.Time `json:"reclaim_at,omitzero"`
}

// StartRequest is a request to start one host.
type StartRequest struct {
	Market
	Pool string `json:"pool"`
	// Token makes the request idempotent: repeated requests with the same token start one host.
	Token string `json:"token"`
}

// API is the interface to the cloud API. All errors are of type *Error.
type API interface {
	// Offers returns the current prices of all markets.
	Offers(ctx context.Context) ([]Offer, error)
	// Instances returns the hosts that were started and have not ended.
	Instances(ctx context.Context) ([]Instance, error)
	// Start starts a host. It fails with ReasonRefused if the market has no free host.
	Start(ctx context.Context, req StartRequest) (Instance, error)
	// Stop stops a host. Stopping a host that has already ended is not an error.
	Stop(ctx context.Context, id string) error
}

// Reason classifies the cause of a failed call to the cloud API.
type Reason string

// Reasons for a failed call to the cloud API.
const (
	// ReasonRefused means that the market has no free host.
	ReasonRefused Reason = "refused"
	// ReasonUnavailable means that the call certainly had no effect.
	ReasonUnavailable Reason = "unavailable"
	// ReasonUnknown means that the call may have taken effect.
	ReasonUnknown Reason = "unknown"
	// ReasonInvalid means that the call was malformed.
	ReasonInvalid Reason = "invalid"
)

// Error describes a failed call to the cloud API.
type Error struct {
	Op     string
	Reason Reason
	Cause  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	msg := "cloud " + e.Op + ": " + string(e.Reason)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// ReasonOf returns the reason of an *Error in the chain of err, ReasonUnknown if there is none, and
// the empty reason if err is nil.
func ReasonOf(err error) Reason {
	if err == nil {
		return ""
	}
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Reason
	}
	return ReasonUnknown
}
