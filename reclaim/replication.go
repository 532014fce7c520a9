package reclaim

import (
	"context"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
)

// replication tracks the copy of a request that this host owns. The holder is the host that stores
// the copy.
type replication struct {
	log *genlog.Log

	mu              sync.Mutex
	holder          membership.Member
	acked           genlog.Ack
	renewedAt       time.Time // send time of the last acknowledged message
	failed          bool      // the last call to the copy holder failed
	placing         bool
	checkedView     *membership.View // last view in which the copy holder was present and not leaving
	lastPlacementAt time.Time        // time of the last attempt to replace the copy holder
	released        bool             // whether this host hands the request over to the copy holder
	handedOver      chan struct{}    // closed once the copy holder has acknowledged the hand-over
}

// appendRequest carries the progress of all requests that one owner copies to one other host.
type appendRequest struct {
	OwnerID  string            `cbor:"1,keyasint"`
	Progress []genlog.Progress `cbor:"2,keyasint"`
}

type appendAnswer struct {
	Acks []genlog.Ack `cbor:"1,keyasint"`
	// Leaving reports that the copy holder is leaving, so that owners choose another one.
	Leaving bool `cbor:"2,keyasint"`
}

// recordPlacement records the host that stores a newly created copy, and its acknowledgement.
func (c *replication) recordPlacement(m membership.Member, ack genlog.Ack) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder, c.acked, c.renewedAt, c.failed = m, ack, time.Now(), false
	c.signalHandedOver()
}

func (c *replication) isReleased() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released
}

// signalHandedOver closes the handedOver channel once the copy holder has acknowledged the
// hand-over and every token. The caller holds c.mu.
func (c *replication) signalHandedOver() {
	if c.released && c.acked.Released && c.acked.Count == c.log.Count() {
		select {
		case <-c.handedOver:
		default:
			close(c.handedOver)
		}
	}
}

// next returns the progress that the copy holder lacks, and whether a message is due: there is
// progress, or the lease needs renewal.
func (c *replication) next(now time.Time) (genlog.Progress, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.log.ProgressFrom(c.acked.Count, c.acked.Attempt)
	p.Released = c.released
	due := now.Sub(c.renewedAt) >= renewInterval && p.State == genlog.StateRunning
	dirty := len(p.Sizes) > 0 || p.Attempt != nil || p.State != c.acked.State
	return p, dirty || due || c.released && !c.acked.Released
}

// finished reports whether the copy holder has acknowledged the final state of the request.
func (c *replication) finished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state := c.log.State(); state {
	case genlog.StateRunning:
		return false
	case genlog.StateMoved:
		return !c.released || c.acked.Released
	default:
		return c.acked.State == state
	}
}

// flush sends pending progress to each copy holder without a call in flight, in one message per
// holder, and starts the replacement of failed or leaving copy holders.
func (k *Keeper) flush(ctx context.Context) {
	batches := map[string][]*replication{}
	view := k.Members.View()
	k.mu.Lock()
	for id, entry := range k.replications {
		if entry.finished() {
			delete(k.replications, id)
			continue
		}
		if k.needsHolder(entry, view) {
			go k.replace(ctx, entry)
		}
		if address := entry.address(); address != "" && !k.inFlight[address] {
			batches[address] = append(batches[address], entry)
		}
	}
	for address := range batches {
		k.inFlight[address] = true
	}
	k.mu.Unlock()
	for address, entries := range batches {
		go k.send(ctx, address, entries)
	}
}

func (c *replication) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.InnerAddress
}

// send sends the due progress of the entries in one message to the copy holder at address, and
// processes its acknowledgements.
func (k *Keeper) send(ctx context.Context, address string, entries []*replication) {
	defer func() {
		k.mu.Lock()
		delete(k.inFlight, address)
		k.mu.Unlock()
	}()
	sent := time.Now()
	request, included := appendRequest{OwnerID: k.Members.Self().ID}, []*replication{}
	for _, entry := range entries {
		if p, due := entry.next(sent); due {
			request.Progress = append(request.Progress, p)
			included = append(included, entry)
			CopyBytes.Add(labelAppend, int64(len(p.Text)))
		}
	}
	if len(included) == 0 {
		return
	}
	var answer appendAnswer
	err := k.call(ctx, address, inner.KindJournalAppend, request, &answer)
	if err != nil {
		Copies.Inc(labelSendFailed)
	}
	for i, entry := range included {
		if err != nil || len(answer.Acks) != len(included) {
			entry.fail(address)
			continue
		}
		k.acknowledge(entry, address, answer.Acks[i], sent, answer.Leaving)
	}
}

