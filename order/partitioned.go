package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

// Routed counts the routes of operations on orders: committed on this host, sent
// to the partition's owner, or retried.
var Routed = metrics.New("order_routed_total", "Claims and outcomes of orders, by the route to the partition's owner.")

// The labels of the counter Routed.
const (
	routedLocal  = "local"
	routedRemote = "remote"
	routedRetry  = "retry"
)

const (
	// operationTimeout limits one claim or outcome, including all attempts to
	// reach the owner of its partition.
	operationTimeout = 3 * time.Second
	// callTimeout limits one call to the owner of a partition.
	callTimeout     = time.Second
	routeRetryPause = 50 * time.Millisecond
)

// Peers calls other entry hosts. *inner.Client implements it.
type Peers interface {
	Call(ctx context.Context, address string, kind inner.MessageKind, req, resp any) error
}

// MemberLister provides the current entry hosts. *membership.Registry implements it.
type MemberLister interface {
	View() *membership.View
}

// Options configures the ledgers SharedLedger and PartitionedLedger. Zero values mean the
// defaults.
type Options struct {
	// Partitions is the number of partitions into which orders are divided by
	// their keys. All hosts must use the same number. The default is 16.
	Partitions int
	// Interval is the mean time between two commits of a busy partition. The
	// default is 80 ms.
	Interval time.Duration
	// Clock returns the time that is stored in records and used for their
	// retention. The default is time.Now.
	Clock Clock
}

const (
	defaultPartitions = 16
	defaultInterval   = 80 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Partitions == 0 {
		o.Partitions = defaultPartitions
	}
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return o
}

// PartitionedLedger is a Ledger that divides orders into partitions by their keys. One
// entry host owns each partition, decides on claims from its in-memory records
// and commits them in groups. The version check of the key-value service rejects
// the commits of an owner that was replaced.
type PartitionedLedger struct {
	store      kv.Store
	self       string
	peers      Peers
	members    MemberLister
	options    Options
	lease      *ownerLease
	committers []*committer
}

var _ Ledger = (*PartitionedLedger)(nil)

// NewPartitionedLedger returns a PartitionedLedger for the entry host whose ID is
// self.
func NewPartitionedLedger(store kv.Store, self string, members MemberLister, peers Peers, options Options) *PartitionedLedger {
	o := options.withDefaults()
	l := &PartitionedLedger{store: store, self: self, peers: peers, members: members, options: o}
	l.lease = newOwnerLease(store, self)
	for n := range o.Partitions {
		c := newCommitter(self, o, newPartitionLog(store, partitionPrefix(n), o.Clock), l.lease)
		c.requestRelease = func(ctx context.Context, owner string) { l.requestRelease(ctx, owner, n) }
		l.committers = append(l.committers, c)
	}
	return l
}

func partitionPrefix(n int) string { return fmt.Sprintf("order/p/%03d/", n) }

func partitionOf(id ID, partitions int) int {
	h := xxhash.New()
	_, _ = h.WriteString(id.Account)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(id.Key)
	return int(h.Sum64() % uint64(partitions))
}

// assignedOwner returns the member that a partition is assigned to: the one with
// the highest hash of partition number and member ID. With this choice few
// partitions move when members change. Leaving members are skipped.
func assignedOwner(members []membership.Member, partition int) (owner membership.Member, ok bool) {
	var best uint64
	for _, m := range members {
		weight := xxhash.Sum64String(fmt.Sprintf("%d/%s", partition, m.ID))
		if !m.Leaving && (!ok || weight > best) {
			owner, best, ok = m, weight, true
		}
	}
	return owner, ok
}

// Owner returns the ID of the member that an order's partition is assigned to.
func (l *PartitionedLedger) Owner(id ID) string {
	owner, _ := assignedOwner(l.members.View().Members, partitionOf(id, l.options.Partitions))
	return owner.ID
}

// Partition returns the number of the partition that an order belongs to.
func (l *PartitionedLedger) Partition(id ID) int { return partitionOf(id, l.options.Partitions) }

// Register registers handlers for the operations and release requests that other
// entry hosts send.
func (l *PartitionedLedger) Register(server *inner.Server) {
	inner.Register(server, inner.KindOrderClaim, l.handleOperation)
	inner.Register(server, inner.KindOrderFinish, l.handleOperation)
	inner.Register(server, inner.KindOrderRelease, l.handleRelease)
}

func (l *PartitionedLedger) handleOperation(ctx context.Context, op operation) (decision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, failed := l.commitLocally(ctx, op)
	if failed != nil {
		return decision{}, &inner.Failure{Code: string(failed.Reason)}
	}
	return answer, nil
}

