package events

import "github.com/hashicorp/go-hclog"

// The events of roll-outs of upstream versions have the numbers 2202 to 2209 and 2212 to 2219. The others of 2200 to
// 2219 belong to usage and scaling.
var (
	RolloutOrder       = define(2202, "roll-out ordered", hclog.Info, "An operator's order moves a pool's requests to upstreams of another version.")
	RolloutApplied     = define(2203, "roll-out phase applied", hclog.Info, "This host applies another phase of a roll-out.")
	RolloutStopped     = define(2204, "roll-out stopped by host", hclog.Warn, "The evidence shows that the new version is bad; this host sends it no more requests, before the outcome is stored.")
	RolloutInvalid     = define(2205, "roll-out input invalid", hclog.Warn, "An order, a directive or a stored record of a roll-out is malformed; it changes nothing.")
	RolloutUnknown     = define(2206, "unknown version held back", hclog.Info, "An upstream has a version that its pool did not have before; without an order it gets no requests for a while.")
	RolloutWithdrawn   = define(2207, "streams moved to new version", hclog.Info, "Streams were withdrawn from upstreams of the old version and are resumed at the new one.")
	RolloutStore       = define(2208, "roll-out store call failed", hclog.Warn, "A record or a status of a roll-out could not be read from or written to the key-value service; the call is repeated.")
	RolloutDecided     = define(2209, "roll-out phase stored", hclog.Info, "This host, the coordinator, has stored another phase of a roll-out, with the numbers on which it is based.")
	RolloutPublished   = define(2212, "roll-out status written", hclog.Info, "This host, the coordinator, has written the status of a roll-out.")
	RolloutUnserved    = define(2213, "roll-out of unknown service", hclog.Warn, "An order names a service that the route table does not contain; the roll-out begins when the service appears.")
	RolloutUnreachable = define(2214, "roll-out host unreachable", hclog.Debug, "A host has not answered the coordinator's directive.")
	RolloutResumed     = define(2216, "roll-out stop lifted", hclog.Info, "The coordinator, which knows the evidence of all hosts, goes on with a roll-out that this host had stopped.")
	RolloutReplaced    = define(2215, "roll-out record changed elsewhere", hclog.Info, "The stored record of a roll-out has been changed by another coordinator; this host reads it again.")
)
