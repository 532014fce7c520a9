// Package quarantine identifies content that crashes the upstreams that run it.
//
// EvidenceSet judges whole requests by the digest of their content, for requests that are
// tried one at a time. Entry hosts share its evidence as a set that only grows until
// entries expire, so it can be merged in any order. Tracker judges parts of requests, which
// other requests may share: it derives from the crashes that all hosts report the content that
// explains them. Persister keeps its verdicts in the key-value service.
//
// Apart from Persister the package reads no clock; callers pass the time. Callers add evidence
// only for upstreams that ended without notice, so that a reclaimed upstream does not count as
// crashed.
package quarantine

import (
	"sync"
	"time"
)

// Verdict determines whether and where a request may run.
type Verdict string

// The possible verdicts on a request.
const (
	// VerdictClear means that no evidence counts against the request; it may run anywhere.
	VerdictClear Verdict = "clear"
	// VerdictSuspect means that an upstream crashed while it ran the request. The request may run
	// only on trial: at an upstream that runs no other suspect.
	VerdictSuspect Verdict = "suspect"
	// VerdictQuarantined means that an upstream crashed while the request was its only suspect.
	// The request must not run.
	VerdictQuarantined Verdict = "quarantined"
)

const (
	// Expiry is how long a piece of evidence counts.
	Expiry = 10 * time.Minute
	// TrialTokens is the number of tokens that a suspect request must produce beyond its last crash
	// to be cleared.
	TrialTokens = 8
)

// Evidence records that an upstream ended without notice while it ran a request, or that a suspect
// request was cleared.
type Evidence struct {
	Digest   uint64    `cbor:"1,keyasint"`
	Upstream string    `cbor:"2,keyasint"`
	At       time.Time `cbor:"3,keyasint"`
	// Trial reports that the request was the only suspect at the upstream.
	Trial bool `cbor:"4,keyasint,omitempty"`
	// Cleared reports that the request passed its trial: evidence from before At no longer makes
	// the request a suspect.
	Cleared bool `cbor:"5,keyasint,omitempty"`
}

// EvidenceSet holds the crash evidence known to an entry host. The zero value is ready to use.
type EvidenceSet struct {
	mu      sync.RWMutex
	records map[uint64]*record
}

// record is the evidence against one request digest.
type record struct {
	crashes   map[string]Evidence // newest crash evidence by upstream
	clearedAt time.Time
	newest    time.Time
}

// Add merges evidence from this or another entry host. Evidence may arrive late, twice and in any
// order. Add returns the verdict on the request before and after the merge, so that the caller can
// count each change of the verdict once.
func (b *EvidenceSet) Add(e Evidence) (before, after Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before = b.verdict(e.At, e.Digest)
	b.merge(e)
	return before, b.verdict(e.At, e.Digest)
}

// merge adds evidence to the record of its request. The caller holds b.mu for writing.
func (b *EvidenceSet) merge(e Evidence) {
	if b.records == nil {
		b.records = map[uint64]*record{}
	}
	r := b.records[e.Digest]
	if r == nil {
		r = &record{crashes: map[string]Evidence{}}
		b.records[e.Digest] = r
	}
	if e.At.After(r.newest) {
		r.newest = e.At
	}
	if e.Cleared {
		if e.At.After(r.clearedAt) {
			r.clearedAt = e.At
		}
		return
	}
	known, ok := r.crashes[e.Upstream]
	if !ok || e.At.After(known.At) || (e.At.Equal(known.At) && e.Trial) {
		r.crashes[e.Upstream] = e
	}
}

// Verdict returns the verdict on the request with the given digest at time now.
func (b *EvidenceSet) Verdict(now time.Time, digest uint64) Verdict {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.verdict(now, digest)
}

// verdict implements Verdict. The caller holds b.mu.
func (b *EvidenceSet) verdict(now time.Time, digest uint64) Verdict {
	r := b.records[digest]
	if r == nil {
		return VerdictClear
	}
	verdict := VerdictClear
	for _, e := range r.crashes {
		if now.Sub(e.At) >= Expiry {
			continue
		}
		if e.Trial {
			return VerdictQuarantined
		}
		if e.At.After(r.clearedAt) {
			verdict = VerdictSuspect
		}
	}
	return verdict
}

// RemoveExpired removes the records whose newest evidence has expired.
func (b *EvidenceSet) RemoveExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for digest, r := range b.records {
		if now.Sub(r.newest) >= Expiry {
			delete(b.records, digest)
		}
	}
}
