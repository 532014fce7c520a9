package events

import "github.com/hashicorp/go-hclog"

// The events of callers that exceed limits have the numbers 2240 to 2259.
var (
	CallersShed   = define(2240, "callers shed", hclog.Warn, "Callers' connections were closed or their requests interrupted, because memory (held_bytes of limit_bytes) or connections for callers were used up or they made no progress; the fields count them by reason since the last line, at most one line per second.")
	CallersLimits = define(2241, "caller limits", hclog.Info, "The limits of memory and connections for callers, when the process starts.")
)
