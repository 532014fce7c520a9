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

// Routed counts operations by where they were committed.
var Routed = metrics.New("order_routed_total", "Claims and outcomes of orders, by the route to the partition's owner.")

// Labels of Routed.
const (
	routedLocal  = "local"
	routedRemote = "remote"
	routedRetry  = "retry"
)

const (
	// operationTimeout bounds one claim or outcome on the way to its owner.
	operationTimeout = 3 * time.Second
	// callTimeout bounds one call to an owner.
	callTimeout = time.Second
	routePause  = 50 * time.Millisecond
)

// Peers calls other entry hosts; *inner.Client does.
type Peers interface {
	Call(ctx context.Context, address string, kind inner.Kind, req, resp any) error
}

// Members tells the entry hosts; *membership.Registry does.
type Members interface {
	View() *membership.View
}

// Options configure grouped ledgers. Zero values mean the defaults.
type Options struct {
	// Partitions of the key space. All hosts must agree. Default 16.
	Partitions int
	// Interval is the mean time between two commits of a busy partition.
	// Default 80 ms.
	Interval time.Duration
	// Clock tells the time for records. Default time.Now.
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

// Partitioned is a Ledger over partitions of the key space. Each is owned by
// one entry host, which decides claims by its own table and commits them in
// groups; the service's version refuses a commit of an owner that was replaced.
type Partitioned struct {
	store      kv.Store
	self       string
	peers      Peers
	members    Members
	options    Options
	tenure     *tenure
	committers []*committer
}

var _ Ledger = (*Partitioned)(nil)

// NewPartitioned returns the ledger of entry host self.
func NewPartitioned(store kv.Store, self string, members Members, peers Peers, options Options) *Partitioned {
	o := options.withDefaults()
	l := &Partitioned{store: store, self: self, peers: peers, members: members, options: o}
	l.tenure = newTenure(store, self)
	for n := range o.Partitions {
		c := newCommitter(self, o, newLog(store, partitionPrefix(n), o.Clock), l.tenure)
		c.askRelease = func(ctx context.Context, owner string) { l.askRelease(ctx, owner, n) }
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

// ownerOf returns the member that a partition is assigned to: the one with the
// highest hash of both, so that few partitions move when members change.
func ownerOf(members []membership.Member, partition int) (owner membership.Member, ok bool) {
	var best uint64
	for _, m := range members {
		weight := xxhash.Sum64String(fmt.Sprintf("%d/%s", partition, m.ID))
		if !m.Leaving && (!ok || weight > best) {
			owner, best, ok = m, weight, true
		}
	}
	return owner, ok
}

// Owner returns the id of the member that an order's partition is assigned to.
func (l *Partitioned) Owner(id ID) string {
	owner, _ := ownerOf(l.members.View().Members, partitionOf(id, l.options.Partitions))
	return owner.ID
}

// Partition returns the number of an order's partition.
func (l *Partitioned) Partition(id ID) int { return partitionOf(id, l.options.Partitions) }

// Register answers the operations that other entry hosts send.
func (l *Partitioned) Register(server *inner.Server) {
	inner.Register(server, inner.KindOrderClaim, l.serve)
	inner.Register(server, inner.KindOrderFinish, l.serve)
	inner.Register(server, inner.KindOrderRelease, l.serveRelease)
}

func (l *Partitioned) serve(ctx context.Context, op operation) (verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, failed := l.commitHere(ctx, op)
	if failed != nil {
		return verdict{}, &inner.Failure{Code: string(failed.Reason)}
	}
	return answer, nil
}

// Claim implements Ledger.
func (l *Partitioned) Claim(ctx context.Context, request Request) (*Claim, Record, error) {
	claim := newClaim(request)
	answer, failed := l.apply(ctx, inner.KindOrderClaim, claimOperation(claim, l.options.Clock, l.self))
	return resultOfClaim(claim, answer, failed)
}

// Finish implements Ledger.
func (l *Partitioned) Finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error {
	op := finishOperation(claim, l.options.Clock, l.self, state, outcome)
	answer, failed := l.apply(ctx, inner.KindOrderFinish, op)
	return resultOfFinish(claim.ID, answer, failed)
}

// Get implements Ledger. It reads the whole partition from the service.
func (l *Partitioned) Get(ctx context.Context, id ID) (Record, error) {
	return getFromLog(ctx, newLog(l.store, partitionPrefix(partitionOf(id, l.options.Partitions)), l.options.Clock), id)
}

func getFromLog(ctx context.Context, log *log, id ID) (Record, error) {
	if err := log.load(ctx); err != nil {
		return Record{}, &Error{ID: id, Reason: ReasonUnavailable, Cause: err}
	}
	record, ok := log.records[id]
	if !ok {
		return Record{}, &Error{ID: id, Reason: ReasonNotFound}
	}
	return record, nil
}

// apply sends an operation to the owner of its partition, again while the
// owner cannot be reached or has changed. The operation's nonce makes it
// idempotent. A failure is ReasonUnknown once a try may have been recorded.
func (l *Partitioned) apply(ctx context.Context, kind inner.Kind, op operation) (verdict, *Error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	uncertain := false
	for {
		answer, failed := l.try(ctx, kind, op)
		if failed == nil {
			return answer, nil
		}
		uncertain = uncertain || failed.Reason == ReasonUnknown
		again := failed.Reason == ReasonNotOwner || failed.Reason == ReasonUnknown
		if !again || !wait.For(ctx, routePause/2+rand.N(routePause)) {
			return verdict{}, finalFailure(failed, uncertain)
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

func (l *Partitioned) try(ctx context.Context, kind inner.Kind, op operation) (verdict, *Error) {
	owner, ok := ownerOf(l.members.View().Members, partitionOf(op.ID, l.options.Partitions))
	if !ok {
		return verdict{}, &Error{ID: op.ID, Reason: ReasonNotOwner}
	}
	if owner.ID == l.self {
		Routed.Inc(routedLocal)
		return l.commitHere(ctx, op)
	}
	Routed.Inc(routedRemote)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer verdict
	err := l.peers.Call(ctx, owner.InnerAddress, kind, op, &answer)
	if err != nil {
		return verdict{}, &Error{ID: op.ID, Reason: reasonOfPeer(err), Cause: err}
	}
	return answer, nil
}

// commitHere commits an operation if its partition is assigned to this host.
func (l *Partitioned) commitHere(ctx context.Context, op operation) (verdict, *Error) {
	partition := partitionOf(op.ID, l.options.Partitions)
	if owner, ok := ownerOf(l.members.View().Members, partition); !ok || owner.ID != l.self {
		return verdict{}, &Error{ID: op.ID, Reason: ReasonNotOwner}
	}
	return l.committers[partition].submit(ctx, op)
}

// reasonOfPeer maps a failed call to an owner.
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
