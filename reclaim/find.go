package reclaim

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/inner"
)

const (
	// findTimeout bounds the search for a request whose owner may be gone: a
	// lease must lapse before another host takes over.
	findTimeout = 3 * genlog.LeaseTTL
	findPause   = 100 * time.Millisecond
	// claimWait is how long a repeat waits for the first run to be accepted.
	claimWait = time.Second
)

// Find returns the log of a request that any entry host accepted: its own
// here, or one that follows the owner's. It takes the request over when its
// owner is gone.
func (k *Keeper) Find(ctx context.Context, requestID string) (*genlog.Log, bool) {
	return k.find(ctx, requestID, maxLookups)
}

// find asks up to the given number of members in the request's order.
func (k *Keeper) find(ctx context.Context, requestID string, lookups int) (*genlog.Log, bool) {
	local, ok := k.Logs.Get(requestID)
	ok = ok && local.State() != genlog.StateMoved
	if ok && local.State() != genlog.StateFailed {
		return local, true
	}
	if log, ok := k.mirror(requestID); ok {
		return log, true
	}
	best := k.lookup(ctx, requestID, lookups)
	switch {
	case !best.Known:
		return nil, false
	case ok && best.Epoch <= local.Epoch:
		return local, true
	case ok: // a repeat carries the failed run on elsewhere
		k.Logs.Remove(local)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if log, ok := k.mirrors[requestID]; ok {
		return log, true
	}
	log := genlog.NewLog(best.Record)
	log.Epoch = best.Epoch
	k.mirrors[requestID] = log
	go k.follow(log, best)
	return log, true
}

func (k *Keeper) mirror(requestID string) (*genlog.Log, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	log, ok := k.mirrors[requestID]
	return log, ok
}

// lookup asks the members that may know a request, and the owner that they
// name. The highest epoch wins, and its owner before its holder.
func (k *Keeper) lookup(ctx context.Context, requestID string, lookups int) lookupAnswer {
	self := k.Members.Self()
	best := k.lookHere(requestID)
	best.address = self.InnerAddress
	ranked := genlog.Rank(requestID, k.Members.View().Members)
	ranked = ranked[:min(lookups, len(ranked))]
	answers := make(chan lookupAnswer, len(ranked))
	for _, m := range ranked {
		go func() { answers <- k.ask(ctx, m.InnerAddress, requestID) }()
	}
	for range ranked {
		best = better(best, <-answers)
		if best.Owned && best.State != genlog.StateFailed {
			return best
		}
	}
	if best.Known && best.State == genlog.StateRunning && best.Owner.ID != self.ID {
		best = better(best, k.ask(ctx, best.Owner.InnerAddress, requestID))
	}
	return best
}

func (k *Keeper) ask(ctx context.Context, address, requestID string) lookupAnswer {
	if address == k.Members.Self().InnerAddress {
		return lookupAnswer{}
	}
	var answer lookupAnswer
	if k.call(ctx, address, inner.KindJournalLookup, lookupRequest{RequestID: requestID}, &answer) != nil {
		return lookupAnswer{}
	}
	answer.address = address
	return answer
}

func better(a, b lookupAnswer) lookupAnswer {
	switch {
	case !b.Known:
		return a
	case !a.Known, b.Epoch > a.Epoch:
		return b
	case b.Epoch == a.Epoch && (b.Owned && !a.Owned || b.Owned == a.Owned && b.Count > a.Count):
		return b
	}
	return a
}

// follow fills a mirror from the request's owner, wherever it is, until the
// answer ends or the request is lost.
func (k *Keeper) follow(mirror *genlog.Log, from lookupAnswer) {
	ctx, cancel := context.WithDeadline(context.Background(), mirror.Deadline.Add(findTimeout))
	defer cancel()
	defer k.forget(mirror)
	for lostAt := time.Now().Add(findTimeout); mirror.State() == genlog.StateRunning; {
		if k.followOnce(ctx, mirror, from) {
			lostAt = time.Now().Add(findTimeout)
		}
		if mirror.State() != genlog.StateRunning {
			return
		}
		if time.Now().After(lostAt) || ctx.Err() != nil {
			TakeOvers.Inc(labelLost)
			lost := apierr.New(apierr.CodeRequestLost, "the request's owner and its copy are gone")
			mirror.Fail(lost.WithRan(apierr.RanUnknown).WithRetryAfter(notReadyWait))
			return
		}
		time.Sleep(findPause)
		from = k.lookup(ctx, mirror.RequestID, maxLookups)
	}
}

func (k *Keeper) forget(mirror *genlog.Log) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.mirrors, mirror.RequestID)
}

