package events

import "github.com/hashicorp/go-hclog"

// Events of forwarded requests: 2100 to 2199.
var (
	ForwardRefused  = define(2100, "forward refused", hclog.Info, "A request was answered by this host itself; code, ran and the inputs say why.")
	ForwardFinished = define(2101, "forward finished", hclog.Info, "An upstream's answer was passed on whole.")
	ForwardAttempt  = define(2102, "forward attempt failed", hclog.Info, "One attempt at an upstream failed; next says what was done.")
	ForwardBroken   = define(2103, "forward broken off", hclog.Warn, "An answer broke off after a part of it was passed on; the caller's connection was closed.")
	ForwardGone     = define(2104, "caller gone", hclog.Info, "The caller left before the answer was whole; the upstream's work was cancelled.")
	ForwardResumed  = define(2105, "stream resumed elsewhere", hclog.Info, "A stream goes on at another upstream after the last event that was passed on.")
	ForwardTable    = define(2110, "route table in force", hclog.Info, "Requests are served by this version from now on.")
	ForwardUnread   = define(2111, "route table unreadable", hclog.Error, "A route table cannot be decoded; the last one stays.")
	ForwardHosts    = define(2112, "upstream list changed", hclog.Info, "The list of upstreams changed.")
	ForwardHostBad  = define(2113, "upstream record unreadable", hclog.Warn, "A record of an upstream cannot be read; it names no upstream.")
)

// Events of usage reports and of orders for upstreams: 2200 to 2299.
var (
	UsageReported = define(2200, "usage reported", hclog.Info, "A window's usage was reported.")
	UsageFailed   = define(2201, "usage step failed", hclog.Warn, "A step of a usage report failed; it is tried again.")
	ScaleOrdered  = define(2210, "upstreams ordered", hclog.Info, "A number of upstreams was ordered in a failure domain.")
	ScaleRefused  = define(2211, "upstream order failed", hclog.Info, "An order for upstreams was refused or failed; it is tried again.")
)
