// Package cloud is the narrow interface to the platform's cloud API: offers
// with their prices, starts and stops of hosts, and reclaim notices.
//
// What to start is decided by package planner.
package cloud

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Market identifies where a host can be bought.
type Market struct {
	FailureDomain string `json:"failure_domain"`
	// Class is the machine class.
	Class string `json:"class"`
	// Reclaimable hosts are cheaper and can be taken back on short notice.
	Reclaimable bool `json:"reclaimable"`
}

// Offer is the price of a market now.
type Offer struct {
	Market
	// PricePerHour is in the platform's currency.
	PricePerHour float64 `json:"price_per_hour"`
}

// State is the state of an instance.
type State string

// The states of an instance.
const (
	StateStarting State = "starting"
	StateLive     State = "live"
	StateLeaving  State = "leaving"
)

// Instance is a host that was started.
type Instance struct {
	Market
	ID string `json:"id"`
	// Address is an IP number and port; empty while starting.
	Address   string    `json:"address,omitempty"`
	Pool      string    `json:"pool"`
	State     State     `json:"state"`
	StartedAt time.Time `json:"started_at"`
	// ReclaimAt is when a leaving host ends; zero otherwise.
	ReclaimAt time.Time `json:"reclaim_at,omitzero"`
}

// StartRequest asks for one host.
type StartRequest struct {
	Market
	Pool string `json:"pool"`
	// Token makes the request idempotent: the same token starts one host.
	Token string `json:"token"`
}

// API is the cloud API. All methods return *Error.
type API interface {
	// Offers returns the current prices.
	Offers(ctx context.Context) ([]Offer, error)
	// Instances returns the hosts that were started and have not ended.
	Instances(ctx context.Context) ([]Instance, error)
	// Start starts a host; ReasonRefused when the market has none.
	Start(ctx context.Context, req StartRequest) (Instance, error)
	// Stop ends a host. Stopping one that has ended is no error.
	Stop(ctx context.Context, id string) error
}

// Reason classifies a failed call.
type Reason string

// The reasons of a failed call.
const (
	// ReasonRefused: the market has no host to give.
	ReasonRefused Reason = "refused"
	// ReasonUnavailable: the call surely had no effect.
	ReasonUnavailable Reason = "unavailable"
	// ReasonUnknown: the call may have had its effect.
	ReasonUnknown Reason = "unknown"
	// ReasonInvalid: the call was malformed.
	ReasonInvalid Reason = "invalid"
)

// Error is a failed call.
type Error struct {
	Op     string
	Reason Reason
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	msg := "cloud " + e.Op + ": " + string(e.Reason)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ReasonOf returns the reason of err, ReasonUnknown for an error of another
// type, and the empty reason for nil.
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
