// Package membership knows the entry hosts: their addresses, failure domains
// and states.
//
// Each host probes its successors on a few rings of all members; a host that
// does not answer, directly or by way of others, is suspected and, after
// suspicionTimeout, declared dead. A member's record is a versioned value of
// package gossip: the member itself raises its incarnation to refute what
// others say of it. Time in which this host was paused does not count.
//
// The key-value service holds one small list of seeds, kept by few members.
package membership
