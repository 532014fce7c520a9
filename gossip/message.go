package gossip

// digest announces the name and version of an item without its value.
type digest struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Owner   string `cbor:"3,keyasint,omitempty"`
}

// push is a message with new items for a neighbour: small items are included whole, large ones only
// as digests (name and version).
type push struct {
	// From is the sender's inner address (for traffic between hosts), from which large values are
	// pulled.
	From      string   `cbor:"1,keyasint"`
	Items     []Item   `cbor:"2,keyasint,omitempty"`
	Announced []digest `cbor:"3,keyasint,omitempty"`
}

// pullRequest requests items by name.
type pullRequest struct {
	Names []string `cbor:"1,keyasint"`
}

// pullReply holds those of the requested items that the peer has; items beyond the maximum size of
// a reply are omitted.
type pullReply struct {
	Items []Item `cbor:"1,keyasint"`
}

// diffRequest compares the sender's table with the receiver's (anti-entropy). It holds either one hash
// for each bucket of names or, if Buckets is set, the digests of the items in those buckets.
type diffRequest struct {
	From    string   `cbor:"1,keyasint"`
	Hashes  []uint64 `cbor:"2,keyasint,omitempty"`
	Buckets []int    `cbor:"3,keyasint,omitempty"`
	Digests []digest `cbor:"4,keyasint,omitempty"`
}

// diffReply answers a diffRequest: for hashes it holds Buckets, for digests Newer and Wanted.
type diffReply struct {
	// Buckets lists the buckets whose hashes differ.
	Buckets []int `cbor:"1,keyasint,omitempty"`
	// Newer lists the items of which the peer has a newer version.
	Newer []digest `cbor:"2,keyasint,omitempty"`
	// Wanted lists the items of which the peer requests the sender's newer version.
	Wanted []string `cbor:"3,keyasint,omitempty"`
}
