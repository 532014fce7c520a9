package membership

// probe is a liveness check of a member. It also carries the version that
// the sender holds of that member's record.
type probe struct {
	// To is the id of the probed member; its address may since have been
	// reassigned to another host.
	To string `cbor:"1,keyasint"`
	// ToVersion is the version of the sender's record of the member To.
	ToVersion uint64 `cbor:"2,keyasint,omitempty"`
	From      string `cbor:"3,keyasint,omitempty"`
}

// probeReply answers a probe. FromVersion is the version that the probed member
// holds of the sender's record.
type probeReply struct {
	ID          string `cbor:"1,keyasint"`
	FromVersion uint64 `cbor:"2,keyasint,omitempty"`
}

// probeVia is a request to probe another member, To, on behalf of the sender.
type probeVia struct {
	To      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

// probeViaReply reports whether the member to be probed answered.
type probeViaReply struct {
	Answered bool `cbor:"1,keyasint"`
}
