package events

import "github.com/hashicorp/go-hclog"

// The events of the configuration have the numbers 1200 to 1299.
var (
	ConfigInForce      = define(1200, "configuration in force", hclog.Info, "This host has put a newer revision of the configuration in force.")
	ConfigReadFailed   = define(1201, "configuration read failed", hclog.Warn, "The configuration could not be read; the current revision remains in force.")
	ConfigOlderIgnored = define(1202, "older configuration ignored", hclog.Warn, "A source offered a revision older than the one in force.")
	ConfigCorrupt      = define(1203, "configuration corrupt", hclog.Error, "A source offered a configuration that cannot be decoded; the current revision remains in force.")
	ConfigNone         = define(1204, "no configuration known", hclog.Warn, "No configuration has been read yet from the platform or from a peer; the host is not ready.")
)
