package order

import (
	"context"

	"github.com/cardamompier/cardamompier/inner"
)

// releaseRequest is a message that requests the release of a partition from its
// owner.
type releaseRequest struct {
	Partition int `cbor:"1,keyasint"`
}

type releaseResponse struct{}

// requestRelease sends a partition's owner a request to release the partition. An
// owner that does not respond loses the partition when its lease ends.
func (l *PartitionedLedger) requestRelease(ctx context.Context, owner string, partition int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, m := range l.members.View().Members {
		if m.ID == owner {
			var answer releaseResponse
			_ = l.peers.Call(ctx, m.InnerAddress, inner.KindOrderRelease, releaseRequest{Partition: partition}, &answer)
		}
	}
}

// handleRelease releases a partition that is no longer assigned to this host. It
// fails with ReasonNotOwner if the partition is assigned to this host or does not
// exist.
func (l *PartitionedLedger) handleRelease(ctx context.Context, r releaseRequest) (releaseResponse, error) {
	owner, ok := assignedOwner(l.members.View().Members, r.Partition)
	if r.Partition < 0 || r.Partition >= len(l.committers) || (ok && owner.ID == l.self) {
		return releaseResponse{}, &inner.Failure{Code: string(ReasonNotOwner)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p := &pendingOperation{ctx: ctx, release: true, done: make(chan struct{})}
	if _, failed := l.committers[r.Partition].enqueue(p); failed != nil {
		return releaseResponse{}, &inner.Failure{Code: string(failed.Reason)}
	}
	return releaseResponse{}, nil
}

// Close revokes the host's lease on its partitions, so that other hosts do not
// have to wait for the lease to expire.
func (l *PartitionedLedger) Close(ctx context.Context) { l.lease.revoke(ctx) }
