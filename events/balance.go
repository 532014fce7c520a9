package events

import "github.com/hashicorp/go-hclog"

// The events of uneven upstreams and of insufficient capacity have the numbers 2220 to 2239.
var (
	BalanceRate    = define(2220, "upstream rate changed", hclog.Info, "The measured rate of an upstream, as a multiple of the median of its pool, has changed by more than a quarter since this event was last logged for it; weight is the number of answers on which it is based, with older answers counting less.")
	BalanceRefused = define(2221, "request refused early", hclog.Info, "A request was refused at once because it would start after its deadline, or because its client account has more than its share of the recent work; start_ms is the expected time until the best upstream has worked off what waits there, ahead the part of that work that is at least as urgent.")
)
