package reclaim

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/inner"
)

// BeginDrain begins this host's planned stop. From then on, a caller can read a token only once
// another host has a copy of it, and the owners of the copies on this host move them to other hosts.
func (k *Keeper) BeginDrain() {
	k.leaving.Store(true)
	for _, log := range k.Logs.Running() {
		log.RequireAckBeforeRead()
	}
}

// HandOver releases the running requests to the hosts that hold their copies, which resume them. It
// returns the number of requests not handed over before ctx ended; these have no complete copy.
func (k *Keeper) HandOver(ctx context.Context) int {
	k.mu.Lock()
	entries := make([]*replication, 0, len(k.replications))
	for _, entry := range k.replications {
		if entry.log.State() == genlog.StateRunning {
			entries = append(entries, entry)
		}
	}
	k.mu.Unlock()
	for _, entry := range entries {
		entry.release()
	}
	k.FlushNow()
	remaining := 0
	for _, entry := range entries {
		select {
		case <-entry.handedOver:
			events.RequestHandedOver.Log(k.Logger, "request", entry.log.RequestID, "tokens", entry.log.Count())
		case <-ctx.Done():
			remaining++
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, entry := range entries {
		delete(k.replications, entry.log.RequestID)
	}
	return remaining
}

// release stops the local run of a request and marks the request for hand-over to the copy holder.
func (c *replication) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released, c.handedOver = true, make(chan struct{})
	c.log.Move()
}

// MoveHeldCopies waits until the owners of the copies on this host have copied their requests
// elsewhere. After genlog.LeaseTTL, it sends the remaining copies to other members itself.
func (k *Keeper) MoveHeldCopies(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(genlog.LeaseTTL); time.Now().Before(deadline); {
		if len(k.Holder.Running()) == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	self := k.Members.Self()
	for _, c := range k.Holder.Running() {
		for _, m := range genlog.Holders(c.Record.RequestID, self, k.Members.View().Members) {
			if m.ID != c.Owner.ID && k.call(ctx, m.InnerAddress, inner.KindJournalCreate, c, nil) == nil {
				break
			}
		}
	}
}
