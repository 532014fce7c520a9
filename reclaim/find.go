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
	// findTimeout bounds the search for a request whose owner may have failed. It exceeds the
	// owner's lease, which must expire before another host can take over.
	findTimeout       = 3 * genlog.LeaseTTL
	findRetryInterval = 100 * time.Millisecond
	// claimTimeout bounds the wait of a repeated request until the host that claimed the request id
	// has accepted the first one.
	claimTimeout = time.Second
)

// Find returns the log of a request that any entry host has accepted, or false if no member knows
// the request. The log of a request that another host owns follows that owner's log. If the owner
// has failed, this host takes the request over.
func (k *Keeper) Find(ctx context.Context, requestID string) (*genlog.Log, bool) {
	return k.find(ctx, requestID, maxLookups)
}

// find is Find with a limit on the number of members queried, in the request's rendezvous order.
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
	case ok: // a failed run that another host resumed under a newer epoch
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

// mirror returns the local log that follows a request at another host, if there is one.
func (k *Keeper) mirror(requestID string) (*genlog.Log, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	log, ok := k.mirrors[requestID]
	return log, ok
}

// lookup queries up to lookups members for a request, and the owner named in their answers. It
// returns the answer with the highest epoch, and prefers an owner's answer to a copy holder's.
func (k *Keeper) lookup(ctx context.Context, requestID string, lookups int) lookupAnswer {
	self := k.Members.Self()
	best := k.lookupLocal(requestID)
	best.address = self.InnerAddress
	ranked := genlog.Rank(requestID, k.Members.View().Members)
	ranked = ranked[:min(lookups, len(ranked))]
	answers := make(chan lookupAnswer, len(ranked))
	for _, m := range ranked {
		go func() { answers <- k.lookupAt(ctx, m.InnerAddress, requestID) }()
	}
	for range ranked {
		best = betterAnswer(best, <-answers)
		if best.Owned && best.State != genlog.StateFailed {
			return best
		}
	}
	if best.Known && best.State == genlog.StateRunning && best.Owner.ID != self.ID {
		best = betterAnswer(best, k.lookupAt(ctx, best.Owner.InnerAddress, requestID))
	}
	return best
}

// lookupAt queries the host at address for a request. It returns the zero answer if the call fails
// or the address is this host's own.
func (k *Keeper) lookupAt(ctx context.Context, address, requestID string) lookupAnswer {
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

// betterAnswer returns the more recent of two answers: the higher epoch, then the owner's, then
// the one with more tokens.
func betterAnswer(a, b lookupAnswer) lookupAnswer {
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

// follow copies tokens from a request's current owner into a mirror log until the answer ends. It
// fails the mirror when no host with the request has answered for findTimeout, or findTimeout after
// the request's deadline.
func (k *Keeper) follow(mirror *genlog.Log, from lookupAnswer) {
	ctx, cancel := context.WithDeadline(context.Background(), mirror.Deadline.Add(findTimeout))
	defer cancel()
	defer k.removeMirror(mirror)
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
			mirror.Fail(lost.WithRan(apierr.RanUnknown).WithRetryAfter(retryAfterDelay))
			return
		}
		time.Sleep(findRetryInterval)
		from = k.lookup(ctx, mirror.RequestID, maxLookups)
	}
}

func (k *Keeper) removeMirror(mirror *genlog.Log) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.mirrors, mirror.RequestID)
}

// followOnce copies tokens from one source into a mirror log until the source fails or the answer
// ends. It reports whether the source was readable.
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
		if k.call(ctx, from.address, inner.KindJournalRead, request, &p) != nil || !appendProgress(mirror, p) {
			return read
		}
		if mirror.State() != genlog.StateRunning {
			return true
		}
	}
}

// followLocal copies tokens from a log in this process into a mirror log.
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
		if !appendProgress(mirror, p) {
			return
		}
	}
}

// appendProgress adds tokens and state to a mirror log. It returns false when the request has moved
// to another owner. It fails the mirror and returns false when the text does not extend the mirror's.
func appendProgress(mirror *genlog.Log, p genlog.Progress) bool {
	previousEpoch := uint64(0)
	if branches := mirror.Branches(); len(branches) > 0 {
		previousEpoch = branches[len(branches)-1].Epoch
	}
	if len(p.Branches) > 0 {
		previous := mirror.Branches()
		mirror.SetBranches(p.Branches)
		if mirror.Count() > 0 && !mirror.Extends(previousEpoch, mirror.Count()) {
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

// takeOver makes this host the owner of a request whose previous owner has failed or released it.
func (k *Keeper) takeOver(ctx context.Context, from lookupAnswer, reason string) {
	id := from.Record.RequestID
	if k.leaving.Load() || !k.beginTakeOver(id) {
		return
	}
	defer k.endTakeOver(id)
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

// adopt resumes a request from a copy that this host has taken over from the host at source.
func (k *Keeper) adopt(ctx context.Context, c genlog.Copy, source, reason string) {
	TakeOvers.Inc(reason)
	events.RequestTakenOver.Log(k.Logger, "request", c.Record.RequestID, "epoch", c.Epoch, "tokens", len(c.Ends), "reason", reason)
	log := genlog.NewLogFromCopy(c)
	if !c.Released {
		log.MarkPreviousOwnerAhead()
	}
	_ = k.place(ctx, log, false)
	k.start(log)
	k.mu.Lock()
	entry := k.replications[c.Record.RequestID]
	k.mu.Unlock()
	if entry == nil || entry.address() == source {
		return
	}
	k.drop(ctx, log, source)
}

// beginTakeOver marks a request as being taken over. It returns false if it is already marked.
func (k *Keeper) beginTakeOver(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.takingOver[id] {
		return false
	}
	k.takingOver[id] = true
	return true
}

func (k *Keeper) endTakeOver(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.takingOver, id)
}

// sweep expires old copies, and takes over the requests that have a copy on this host and no live
// owner.
func (k *Keeper) sweep(ctx context.Context) {
	k.Holder.Expire()
	if k.leaving.Load() {
		return
	}
	orphans := k.Holder.Ownerless(orphanGrace)
	for _, c := range orphans[:min(maxOrphansAtOnce, len(orphans))] {
		go k.adoptOrphan(ctx, c.Record.RequestID, c.Epoch, labelOrphan)
	}
}

// adoptOrphan takes over a request from this host's own copy. If the owner has not released the
// request, adoptOrphan does nothing when the owner answers or another host has a better copy.
func (k *Keeper) adoptOrphan(ctx context.Context, requestID string, epoch uint64, reason string) {
	best := k.lookupLocal(requestID)
	best.address = k.owner().InnerAddress
	if reason == labelOrphan {
		best = k.lookup(ctx, requestID, maxLookups)
	}
	if best.Known && !best.Owned && best.Epoch == epoch && best.address == k.owner().InnerAddress {
		k.takeOver(ctx, best, reason)
	}
}
