package events

import "github.com/hashicorp/go-hclog"

// Events of orders: 1400 to 1499.
var (
	OrderClaimed       = define(1400, "order claimed", hclog.Debug, "An order's claim is recorded.")
	OrderOutcomeLost   = define(1401, "order outcome unknown", hclog.Warn, "An order may have run; its outcome is not known.")
	OrderRecordFailed  = define(1402, "order record failed", hclog.Warn, "An order's outcome could not be recorded in time; it is tried again.")
	OrderRecordGivenUp = define(1403, "order record given up", hclog.Error, "An order's outcome could not be recorded; a repeat is answered as unknown.")
)
