// Package gossip replicates versioned values between entry hosts, the hosts
// that accept client requests. Each host stores the newest version of a name
// and ignores older and equal ones, so that repeated and late messages are
// harmless.
//
// Small values are pushed to the neighbours of a host; large ones are announced
// by name and version and pulled by hosts that lack them. Anti-entropy, a
// periodic comparison with one neighbour, repairs lost updates.
//
// Package membership selects the neighbours. Data that must survive the loss of
// all entry hosts belongs in the key-value service.
package gossip
