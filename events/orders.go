package events

import "github.com/hashicorp/go-hclog"

// The events of orders, which are requests that must run at most once, have the numbers 1400
// to 1499.
var (
	OrderClaimed       = define(1400, "order claimed", hclog.Debug, "An order's claim, which permits one run, is recorded.")
	OrderOutcomeLost   = define(1401, "order outcome unknown", hclog.Warn, "An order may have run; its outcome is unknown.")
	OrderRecordFailed  = define(1402, "order record failed", hclog.Warn, "An order's outcome could not be recorded in time; recording is retried.")
	OrderRecordGivenUp = define(1403, "order record given up", hclog.Error, "An order's outcome could not be recorded and recording is no longer retried; a repeat of the order is answered with an unknown outcome.")
)