// Claim implements Ledger.
func (l *PartitionedLedger) Claim(ctx context.Context, request Request) (*Claim, Record, error) {
	claim := newClaim(request)
	answer, failed := l.apply(ctx, inner.KindOrderClaim, claimOperation(claim, l.options.Clock, l.self))
	return resultOfClaim(claim, answer, failed)
}

// Finish implements Ledger.
func (l *PartitionedLedger) Finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error {
	op := finishOperation(claim, l.options.Clock, l.self, state, outcome)
	answer, failed := l.apply(ctx, inner.KindOrderFinish, op)
	return resultOfFinish(claim.ID, answer, failed)
}

// Get implements Ledger. It reads the order's whole partition from the key-value
// service.
func (l *PartitionedLedger) Get(ctx context.Context, id ID) (Record, error) {
	return getFromLog(ctx, newPartitionLog(l.store, partitionPrefix(partitionOf(id, l.options.Partitions)), l.options.Clock), id)
}

func getFromLog(ctx context.Context, log *partitionLog, id ID) (Record, error) {
	if err := log.load(ctx); err != nil {
		return Record{}, &Error{ID: id, Reason: ReasonUnavailable, Cause: err}
	}
	record, ok := log.records[id]
	if !ok {
		return Record{}, &Error{ID: id, Reason: ReasonNotFound}
	}
	return record, nil
}

// apply sends an operation to the owner of its partition. It retries while the
// owner cannot be reached or has changed; the operation's nonce makes retries
// idempotent. It returns ReasonUnknown if any attempt may have been recorded.
func (l *PartitionedLedger) apply(ctx context.Context, kind inner.MessageKind, op operation) (decision, *Error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	uncertain := false
	for {
		answer, failed := l.sendOnce(ctx, kind, op)
		if failed == nil {
			return answer, nil
		}
		uncertain = uncertain || failed.Reason == ReasonUnknown
		retry := failed.Reason == ReasonNotOwner || failed.Reason == ReasonUnknown
		if !retry || !wait.For(ctx, routeRetryPause/2+rand.N(routeRetryPause)) {
			return decision{}, finalFailure(failed, uncertain)
		}
		Routed.Inc(routedRetry)
	}
}

func finalFailure(failed *Error, uncertain bool) *Error {
	out := *failed
	switch {
	case uncertain:
		out.Reason = ReasonUnknown
	case failed.Reason == ReasonNotOwner:
		out.Reason = ReasonUnreadable
	}
	return &out
}

func (l *PartitionedLedger) sendOnce(ctx context.Context, kind inner.MessageKind, op operation) (decision, *Error) {
	owner, ok := assignedOwner(l.members.View().Members, partitionOf(op.ID, l.options.Partitions))
	if !ok {
		return decision{}, &Error{ID: op.ID, Reason: ReasonNotOwner}
	}
	if owner.ID == l.self {
		Routed.Inc(routedLocal)
		return l.commitLocally(ctx, op)
	}
	Routed.Inc(routedRemote)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer decision
	err := l.peers.Call(ctx, owner.InnerAddress, kind, op, &answer)
	if err != nil {
		return decision{}, &Error{ID: op.ID, Reason: reasonOfPeer(err), Cause: err}
	}
	return answer, nil
}

// commitLocally commits an operation if its partition is assigned to this host,
// and fails with ReasonNotOwner otherwise.
func (l *PartitionedLedger) commitLocally(ctx context.Context, op operation) (decision, *Error) {
	partition := partitionOf(op.ID, l.options.Partitions)
	if owner, ok := assignedOwner(l.members.View().Members, partition); !ok || owner.ID != l.self {
		return decision{}, &Error{ID: op.ID, Reason: ReasonNotOwner}
	}
	return l.committers[partition].submit(ctx, op)
}

// reasonOfPeer returns the Reason for a failed call to the owner of a partition.
func reasonOfPeer(err error) Reason {
	var failed *inner.Error
	if !errors.As(err, &failed) {
		return ReasonUnknown
	}
	switch failed.Reason {
	case inner.ReasonConnect, inner.ReasonUnknownKind:
		return ReasonNotOwner
	case inner.ReasonHandler:
		switch reason := Reason(failed.Code); reason {
		case ReasonNotOwner, ReasonUnavailable, ReasonUnreadable, ReasonTooLarge:
			return reason
		}
	}
	return ReasonUnknown
}
