// Package membership detects which entry hosts exist and spreads their
// addresses, failure domains and states to all entry hosts.
//
// Each host probes its successors on a few hash rings of all members. A host
// that answers neither direct probes nor probes through other hosts is marked
// suspect and, after suspicionTimeout, declared dead. Each member's record is a
// versioned value that package gossip spreads. A member raises the incarnation
// in its record to refute a suspect or dead state set by other hosts. Time in
// which this host was paused does not count towards the timeouts.
//
// The key-value service stores one small list of seeds, through which a new
// host joins. A few members maintain that list.
package membership
