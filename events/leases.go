package events

import "github.com/hashicorp/go-hclog"

// The events of leases and of orders to model engines have the numbers 1600 to 1699.
var (
	LeaseTaken      = define(1600, "lease taken", hclog.Info, "This host acquired the lease of a duty.")
	LeaseEnded      = define(1601, "lease ended", hclog.Info, "This host no longer holds the lease of a duty; age_ms is the time since its last renewal, suspensions included, left_ms what was left of the term.")
	LeaseUnreadable = define(1602, "lease unreadable", hclog.Warn, "The stored lease of a duty was not written by a host; the duty is taken over after a whole lease without a change.")
	LeaseEra        = define(1603, "lease era changed", hclog.Warn, "The key-value service has come back from an older copy: this host read the lease of a duty in a new era of the service; stored is the fencing number in the copy, 0 if there is none, holding whether this host holds the lease.")
	EngineOrdered   = define(1610, "engine ordered", hclog.Info, "A model engine was ordered to change to its wanted state.")
	EngineRefused   = define(1611, "engine order failed", hclog.Warn, "A model engine did not accept an order; the order is retried.")
)
