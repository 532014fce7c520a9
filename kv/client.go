package kv

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

// Counters of the calls to the key-value service.
var (
	Calls    = metrics.New("kv_calls_total", "Calls to the key-value service, by purpose.")
	Failures = metrics.New("kv_failures_total", "Failed calls to the key-value service, by reason.")
	Retries  = metrics.New("kv_retries_total", "Repeated reads of the key-value service, by the reason of the failed one.")
	Refusals = metrics.New("kv_refusals_total", "Calls that were not sent to the key-value service, by reason.")
)

// Values of the reason label of the Refusals counter.
const (
	refusedBudget  = "budget"
	refusedCircuit = "circuit_open"
)

const (
	maxReadAttempts = 4
	// probeKey is the key that a probe reads. The key need not exist.
	probeKey     = "probe"
	probeTimeout = 500 * time.Millisecond
)

// Options configures a Client. A field with the zero value has its default.
type Options struct {
	// CallsPerSecond limits the rate of calls to the key-value service. Default 300.
	CallsPerSecond float64
	// Burst is the number of calls that may be sent at once, above the rate of
	// CallsPerSecond. Default 150.
	Burst float64
	// FailureThreshold is the number of consecutive failures after which calls
	// are rejected without being sent. Default 8.
	FailureThreshold int
	// ProbeInterval is the pause between probes of a service that does not
	// respond. Default 250 ms.
	ProbeInterval time.Duration
}

// withDefaults returns a copy of o in which zero fields have their defaults.
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

// Client is a Store that limits the rate of its calls, retries failed reads with
// backoff, resolves writes whose response was lost, and rejects calls at once
// while the service does not respond. A rejected call fails with
// ReasonUnavailable or ReasonRateLimited and has no effect. Use NewClient.
type Client struct {
	store   Store
	budget  *budget
	breaker *breaker
	eras    eraLog
}

var (
	_ Store       = (*Client)(nil)
	_ EraObserver = (*Client)(nil)
)

// NewClient returns a Client that sends its calls to store.
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
		return c.noteEra(entry.Version.Era(), err)
	})
	return entry, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (entries []Entry, revision Version, err error) {
	err = c.read(ctx, "list", prefix, func() error {
		entries, revision, err = c.store.List(ctx, prefix)
		return c.noteEra(revision.Era(), err)
	})
	return entries, revision, err
}

// CompareAndSwap implements Store. If the response is lost, it resolves the
// outcome by comparing the stored bytes with w.Value. Use Swap to compare with
// another MatchFunc.
func (c *Client) CompareAndSwap(ctx context.Context, w Write) (version Version, err error) {
	err = c.call(ctx, PurposeWrite, "swap", w.Key, func() error {
		version, err = c.store.CompareAndSwap(ctx, w)
		return c.noteEra(version.Era(), err)
	})
	if !resolvable(err) {
		return version, err
	}
	result := Resolve(ctx, nonResolvingClient{c}, w, nil)
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

// Watch implements Store. It does not retry a failed call, because the caller
// must read the current state before it watches again.
func (c *Client) Watch(ctx context.Context, prefix string, after Version) (events []Event, revision Version, err error) {
	err = c.call(ctx, PurposeRead, "watch", prefix, func() error {
		events, revision, err = c.store.Watch(ctx, prefix, after)
		return c.noteEra(revision.Era(), err)
	})
	return events, revision, err
}

// noteEra records the era of the answer to a call that succeeded, and returns the error of the call.
func (c *Client) noteEra(era Era, err error) error {
	if err == nil {
		c.eras.note(era)
	}
	return err
}

// read sends an idempotent call and retries it with backoff, up to
// maxReadAttempts in total. It does not retry a call that the breaker rejected.
func (c *Client) read(ctx context.Context, op, key string, do func() error) error {
	for attempt := 1; ; attempt++ {
		err := c.call(ctx, PurposeRead, op, key, do)
		reason := ReasonOf(err)
		retry := reason == ReasonUnknown || reason == ReasonRateLimited || reason == ReasonUnavailable
		if !retry || attempt == maxReadAttempts || errors.Is(err, errCircuit) || !wait.For(ctx, backoff(attempt)) {
			return err
		}
		Retries.Inc(string(reason))
	}
}

// circuitError is the cause in the error of a call that the breaker rejected.
type circuitError struct{}

// Error implements error.
func (circuitError) Error() string { return "the service did not answer the last calls" }

var errCircuit = circuitError{}

// call sends one call if the breaker and the call budget allow it, counts the
// call and records its result in the breaker. A result that arrives after ctx is
// done counts in the breaker only if it is a success.
func (c *Client) call(ctx context.Context, defaultPurpose Purpose, op, key string, do func() error) error {
	purpose := purposeOf(ctx, defaultPurpose)
	if !c.allowed(ctx) {
		Refusals.Inc(refusedCircuit)
		return &Error{Op: op, Key: key, Reason: ReasonUnavailable, Cause: errCircuit}
	}
	if !c.budget.acquire(ctx, purpose.Priority) {
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
		c.breaker.recordResult(reason)
	}
	return err
}

// allowed returns whether the breaker allows a call. If the breaker requires a
// probe, allowed first probes the service with a read.
func (c *Client) allowed(ctx context.Context) bool {
	switch c.breaker.decide() {
	case allowed:
		return true
	case rejected:
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	_, err := c.store.Get(ctx, probeKey)
	reason := ReasonOf(err)
	c.breaker.recordResult(reason)
	return reason != ReasonUnavailable && reason != ReasonUnknown
}

// nonResolvingClient is a Client that does not resolve lost responses of writes.
// Resolve uses it for the repeated write.
type nonResolvingClient struct{ *Client }

// CompareAndSwap implements Store.
func (c nonResolvingClient) CompareAndSwap(ctx context.Context, w Write) (version Version, err error) {
	err = c.call(ctx, PurposeWrite, "swap", w.Key, func() error {
		version, err = c.store.CompareAndSwap(ctx, w)
		return c.noteEra(version.Era(), err)
	})
	return version, err
}
