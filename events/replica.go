package events

import "github.com/hashicorp/go-hclog"

// The events of this host's copies of the key-value service's data have the numbers 2000 to
// 2019.
var (
	ReplicaLost     = define(2000, "replica source lost", hclog.Warn, "The key-value service does not answer this host; its copy stays in use, and newer copies are read from peers.")
	ReplicaRegained = define(2001, "replica source regained", hclog.Info, "The key-value service answers this host again.")
	ReplicaPlace    = define(2003, "replica place changed", hclog.Info, "This host now reads changes from other entry hosts than before, or directly from the key-value service (depth 0).")
	ReplicaPanic    = define(2004, "replica subscriber panicked", hclog.Error, "A subscriber panicked on a new value from the key-value service, a fault of this program; the result of the previous value stays in use.")
	InnerPanic      = define(2005, "message handler panicked", hclog.Error, "A handler panicked on a message of another entry host, a fault of this program; the call failed and the process continues.")
	StoreEra        = define(2006, "store era changed", hclog.Warn, "The key-value service has come back from an older copy of itself: what was written there since the copy is lost until its writers write it again.")
	ReplicaRetained = define(2007, "replica value retained", hclog.Info, "The key-value service has an older or unreadable value, or none, where this host has a value in force; the copy keeps the latter.")
	ReplicaFromPeer = define(2002, "replica read from peer", hclog.Info, "This host cannot read the key-value service and has copied newer data from a peer.")
)
