package order

import (
	"context"

	"github.com/cardamompier/cardamompier/inner"
)

// releaseRequest asks an owner to give a partition up.
type releaseRequest struct {
	Partition int `cbor:"1,keyasint"`
}

type releaseAnswer struct{}

// askRelease asks a partition's owner to give it up. An owner that does not
// answer loses it when its tenure ends.
func (l *Partitioned) askRelease(ctx context.Context, owner string, partition int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, m := range l.members.View().Members {
		if m.ID == owner {
			var answer releaseAnswer
			_ = l.peers.Call(ctx, m.InnerAddress, inner.KindOrderRelease, releaseRequest{Partition: partition}, &answer)
		}
	}
}

// serveRelease gives a partition up unless it is assigned to this host.
func (l *Partitioned) serveRelease(ctx context.Context, r releaseRequest) (releaseAnswer, error) {
	owner, ok := ownerOf(l.members.View().Members, r.Partition)
	if r.Partition < 0 || r.Partition >= len(l.committers) || (ok && owner.ID == l.self) {
		return releaseAnswer{}, &inner.Failure{Code: string(ReasonNotOwner)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p := &pendingOperation{ctx: ctx, release: true, done: make(chan struct{})}
	if _, failed := l.committers[r.Partition].enqueue(p); failed != nil {
		return releaseAnswer{}, &inner.Failure{Code: string(failed.Reason)}
	}
	return releaseAnswer{}, nil
}

// Close ends the host's ownership at once, so that no other host waits for it.
func (l *Partitioned) Close(ctx context.Context) { l.tenure.end(ctx) }
