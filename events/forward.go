package events

import "github.com/hashicorp/go-hclog"

// The events of forwarded requests have the numbers 2100 to 2199.
var (
	ForwardRefused  = define(2100, "forward refused", hclog.Info, "This host refused a request or failed it with an error of its own; code, ran and the other fields give the reason, answer_status and the like the answer to its last attempt, possible_runs the attempts that an upstream may have run.")
	ForwardFinished = define(2101, "forward finished", hclog.Info, "An upstream's complete answer was sent to the caller.")
	ForwardAttempt  = define(2102, "forward attempt failed", hclog.Info, "One attempt at an upstream failed, or its answer is not relayed; repeat is whether another one follows. answer_status, answer_not_run (the answer states that the request did not run) and answer_sealed describe the head of its answer, the fields budget_* are the figures of the retry budget's decision.")
	ForwardBroken   = define(2103, "forward broken off", hclog.Warn, "An upstream's answer ended early after a part of it was sent to the caller; the caller's connection was closed.")
	ForwardGone     = define(2104, "caller gone", hclog.Info, "The caller disconnected before the answer was complete; the request at the upstream was cancelled.")
	ForwardResumed  = define(2105, "stream resumed elsewhere", hclog.Info, "A stream was resumed at another upstream, after the last event that was sent to the caller.")
	ForwardPanicked = define(2106, "forward panicked", hclog.Error, "This host panicked while it handled a request, a fault of this program; the caller's connection was closed.")
	ForwardNotice   = define(2107, "upstream announcement", hclog.Info, "An upstream has announced that it leaves; listed is the state of its record, and source is how this host learned it.")
	ForwardPause    = define(2108, "upstream pauses", hclog.Info, "An upstream has rejected a request and wants no requests from this host for a while; this host sends it none until then.")
	ForwardLimit    = define(2109, "upstream names a limit", hclog.Info, "An upstream names the requests per second (per_s) that it takes from all hosts together, or, with limited false, no limit any more.")
	ForwardTable    = define(2110, "route table in force", hclog.Info, "This host now routes requests by this version of the route table.")
	ForwardUnread   = define(2111, "route table unreadable", hclog.Error, "A route table cannot be decoded; the current one remains in force.")
	ForwardHosts    = define(2112, "upstream list changed", hclog.Info, "The list of upstreams changed.")
	ForwardHostBad  = define(2113, "upstream record unreadable", hclog.Warn, "The record of an upstream cannot be decoded; it is ignored.")
	ForwardDeparted = define(2115, "upstream departed", hclog.Info, "The list of upstreams shows a live upstream as leaving (listed) or no longer; source is how the list was read, departed the number of upstreams that departed with it.")
	ForwardEnded    = define(2114, "forward ended", hclog.Warn, "This host stops; requests whose upstreams had not answered by then were answered with an error.")
)

// The events of usage reports and of orders for upstreams have the numbers 2200 to 2299.
var (
	UsageReported  = define(2200, "usage reported", hclog.Info, "The usage of one time window was reported.")
	UsageFailed    = define(2201, "usage step failed", hclog.Warn, "A step of a usage report failed; it is retried.")
	UsageLost      = define(2217, "usage window left out", hclog.Warn, "The key-value service has come back from an older copy and may have lost the counts with which another host reported this time window; it is not reported, because two reports of a window must not differ.")
	DutyUnanswered = define(2218, "duty call unanswered", hclog.Warn, "A usage report or an order to the platform ended without an answer after age_ms; connected, reused, written and closed tell whether it had a connection, one that was open before, whether the whole request was written to it, and whether it is closed now.")
	ScaleOrdered   = define(2210, "upstreams ordered", hclog.Info, "This host ordered a number of upstreams in a failure domain.")
	ScaleRefused   = define(2211, "upstream order failed", hclog.Info, "An order for upstreams was refused or failed; it is retried.")
)
