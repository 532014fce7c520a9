package reclaim

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
)

const (
	// mirrorWait is how long a joined run may take to show that it has failed.
	mirrorWait = 100 * time.Millisecond
	// claimPause is the time between two looks for the first run.
	claimPause = 20 * time.Millisecond
)

// joinOrClaim returns the log of the run in progress under the request's id,
// or claims the id for a first run here and returns neither log nor refusal.
func (k *Keeper) joinOrClaim(ctx context.Context, record genlog.Record) (*genlog.Log, *apierr.Error) {
	if log, ok := k.find(ctx, record.RequestID, firstLookups); ok {
		return k.join(ctx, log, record)
	}
	first, digest := k.claim(ctx, record)
	if first == k.owner() {
		return nil, nil
	}
	if digest != record.Digest {
		return nil, conflict()
	}
	for deadline := time.Now().Add(claimWait); time.Now().Before(deadline); time.Sleep(claimPause) {
		if log, ok := k.find(ctx, record.RequestID, firstLookups); ok {
			return k.join(ctx, log, record)
		}
	}
	return nil, nil // the claimant did not accept the request
}

// join returns the run in progress or its answer. A run that failed for a
// while is carried on from its text, here.
func (k *Keeper) join(ctx context.Context, log *genlog.Log, record genlog.Record) (*genlog.Log, *apierr.Error) {
	if log.Digest != record.Digest {
		return nil, conflict()
	}
	failure := log.Failure(ctx, mirrorWait)
	if failure == nil || failure.RetryAfter == 0 {
		return log, nil
	}
	again := log.Again(record, k.owner())
	if refusal := k.place(ctx, again, true); refusal != nil {
		return nil, refusal
	}
	return k.start(again), nil
}

func conflict() *apierr.Error {
	return apierr.New(apierr.CodeKeyConflict, "the key was used with a different request")
}

// claim asks the first member in the request's order that answers.
func (k *Keeper) claim(ctx context.Context, record genlog.Record) (genlog.Owner, uint64) {
	request := claimRequest{RequestID: record.RequestID, Digest: record.Digest, Owner: k.owner()}
	for _, m := range k.claimants(record.RequestID) {
		if m.ID == request.Owner.ID {
			return k.Holder.Claim(record.RequestID, record.Digest, request.Owner)
		}
		var answer claimAnswer
		if k.call(ctx, m.InnerAddress, inner.KindJournalClaim, request, &answer) == nil {
			return answer.First, answer.Digest
		}
	}
	return request.Owner, record.Digest
}

func (k *Keeper) claimants(requestID string) []membership.Member {
	var out []membership.Member
	for _, m := range genlog.Rank(requestID, k.Members.View().Members) {
		if !m.Leaving && len(out) < maxPlaceTries {
			out = append(out, m)
		}
	}
	return out
}

// withdraw gives a claim back after the request was refused.
func (k *Keeper) withdraw(ctx context.Context, requestID string) {
	request := claimRequest{RequestID: requestID, Owner: k.owner()}
	for _, m := range k.claimants(requestID) {
		if m.ID == request.Owner.ID {
			k.Holder.Withdraw(requestID, request.Owner)
			continue
		}
		_ = k.call(ctx, m.InnerAddress, inner.KindJournalWithdraw, request, nil)
	}
}
