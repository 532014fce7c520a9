// Package gossip spreads versioned values between entry hosts. The newest
// version of a name wins on every host; a value with a version that is already
// known is ignored, so that repeated and late messages do no harm.
//
// Small values are pushed along the neighbours that the membership gives;
// large ones are announced by name and version and pulled by hosts that lack
// them. Anti-entropy with one neighbour at a time repairs what was lost.
//
// It leaves the choice of neighbours to package membership, and anything that
// must outlive all entry hosts to the key-value service.
package gossip
