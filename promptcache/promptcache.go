// Package promptcache estimates which prompt prefixes the upstreams hold in their prompt
// caches. It does no I/O. Package routing weighs what is held against the wait at the upstream.
//
// A prefix is held at one run of an upstream; a restarted upstream holds nothing. The
// estimate follows the requests that this host sent and those that other hosts reported.
// Entries age by the tokens that the upstream has read since their last use, so that the
// least recently used ones are evicted first when the upstream's memory is full.
package promptcache

// MaxParts is the maximum number of shared parts of a prompt that are tracked. Later parts
// count as not shared.
const MaxParts = 16

// Part is one part of a prompt.
type Part struct {
	// Digest identifies the part's text.
	Digest uint64
	Tokens int
}

// Link is the prefix of a prompt that ends with one of its parts.
type Link struct {
	// Digest identifies the prefix: this part and all parts before it.
	Digest uint64 `cbor:"1,keyasint"`
	// Tokens is the size of the last part of the prefix.
	Tokens int `cbor:"2,keyasint"`
}

// Chain holds the prefixes of a prompt, shortest first. Each is one part longer than the one
// before.
type Chain []Link

// NewChain returns the chain of a prompt's shared parts.
func NewChain(shared []Part) Chain {
	shared = shared[:min(len(shared), MaxParts)]
	const prime = 1099511628211 // 64-bit FNV-1a prime
	digest := uint64(14695981039346656037)
	chain := make(Chain, 0, len(shared))
	for _, part := range shared {
		digest = (digest ^ part.Digest) * prime
		chain = append(chain, Link{Digest: digest, Tokens: max(0, part.Tokens)})
	}
	return chain
}

// Tokens returns the number of tokens of the longest prefix.
func (c Chain) Tokens() int {
	total := 0
	for _, l := range c {
		total += l.Tokens
	}
	return total
}

// Run identifies one run of an upstream's process.
type Run struct {
	ID string
	// StartedMS is the start of the run in Unix milliseconds.
	StartedMS int64
}
