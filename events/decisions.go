package events

import "github.com/hashicorp/go-hclog"

// The events of isolating requests that crash upstreams have the numbers 1800 to 1899.
var (
	CrashEvidence      = define(1800, "crash evidence", hclog.Warn, "An upstream died without notice while it ran a request, or a request suspected of crashing upstreams completed its trial run without a crash.")
	UpstreamCrash      = define(1801, "upstream crash", hclog.Warn, "An upstream ended without notice while it had a request that it had not answered; begun is whether its answer had begun, known the crashes that this host knows of the whole request, counted how many of them count.")
	QuarantineSet      = define(1802, "quarantine changed", hclog.Warn, "Requests that carry all of these keys are now refused because they crash upstreams, or are no longer refused; change is the reason.")
	UpstreamLoss       = define(1804, "upstream loss", hclog.Info, "An attempt ended without a complete answer and is no proof of a crash; reached is how the upstream's machine reacted to a new connection, empty if the upstream had announced its end; counts is whether the loss is evidence against the request.")
	QuarantineStore    = define(1803, "quarantine store failed", hclog.Warn, "Quarantined content could not be written to or read from the key-value service; it is retried.")
	QuarantineRestored = define(1805, "quarantine restored", hclog.Warn, "The key-value service has come back from an older copy; this host checks that it holds all quarantined sets again, and none of the given number of sets that were lifted.")
)
