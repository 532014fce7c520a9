package cloud

import (
	"context"
	"time"
)

// CallLifetime bounds how long after its start a call to a UsageSink or a Scaler can take effect at the platform, also
// if its process is suspended, so that it cannot end the call. The holder of the duties lease starts no call in the last
// CallLifetime of its term.
const CallLifetime = 2 * time.Second

// UsageSink receives usage reports. Only the host that holds the duties lease, which one host holds
// at a time, calls it.
type UsageSink interface {
	// Report sends the number of requests per client account in a time window. The fence is the
	// caller's fencing number. A repeated report of a window must contain the same counts. Errors
	// are of type *Error.
	Report(ctx context.Context, fence uint64, window int64, counts map[string]int64) error
}

// ScaleOrder is the desired number of upstreams of a pool in a failure domain. Reclaimable and
// non-reclaimable upstreams have separate orders.
type ScaleOrder struct {
	Pool          string
	FailureDomain string
	Count         int
	Reclaimable   bool
}

// Scaler sets the number of upstreams in a pool. Only the host that holds the duties lease, which
// one host holds at a time, calls it.
type Scaler interface {
	// Scale sets the desired total number of upstreams, not a change of it. It fails with
	// ReasonRefused if no upstreams are available. Errors are of type *Error.
	Scale(ctx context.Context, fence uint64, order ScaleOrder) error
}
