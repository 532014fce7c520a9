package events

import "github.com/hashicorp/go-hclog"

// The events of prompt prefix caching at upstreams have the numbers 2260 to 2279.
var (
	PromptPlaced    = define(2260, "prompt placed", hclog.Debug, "A prompt was sent to an upstream that is expected to hold held of its shared tokens; holders is the number of upstreams that hold a part, and located is whether the prompt's owner was asked.")
	PromptRunsEnded = define(2261, "prompt caches forgotten", hclog.Info, "Upstreams have ended or were restarted; what they held is forgotten.")
)
