package membership

// probe asks a member whether it is there, and tells it what is known of it.
type probe struct {
	// To is the id of the member that is asked; another host may have got its
	// address.
	To string `cbor:"1,keyasint"`
	// ToVersion is the record version of To that the sender knows.
	ToVersion uint64 `cbor:"2,keyasint,omitempty"`
	From      string `cbor:"3,keyasint,omitempty"`
}

// probeReply tells the sender what the member knows of it.
type probeReply struct {
	ID          string `cbor:"1,keyasint"`
	FromVersion uint64 `cbor:"2,keyasint,omitempty"`
}

// probeVia asks a member to probe another one.
type probeVia struct {
	To      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

type probeViaReply struct {
	Answered bool `cbor:"1,keyasint"`
}
