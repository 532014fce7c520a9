package events

import "github.com/hashicorp/go-hclog"

// Events of provisioning: 1900 to 1999.
var (
	HostStarted        = define(1900, "host started", hclog.Info, "A host was bought in the market given.")
	HostStartRefused   = define(1901, "host start refused", hclog.Warn, "The market has no host to give; it is left out for a while.")
	HostStopped        = define(1902, "host stopped", hclog.Info, "A host that is not needed was ended.")
	HostsReclaimed     = define(1903, "hosts reclaimed", hclog.Warn, "Hosts of a market got a reclaim notice.")
	ProvisioningFailed = define(1904, "provisioning failed", hclog.Warn, "Offers, instances or an order failed; the next round tries again.")
)
