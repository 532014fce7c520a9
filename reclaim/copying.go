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

// copying is an owned request and what its holder has of it.
type copying struct {
	log *genlog.Log

	mu       sync.Mutex
	holder   membership.Member
	acked    genlog.Ack
	renewed  time.Time // when the last acknowledged message was sent
	failed   bool      // the last call to the holder failed
	placing  bool
	checked  *membership.View // in which the holder was seen to stay
	placedAt time.Time        // of the last try
	released bool             // this host leaves the request to its holder
	gone     chan struct{}    // closed once the holder knows that
}

// appendRequest is the progress of all requests with one holder.
type appendRequest struct {
	OwnerID  string            `cbor:"1,keyasint"`
	Progress []genlog.Progress `cbor:"2,keyasint"`
}

type appendAnswer struct {
	Acks []genlog.Ack `cbor:"1,keyasint"`
	// Leaving says that the holder is leaving: its owners choose another.
	Leaving bool `cbor:"2,keyasint"`
}

func (c *copying) placed(m membership.Member, ack genlog.Ack) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder, c.acked, c.renewed, c.failed = m, ack, time.Now(), false
	c.noteReleased()
}

func (c *copying) isReleased() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released
}

// noteReleased tells the waiting hand-off once the holder has everything.
func (c *copying) noteReleased() {
	if c.released && c.acked.Released && c.acked.Count == c.log.Count() {
		select {
		case <-c.gone:
		default:
			close(c.gone)
		}
	}
}

// next returns the progress to send now, if any.
func (c *copying) next(now time.Time) (genlog.Progress, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.log.ProgressFrom(c.acked.Count, c.acked.Attempt)
	p.Released = c.released
	due := now.Sub(c.renewed) >= renewInterval && p.State == genlog.StateRunning
	dirty := len(p.Sizes) > 0 || p.Attempt != nil || p.State != c.acked.State
	return p, dirty || due || c.released && !c.acked.Released
}

// finished says that nothing is left to copy.
func (c *copying) finished() bool {
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

// flush sends one message to each holder that has no call in flight.
func (k *Keeper) flush(ctx context.Context) {
	batches := map[string][]*copying{}
	view := k.Members.View()
	k.mu.Lock()
	for id, entry := range k.copying {
		if entry.finished() {
			delete(k.copying, id)
			continue
		}
		if k.needsHolder(entry, view) {
			go k.replace(ctx, entry)
		}
		if address := entry.address(); address != "" && !k.busy[address] {
			batches[address] = append(batches[address], entry)
		}
	}
	for address := range batches {
		k.busy[address] = true
	}
	k.mu.Unlock()
	for address, entries := range batches {
		go k.send(ctx, address, entries)
	}
}

func (c *copying) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.InnerAddress
}

func (k *Keeper) send(ctx context.Context, address string, entries []*copying) {
	defer func() {
		k.mu.Lock()
		delete(k.busy, address)
		k.mu.Unlock()
	}()
	sent := time.Now()
	request, included := appendRequest{OwnerID: k.Members.Self().ID}, []*copying{}
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

func (c *copying) fail(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder.InnerAddress == address {
		c.failed = true
	}
}

func (k *Keeper) acknowledge(entry *copying, address string, ack genlog.Ack, sent time.Time, leaving bool) {
	if ack.Status == genlog.AckFenced {
		k.fenced(entry.log)
		return
	}
	entry.mu.Lock()
	if entry.holder.InnerAddress != address {
		entry.mu.Unlock()
		return
	}
	entry.failed = ack.Status == genlog.AckUnknown || leaving
	if ack.Status == genlog.AckOK {
		entry.acked, entry.renewed = ack, sent
		entry.noteReleased()
	}
	entry.mu.Unlock()
	if ack.Status == genlog.AckOK {
		entry.log.Acknowledge(ack, sent.Add(genlog.LeaseTTL-clockMargin))
	}
}

// fenced stops a request that has a newer owner.
func (k *Keeper) fenced(log *genlog.Log) {
	Copies.Inc(labelFenced)
	events.RequestFenced.Log(k.Logger, "request", log.RequestID, "epoch", log.Epoch)
	log.Move()
}

// needsHolder says whether the copy has to go to another holder.
func (k *Keeper) needsHolder(entry *copying, view *membership.View) bool {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.placing || time.Since(entry.placedAt) < replaceInterval {
		return false
	}
	if !entry.failed && entry.checked == view {
		return false
	}
	entry.placing = entry.failed || leavingOrGone(entry.holder.ID, view)
	entry.checked = view
	if entry.placing {
		entry.placedAt, entry.checked = time.Now(), nil
	}
	return entry.placing
}

func leavingOrGone(id string, view *membership.View) bool {
	for _, m := range view.Members {
		if m.ID == id {
			return m.Leaving
		}
	}
	return true
}

// replace copies a request to another holder and drops the copy at the old one.
func (k *Keeper) replace(ctx context.Context, entry *copying) {
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

// drop tells a host that it is no longer the holder of an owned request.
func (k *Keeper) drop(ctx context.Context, log *genlog.Log, address string) {
	p := genlog.Progress{RequestID: log.RequestID, Epoch: log.Epoch, Dropped: true}
	request := appendRequest{OwnerID: k.owner().ID, Progress: []genlog.Progress{p}}
	if address == k.owner().InnerAddress {
		_, _ = k.serveAppend(ctx, request)
		return
	}
	_ = k.call(ctx, address, inner.KindJournalAppend, request, nil)
}
