package events

import "github.com/hashicorp/go-hclog"

// Events of the configuration: 1200 to 1299.
var (
	ConfigInForce      = define(1200, "configuration in force", hclog.Info, "A newer revision is used from now on.")
	ConfigReadFailed   = define(1201, "configuration read failed", hclog.Warn, "The configuration could not be read; the last revision stays.")
	ConfigOlderIgnored = define(1202, "older configuration ignored", hclog.Warn, "A source offered a revision older than the one in force.")
	ConfigCorrupt      = define(1203, "configuration corrupt", hclog.Error, "A source offered a configuration that cannot be decoded; the last revision stays.")
	ConfigNone         = define(1204, "no configuration known", hclog.Warn, "Neither the platform nor a peer has given a configuration yet; the host is not ready.")
)
