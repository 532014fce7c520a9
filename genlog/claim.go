package genlog

import "time"

// claimRetention is how long a repeat with the same idempotency key joins the first run. It exceeds
// the duration of the longest request plus the retention of its log.
const claimRetention = 10 * time.Minute

// claim records which host was the first to run a request with a given idempotency key.
type claim struct {
	owner     Owner
	digest    uint64
	claimedAt time.Time
}

// Claim records owner as the first host to run a request, unless another host has claimed it within
// claimRetention (10 min). It returns the recorded owner and the digest of that owner's request.
func (h *Holder) Claim(requestID string, digest uint64, owner Owner) (first Owner, firstDigest uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, known := h.claims[requestID]
	if !known || time.Since(c.claimedAt) > claimRetention {
		c = claim{owner: owner, digest: digest, claimedAt: time.Now()}
		h.claims[requestID] = c
	}
	return c.owner, c.digest
}

// Withdraw deletes the claim of owner to a request that was not accepted.
func (h *Holder) Withdraw(requestID string, owner Owner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claims[requestID].owner == owner {
		delete(h.claims, requestID)
	}
}