// fail records a failed call to the copy holder at address, unless another one has replaced it.
func (c *replication) fail(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder.InnerAddress == address {
		c.failed = true
	}
}

// acknowledge applies a copy holder's answer to a message that was sent at the given time. It
// ignores the answer of a copy holder that has been replaced.
func (k *Keeper) acknowledge(entry *replication, address string, ack genlog.Ack, sent time.Time, leaving bool) {
	if ack.Status == genlog.AckFenced {
		k.fence(entry.log)
		return
	}
	entry.mu.Lock()
	if entry.holder.InnerAddress != address {
		entry.mu.Unlock()
		return
	}
	entry.failed = ack.Status == genlog.AckUnknown || leaving
	if ack.Status == genlog.AckOK {
		entry.acked, entry.renewedAt = ack, sent
		entry.signalHandedOver()
	}
	entry.mu.Unlock()
	if ack.Status == genlog.AckOK {
		entry.log.Acknowledge(ack, sent.Add(genlog.LeaseTTL-clockMargin))
	}
}

// fence stops the local run of a request that a newer owner has taken over.
func (k *Keeper) fence(log *genlog.Log) {
	Copies.Inc(labelFenced)
	events.RequestFenced.Log(k.Logger, "request", log.RequestID, "epoch", log.Epoch)
	log.Move()
}

// needsHolder reports whether a request's copy must move to another host now, and if so marks the
// placement as in progress.
func (k *Keeper) needsHolder(entry *replication, view *membership.View) bool {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.placing || time.Since(entry.lastPlacementAt) < replaceInterval {
		return false
	}
	if !entry.failed && entry.checkedView == view {
		return false
	}
	entry.placing = entry.failed || leavingOrAbsent(entry.holder.ID, view)
	entry.checkedView = view
	if entry.placing {
		entry.lastPlacementAt, entry.checkedView = time.Now(), nil
	}
	return entry.placing
}

// leavingOrAbsent reports whether a member is leaving or missing from the view.
func leavingOrAbsent(id string, view *membership.View) bool {
	for _, m := range view.Members {
		if m.ID == id {
			return m.Leaving
		}
	}
	return true
}

// replace copies a request to another host and drops the copy at the previous one.
func (k *Keeper) replace(ctx context.Context, entry *replication) {
	entry.mu.Lock()
	old := entry.holder
	entry.mu.Unlock()
	defer func() {
		entry.mu.Lock()
		entry.placing = false
		entry.mu.Unlock()
	}()
	candidates := []membership.Member{}
	for _, m := range genlog.Holders(entry.log.RequestID, k.Members.Self(), k.Members.View().Members) {
		if m.ID != old.ID {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) < maxPlaceTries && old.ID != "" {
		candidates = append(candidates, old)
	}
	if !k.placeAt(ctx, entry, candidates) || old.ID == "" || entry.address() == old.InnerAddress {
		return
	}
	Copies.Inc(labelReplaced)
	k.drop(ctx, entry.log, old.InnerAddress)
}

// drop makes the host at address discard its copy of a request that this host owns.
func (k *Keeper) drop(ctx context.Context, log *genlog.Log, address string) {
	p := genlog.Progress{RequestID: log.RequestID, Epoch: log.Epoch, Dropped: true}
	request := appendRequest{OwnerID: k.owner().ID, Progress: []genlog.Progress{p}}
	if address == k.owner().InnerAddress {
		_, _ = k.serveAppend(ctx, request)
		return
	}
	_ = k.call(ctx, address, inner.KindJournalAppend, request, nil)
}
