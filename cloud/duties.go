package cloud

import "context"

// UsageSink takes usage reports. Only the holder of the duty calls it.
type UsageSink interface {
	// Report sends a window's requests by client account. It must be repeated
	// with the same counts only. Errors are *Error.
	Report(ctx context.Context, fence uint64, window int64, counts map[string]int64) error
}

// ScaleOrder is the wanted number of upstreams of a pool in a failure domain.
// Reclaimable upstreams and others are ordered apart.
type ScaleOrder struct {
	Pool          string
	FailureDomain string
	Count         int
	Reclaimable   bool
}

// Scaler orders upstreams. Only the holder of the duty calls it.
type Scaler interface {
	// Scale states the whole wanted number; ReasonRefused where there are none
	// to be had. Errors are *Error.
	Scale(ctx context.Context, fence uint64, order ScaleOrder) error
}
