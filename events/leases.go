package events

import "github.com/hashicorp/go-hclog"

// Events of leases and of orders to engines: 1600 to 1699.
var (
	LeaseTaken    = define(1600, "lease taken", hclog.Info, "This host holds a duty from now on.")
	LeaseEnded    = define(1601, "lease ended", hclog.Info, "This host's term of a duty has ended.")
	EngineOrdered = define(1610, "engine ordered", hclog.Info, "An engine was ordered to its wanted state.")
	EngineRefused = define(1611, "engine order failed", hclog.Warn, "An engine did not take an order; it is ordered again.")
)
