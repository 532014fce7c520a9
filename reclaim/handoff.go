package reclaim

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/inner"
)

// Leave begins the host's planned stop: every token is copied before a caller
// sees it, and owners that have copies here choose another holder.
func (k *Keeper) Leave() {
	k.leaving.Store(true)
	for _, log := range k.Logs.Running() {
		log.CopyFirst()
	}
}

// HandOver leaves the running requests to their holders, which carry them on.
// It returns the number of requests that could not be handed over before ctx
// ended; they have no copy.
func (k *Keeper) HandOver(ctx context.Context) int {
	k.mu.Lock()
	entries := make([]*copying, 0, len(k.copying))
	for _, entry := range k.copying {
		if entry.log.State() == genlog.StateRunning {
			entries = append(entries, entry)
		}
	}
	k.mu.Unlock()
	for _, entry := range entries {
		entry.release()
	}
	k.Kick()
	left := 0
	for _, entry := range entries {
		select {
		case <-entry.gone:
			events.RequestHandedOver.Log(k.Logger, "request", entry.log.RequestID, "tokens", entry.log.Count())
		case <-ctx.Done():
			left++
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, entry := range entries {
		delete(k.copying, entry.log.RequestID)
	}
	return left
}

// release stops the request here and lets the holder have it.
func (c *copying) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released, c.gone = true, make(chan struct{})
	c.log.Move()
}

// AwaitCopiesMoved waits until the owners of the copies that are held here
// have chosen other holders, and passes on the copies of those that do not.
func (k *Keeper) AwaitCopiesMoved(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for patience := time.Now().Add(genlog.LeaseTTL); time.Now().Before(patience); {
		if len(k.Holder.Growing()) == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	self := k.Members.Self()
	for _, c := range k.Holder.Growing() {
		for _, m := range genlog.Holders(c.Record.RequestID, self, k.Members.View().Members) {
			if m.ID != c.Owner.ID && k.call(ctx, m.InnerAddress, inner.KindJournalCreate, c, nil) == nil {
				break
			}
		}
	}
}
