package order

import (
	"context"
	"fmt"

	"github.com/cardamompier/cardamompier/kv"
)

// Shared is a Ledger over buckets of the key space to which every host
// commits groups of its own operations. A conflict of versions makes it read
// the bucket and decide again.
type Shared struct {
	store      kv.Store
	self       string
	options    Options
	committers []*committer
}

var _ Ledger = (*Shared)(nil)

// NewShared returns the ledger of entry host self.
func NewShared(store kv.Store, self string, options Options) *Shared {
	o := options.withDefaults()
	l := &Shared{store: store, self: self, options: o}
	for n := range o.Partitions {
		l.committers = append(l.committers, newCommitter(self, o, newLog(store, bucketPrefix(n), o.Clock), nil))
	}
	return l
}

func bucketPrefix(n int) string { return fmt.Sprintf("order/b/%03d/", n) }

// Claim implements Ledger.
func (l *Shared) Claim(ctx context.Context, request Request) (*Claim, Record, error) {
	claim := newClaim(request)
	answer, failed := l.apply(ctx, claimOperation(claim, l.options.Clock, l.self))
	return resultOfClaim(claim, answer, failed)
}

// Finish implements Ledger.
func (l *Shared) Finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error {
	answer, failed := l.apply(ctx, finishOperation(claim, l.options.Clock, l.self, state, outcome))
	return resultOfFinish(claim.ID, answer, failed)
}

// Get implements Ledger. It reads the whole bucket from the service.
func (l *Shared) Get(ctx context.Context, id ID) (Record, error) {
	return getFromLog(ctx, newLog(l.store, bucketPrefix(partitionOf(id, l.options.Partitions)), l.options.Clock), id)
}

func (l *Shared) apply(ctx context.Context, op operation) (verdict, *Error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	return l.committers[partitionOf(op.ID, l.options.Partitions)].submit(ctx, op)
}
