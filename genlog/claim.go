package genlog

import "time"

// claimRetention is how long a repeat under a key joins the first run: longer
// than the longest request and its retention.
const claimRetention = 10 * time.Minute

// claim is the first run under an idempotency key.
type claim struct {
	owner  Owner
	digest uint64
	at     time.Time
}

// Claim makes owner the first to run a request, or returns who is.
func (h *Holder) Claim(requestID string, digest uint64, owner Owner) (first Owner, firstDigest uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, known := h.claims[requestID]
	if !known || time.Since(c.at) > claimRetention {
		c = claim{owner: owner, digest: digest, at: time.Now()}
		h.claims[requestID] = c
	}
	return c.owner, c.digest
}

// Withdraw forgets a claim of a request that was not accepted.
func (h *Holder) Withdraw(requestID string, owner Owner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claims[requestID].owner == owner {
		delete(h.claims, requestID)
	}
}
