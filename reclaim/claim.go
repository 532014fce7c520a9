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
	// joinFailureWait bounds the wait for a failure of a run that a repeated request joins.
	joinFailureWait = 100 * time.Millisecond
	// claimPollInterval is the time between two lookups of a run that another host has claimed.
	claimPollInterval = 20 * time.Millisecond
)

// joinOrClaim returns the log of an earlier run with the same request id. It returns nil and nil
// when the caller should start the run, because this host claimed the id or because the host with
// the claim has no run.
func (k *Keeper) joinOrClaim(ctx context.Context, record genlog.Record) (*genlog.Log, *apierr.Error) {
	if log, ok := k.find(ctx, record.RequestID, keyLookups); ok {
		return k.join(ctx, log, record)
	}
	first, digest := k.claim(ctx, record)
	if first == k.owner() {
		return nil, nil
	}
	if digest != record.Digest {
		return nil, conflict()
	}
	for deadline := time.Now().Add(claimTimeout); time.Now().Before(deadline); time.Sleep(claimPollInterval) {
		if log, ok := k.find(ctx, record.RequestID, keyLookups); ok {
			return k.join(ctx, log, record)
		}
	}
	return nil, nil // the host with the claim accepted no request within claimTimeout
}

// join returns the log of an earlier run that is in progress or has ended. If the run failed with a
// retryable error, this host resumes it after the tokens generated so far.
func (k *Keeper) join(ctx context.Context, log *genlog.Log, record genlog.Record) (*genlog.Log, *apierr.Error) {
	if log.Digest != record.Digest {
		return nil, conflict()
	}
	failure := log.Failure(ctx, joinFailureWait)
	if failure == nil || failure.RetryAfter == 0 {
		return log, nil
	}
	resumed := log.ContinueAfterFailure(record, k.owner())
	if refusal := k.place(ctx, resumed, true); refusal != nil {
		return nil, refusal
	}
	return k.start(resumed), nil
}

// conflict returns the error for a reused idempotency key with a different request body.
func conflict() *apierr.Error {
	return apierr.New(apierr.CodeKeyConflict, "the key was used with a different request")
}

// claim registers this host as the request's first owner at the first reachable member in the
// request's rendezvous order. It returns the registered owner and the digest of its request.
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

// claimants returns the members that store claims for a request: the first maxPlaceTries in its
// rendezvous order that are not leaving.
func (k *Keeper) claimants(requestID string) []membership.Member {
	var out []membership.Member
	for _, m := range genlog.Rank(requestID, k.Members.View().Members) {
		if !m.Leaving && len(out) < maxPlaceTries {
			out = append(out, m)
		}
	}
	return out
}

// withdraw removes this host's claim of a request id after it rejected the request.
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
