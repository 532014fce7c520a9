package events

import "github.com/hashicorp/go-hclog"

// Events of copies of the key-value service: 2000 to 2019.
var (
	ReplicaLost     = define(2000, "replica source lost", hclog.Warn, "The key-value service does not answer this host; the copy stays and peers are asked.")
	ReplicaRegained = define(2001, "replica source regained", hclog.Info, "The key-value service answers this host again.")
	ReplicaPlace    = define(2003, "replica place changed", hclog.Info, "This host follows other hosts than before, or reads the key-value service itself (depth 0).")
	ReplicaPanic    = define(2004, "replica subscriber panicked", hclog.Error, "A value from the key-value service could not be used for a fault of this program; what was made of the one before stays.")
	InnerPanic      = define(2005, "message handler panicked", hclog.Error, "A message of another entry host could not be handled for a fault of this program; its call failed, the process goes on.")
	ReplicaFromPeer = define(2002, "replica read from peer", hclog.Info, "A peer had a newer copy than this host, which cannot read the service itself.")
)
