package order

import (
	"context"
	"fmt"

	"github.com/cardamompier/cardamompier/kv"
)

// SharedLedger is a Ledger that divides the keys of orders into buckets. Every host
// commits its own operations to every bucket, in groups. When another host has
// changed a bucket's version, SharedLedger reads the bucket again and repeats the
// decision.
type SharedLedger struct {
	store      kv.Store
	self       string
	options    Options
	committers []*committer
}

var _ Ledger = (*SharedLedger)(nil)

// NewSharedLedger returns a SharedLedger for the entry host whose ID is self.
func NewSharedLedger(store kv.Store, self string, options Options) *SharedLedger {
	o := options.withDefaults()
	l := &SharedLedger{store: store, self: self, options: o}
	for n := range o.Partitions {
		l.committers = append(l.committers, newCommitter(self, o, newPartitionLog(store, bucketPrefix(n), o.Clock), nil))
	}
	return l
}

func bucketPrefix(n int) string { return fmt.Sprintf("order/b/%03d/", n) }

// Claim implements Ledger.
func (l *SharedLedger) Claim(ctx context.Context, request Request) (*Claim, Record, error) {
	claim := newClaim(request)
	answer, failed := l.apply(ctx, claimOperation(claim, l.options.Clock, l.self))
	return resultOfClaim(claim, answer, failed)
}

// Finish implements Ledger.
func (l *SharedLedger) Finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error {
	answer, failed := l.apply(ctx, finishOperation(claim, l.options.Clock, l.self, state, outcome))
	return resultOfFinish(claim.ID, answer, failed)
}

// Get implements Ledger. It reads the order's whole bucket from the key-value
// service.
func (l *SharedLedger) Get(ctx context.Context, id ID) (Record, error) {
	return getFromLog(ctx, newPartitionLog(l.store, bucketPrefix(partitionOf(id, l.options.Partitions)), l.options.Clock), id)
}

func (l *SharedLedger) apply(ctx context.Context, op operation) (decision, *Error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	return l.committers[partitionOf(op.ID, l.options.Partitions)].submit(ctx, op)
}
