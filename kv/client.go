package kv

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

// Counters of the client.
var (
	Calls    = metrics.New("kv_calls_total", "Calls to the key-value service, by purpose.")
	Failures = metrics.New("kv_failures_total", "Failed calls to the key-value service, by reason.")
	Retries  = metrics.New("kv_retries_total", "Repeated reads of the key-value service, by the reason of the failed one.")
	Refusals = metrics.New("kv_refusals_total", "Calls that were not sent to the key-value service, by reason.")
)

// Labels of Refusals.
const (
	refusedBudget  = "budget"
	refusedCircuit = "circuit_open"
)

const (
	readAttempts = 4
	probeKey     = "probe"
	probeTimeout = 500 * time.Millisecond
)

// Options configure a Client. Zero values mean the defaults.
type Options struct {
	// CallsPerSecond bounds the calls of this process. Default 300.
	CallsPerSecond float64
	// Burst is how many calls may be made at once. Default 150.
	Burst float64
	// FailureThreshold is the number of consecutive failures after which
	// calls are refused without being sent. Default 8.
	FailureThreshold int
	// ProbeInterval is the pause between probes of a service that failed. Default 250 ms.
	ProbeInterval time.Duration
}

func (o Options) withDefaults() Options {
	if o.CallsPerSecond == 0 {
		o.CallsPerSecond = 300
	}
	if o.Burst == 0 {
		o.Burst = 150
	}
	if o.FailureThreshold == 0 {
		o.FailureThreshold = 8
	}
	if o.ProbeInterval == 0 {
		o.ProbeInterval = 250 * time.Millisecond
	}
	return o
}

// Client is a Store that keeps to a call budget, repeats failed reads with
// backoff, resolves writes whose answer was lost, and refuses calls at once
// while the service does not answer. A refused call has ReasonUnavailable or
// ReasonRateLimited and surely had no effect. Use NewClient.
type Client struct {
	store   Store
	budget  *budget
	breaker *breaker
}

var _ Store = (*Client)(nil)

// NewClient returns a client of store.
func NewClient(store Store, options Options) *Client {
	o := options.withDefaults()
	return &Client{
		store:   store,
		budget:  newBudget(o.CallsPerSecond, o.Burst),
		breaker: &breaker{threshold: o.FailureThreshold, interval: o.ProbeInterval},
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (entry Entry, err error) {
	err = c.read(ctx, "get", key, func() error {
		entry, err = c.store.Get(ctx, key)
		return err
	})
	return entry, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (entries []Entry, revision Version, err error) {
	err = c.read(ctx, "list", prefix, func() error {
		entries, revision, err = c.store.List(ctx, prefix)
		return err
	})
	return entries, revision, err
}

// CompareAndSwap implements Store. A lost answer is resolved by the value's
// bytes; use Swap to pass a Recognise of one's own.
func (c *Client) CompareAndSwap(ctx context.Context, w Write) (version Version, err error) {
	err = c.call(ctx, PurposeWrite, "swap", w.Key, func() error {
		version, err = c.store.CompareAndSwap(ctx, w)
		return err
	})
	if ReasonOf(err) != ReasonUnknown {
		return version, err
	}
	result := Resolve(ctx, unresolved{c}, w, nil)
	return result.Version, result.Cause
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	return c.call(ctx, PurposeWrite, "delete", key, func() error { return c.store.Delete(ctx, key, expect) })
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
	err = c.call(ctx, PurposeLease, "grant", "", func() error {
		id, err = c.store.Grant(ctx, ttl)
		return err
	})
	return id, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	return c.call(ctx, PurposeLease, "keepalive", "", func() error { return c.store.KeepAlive(ctx, id) })
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.call(ctx, PurposeLease, "revoke", "", func() error { return c.store.Revoke(ctx, id) })
}

// Watch implements Store. A failed watch is not repeated: its caller reads
// the present state first.
func (c *Client) Watch(ctx context.Context, prefix string, after Version) (events []Event, revision Version, err error) {
	err = c.call(ctx, PurposeRead, "watch", prefix, func() error {
		events, revision, err = c.store.Watch(ctx, prefix, after)
		return err
	})
	return events, revision, err
}

// read makes an idempotent call and repeats it with backoff.
func (c *Client) read(ctx context.Context, op, key string, do func() error) error {
	for attempt := 1; ; attempt++ {
		err := c.call(ctx, PurposeRead, op, key, do)
		reason := ReasonOf(err)
		retry := reason == ReasonUnknown || reason == ReasonRateLimited || reason == ReasonUnavailable
		if !retry || attempt == readAttempts || errors.Is(err, errCircuit) || !wait.For(ctx, backoff(attempt)) {
			return err
		}
		Retries.Inc(string(reason))
	}
}

// circuitError is the cause of a call that the breaker refused.
type circuitError struct{}

// Error implements error.
func (circuitError) Error() string { return "the service did not answer the last calls" }

var errCircuit = circuitError{}

// call makes one call within the budget and the breaker.
func (c *Client) call(ctx context.Context, fallback Purpose, op, key string, do func() error) error {
	purpose := purposeOf(ctx, fallback)
	if !c.admitted(ctx) {
		Refusals.Inc(refusedCircuit)
		return &Error{Op: op, Key: key, Reason: ReasonUnavailable, Cause: errCircuit}
	}
	if !c.budget.take(ctx, purpose.Priority) {
		Refusals.Inc(refusedBudget)
		return &Error{Op: op, Key: key, Reason: ReasonRateLimited}
	}
	Calls.Inc(purpose.Name)
	err := do()
	reason := ReasonOf(err)
	if err != nil {
		Failures.Inc(string(reason))
	}
	if err == nil || ctx.Err() == nil {
		c.breaker.report(reason)
	}
	return err
}

// admitted asks the breaker, and probes the service with a read if it must.
func (c *Client) admitted(ctx context.Context) bool {
	switch c.breaker.admit() {
	case admitted:
		return true
	case refused:
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	_, err := c.store.Get(ctx, probeKey)
	reason := ReasonOf(err)
	c.breaker.report(reason)
	return reason != ReasonUnavailable && reason != ReasonUnknown
}

// unresolved is a client whose writes are not resolved again.
type unresolved struct{ *Client }

// CompareAndSwap implements Store.
func (u unresolved) CompareAndSwap(ctx context.Context, w Write) (version Version, err error) {
	err = u.call(ctx, PurposeWrite, "swap", w.Key, func() error {
		version, err = u.store.CompareAndSwap(ctx, w)
		return err
	})
	return version, err
}