// followOnce reads from one place until that fails or ends. It says whether
// there was something to read.
func (k *Keeper) followOnce(ctx context.Context, mirror *genlog.Log, from lookupAnswer) bool {
	if log, ok := k.Logs.Get(mirror.RequestID); ok && log.State() != genlog.StateMoved {
		k.followLocal(ctx, mirror, log)
		return true
	}
	if !from.Known {
		return false
	}
	if !from.Owned && from.State == genlog.StateRunning {
		k.takeOver(ctx, from, labelCaller)
		return false
	}
	if from.address == k.Members.Self().InnerAddress {
		c, ok := k.Holder.Get(mirror.RequestID)
		if ok {
			k.followLocal(ctx, mirror, genlog.NewLogFromCopy(c))
		}
		return ok
	}
	for read := false; ; read = true {
		var p genlog.Progress
		request := readRequest{RequestID: mirror.RequestID, Epoch: from.Epoch, From: mirror.Count()}
		if k.call(ctx, from.address, inner.KindJournalRead, request, &p) != nil || !take(mirror, p) {
			return read
		}
		if mirror.State() != genlog.StateRunning {
			return true
		}
	}
}

// followLocal fills a mirror from a log in this process.
func (k *Keeper) followLocal(ctx context.Context, mirror, log *genlog.Log) {
	for mirror.State() == genlog.StateRunning {
		from := mirror.Count()
		chunk, err := log.Read(ctx, from)
		if err != nil {
			return
		}
		p := genlog.Progress{From: from, Text: chunk.Text(), State: chunk.State, Branches: log.Branches()}
		p.Failed = genlog.FailureOf(chunk.Failed)
		for i := range chunk.Len() {
			p.Sizes = append(p.Sizes, uint32(len(chunk.Token(i))))
		}
		if !take(mirror, p) {
			return
		}
	}
}

// take adds progress to a mirror; it returns false when the request moved or
// its text does not continue the mirror's.
func take(mirror *genlog.Log, p genlog.Progress) bool {
	seen := uint64(0)
	if branches := mirror.Branches(); len(branches) > 0 {
		seen = branches[len(branches)-1].Epoch
	}
	if len(p.Branches) > 0 {
		previous := mirror.Branches()
		mirror.SetBranches(p.Branches)
		if mirror.Count() > 0 && !mirror.Extends(seen, mirror.Count()) {
			mirror.SetBranches(previous)
			lost := apierr.New(apierr.CodeRequestLost, "the text that was shown is lost").WithRan(apierr.RanUnknown)
			mirror.Fail(lost)
			return false
		}
	}
	offset := uint32(0)
	for i, size := range p.Sizes {
		mirror.Append(0, p.From+i, string(p.Text[offset:offset+size]))
		offset += size
	}
	switch p.State {
	case genlog.StateDone:
		mirror.Finish()
	case genlog.StateFailed:
		mirror.Fail(p.Failed.APIError())
	case genlog.StateMoved:
		return false
	}
	return true
}

// takeOver makes this host the owner of a request whose owner is gone.
func (k *Keeper) takeOver(ctx context.Context, from lookupAnswer, reason string) {
	id := from.Record.RequestID
	if k.leaving.Load() || !k.beginTaking(id) {
		return
	}
	defer k.endTaking(id)
	request := takeOverRequest{RequestID: id, Epoch: from.Epoch, Owner: k.owner()}
	var answer takeOverAnswer
	if from.address == k.Members.Self().InnerAddress {
		answer.Copy, answer.Status = k.Holder.TakeOver(id, from.Epoch, k.owner())
	} else if k.call(ctx, from.address, inner.KindJournalTakeOver, request, &answer) != nil {
		return
	}
	if answer.Status == genlog.TakenOver {
		k.adopt(ctx, answer.Copy, from.address, reason)
	}
}

// adopt carries a request on from its copy.
func (k *Keeper) adopt(ctx context.Context, c genlog.Copy, source, reason string) {
	TakeOvers.Inc(reason)
	events.RequestTakenOver.Log(k.Logger, "request", c.Record.RequestID, "epoch", c.Epoch, "tokens", len(c.Ends), "reason", reason)
	log := genlog.NewLogFromCopy(c)
	if !c.Released {
		log.Suspect()
	}
	_ = k.place(ctx, log, false)
	k.start(log)
	k.mu.Lock()
	entry := k.copying[c.Record.RequestID]
	k.mu.Unlock()
	if entry == nil || entry.address() == source {
		return
	}
	k.drop(ctx, log, source)
}

func (k *Keeper) beginTaking(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.taking[id] {
		return false
	}
	k.taking[id] = true
	return true
}

func (k *Keeper) endTaking(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.taking, id)
}

// sweep takes over the requests that this host holds and nobody owns.
func (k *Keeper) sweep(ctx context.Context) {
	k.Holder.Expire()
	if k.leaving.Load() {
		return
	}
	orphans := k.Holder.Orphans(orphanGrace)
	for _, c := range orphans[:min(maxOrphansAtOnce, len(orphans))] {
		go k.adoptOrphan(ctx, c.Record.RequestID, c.Epoch, labelOrphan)
	}
}

// adoptOrphan takes a request over from this host's own copy, unless its owner
// is alive or another host has more of it.
func (k *Keeper) adoptOrphan(ctx context.Context, requestID string, epoch uint64, reason string) {
	best := k.lookHere(requestID)
	best.address = k.owner().InnerAddress
	if reason == labelOrphan {
		best = k.lookup(ctx, requestID, maxLookups)
	}
	if best.Known && !best.Owned && best.Epoch == epoch && best.address == k.owner().InnerAddress {
		k.takeOver(ctx, best, reason)
	}
}
