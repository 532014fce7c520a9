package gossip

// digest announces an item without its value.
type digest struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Owner   string `cbor:"3,keyasint,omitempty"`
}

// push carries new items to a neighbour: small ones whole, large ones by digest.
type push struct {
	// From is the sender's inner address, where large values are pulled.
	From      string   `cbor:"1,keyasint"`
	Items     []Item   `cbor:"2,keyasint,omitempty"`
	Announced []digest `cbor:"3,keyasint,omitempty"`
}

// pullRequest asks for items by name.
type pullRequest struct {
	Names []string `cbor:"1,keyasint"`
}

// pullReply holds the items that the peer has; large replies are cut short.
type pullReply struct {
	Items []Item `cbor:"1,keyasint"`
}

// diffRequest starts anti-entropy: one hash for each bucket of names, or,
// with Buckets set, the digests in those buckets.
type diffRequest struct {
	From    string   `cbor:"1,keyasint"`
	Hashes  []uint64 `cbor:"2,keyasint,omitempty"`
	Buckets []int    `cbor:"3,keyasint,omitempty"`
	Digests []digest `cbor:"4,keyasint,omitempty"`
}

// diffReply names the buckets that differ, or answers digests: the peer's
// newer ones, and the names that the peer wants.
type diffReply struct {
	Buckets []int    `cbor:"1,keyasint,omitempty"`
	Newer   []digest `cbor:"2,keyasint,omitempty"`
	Wanted  []string `cbor:"3,keyasint,omitempty"`
}
