package events

import "github.com/hashicorp/go-hclog"

// The events of provisioning upstream hosts have the numbers 1900 to 1999.
var (
	HostStarted        = define(1900, "host started", hclog.Info, "A host was started in the market given by failure_domain and class.")
	HostStartRefused   = define(1901, "host start refused", hclog.Warn, "The market has no host available; no host is ordered there for a while.")
	HostStopped        = define(1902, "host stopped", hclog.Info, "A host that is no longer needed was stopped.")
	HostsReclaimed     = define(1903, "hosts reclaimed", hclog.Warn, "Hosts of a market got a reclaim notice.")
	ProvisioningFailed = define(1904, "provisioning failed", hclog.Warn, "Offers, instances or limits could not be read, or an order failed; the next round retries.")
)
