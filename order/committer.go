package order

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

// Commits counts the commits of partitions by their result.
var Commits = metrics.New("order_commits_total", "Group commits of order records, by result.")

// Labels of Commits.
const (
	commitWon      = "won"
	commitDeposed  = "refused_by_epoch"
	commitConflict = "conflict"
	commitUnknown  = "unknown"
	commitFailed   = "failed"
	commitLimited  = "rate_limited"
	commitReleased = "released"
)

const (
	// commitTimeout bounds one commit with its load.
	commitTimeout = 5 * time.Second
	// commitRounds bounds the tries of one batch against other hosts.
	commitRounds = 20
	// deposedPause is how long a host leaves a partition that it lost alone.
	deposedPause = time.Second
	// limitedPause is the mean pause after a commit that the service's rate
	// limit refused.
	limitedPause = 20 * time.Millisecond
	// paceBurst is how many commits a partition may make without a pause.
	paceBurst = 4
	// entryOverhead is the size of an entry without its key and body, in bytes.
	entryOverhead = 256
)

// pendingOperation is an operation that waits for the next commit.
type pendingOperation struct {
	ctx     context.Context
	op      operation
	release bool // the partition is to be given up
	done    chan struct{}
	verdict verdict
	failed  *Error
	// decided says that the verdict rests on records that are in the service.
	decided bool
}

// committer commits the operations of one partition in groups: those that
// arrive during a commit go into the next one.
type committer struct {
	owner string
	// pace bounds the commits.
	pace *rate.Limiter
	// askRelease asks the present owner to give the partition up.
	askRelease func(ctx context.Context, owner string)
	// tenure is nil when other hosts commit to the same log without owning it.
	tenure *tenure

	mu      sync.Mutex
	pending []*pendingOperation
	active  bool

	// The goroutine that commits has the rest for itself.
	log     *log
	known   bool // the log is as the service last had it, for all we know
	deposed time.Time
	// generation of the tenure under which the log was loaded, and that of
	// the last commit that was won.
	generation, confirmed uint64
}

func newCommitter(owner string, o Options, log *log, t *tenure) *committer {
	return &committer{owner: owner, pace: rate.NewLimiter(rate.Every(o.Interval), paceBurst), tenure: t, log: log}
}

// trusted says that no other host can have committed since our last commit.
func (c *committer) trusted() bool {
	return c.tenure != nil && c.confirmed == c.generation && c.tenure.holds(c.generation)
}

// submit waits until the operation is committed or was refused.
func (c *committer) submit(ctx context.Context, op operation) (verdict, *Error) {
	return c.enqueue(&pendingOperation{ctx: ctx, op: op, done: make(chan struct{})})
}

func (c *committer) enqueue(p *pendingOperation) (verdict, *Error) {
	c.mu.Lock()
	c.pending = append(c.pending, p)
	start := !c.active
	c.active = true
	c.mu.Unlock()
	if start {
		go c.drain()
	}
	select {
	case <-p.done:
		return p.verdict, p.failed
	case <-p.ctx.Done():
		return verdict{}, &Error{ID: p.op.ID, Reason: ReasonUnknown, Cause: p.ctx.Err()}
	}
}

// drain commits until nothing is pending.
func (c *committer) drain() {
	for c.more() {
		time.Sleep(c.pace.Reserve().Delay())
		batch := c.take()
		ctx, cancel := context.WithTimeout(kv.WithPurpose(context.Background(), kv.PurposeOrder), commitTimeout)
		if batch[0].release {
			batch[0].failed = c.release(ctx)
		} else {
			c.run(ctx, batch)
		}
		cancel()
		for _, p := range batch {
			close(p.done)
		}
	}
}

// more reports whether operations are pending; if not, drain ends.
func (c *committer) more() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = len(c.pending) > 0
	return c.active
}

// take returns the next batch.
func (c *committer) take() []*pendingOperation {
	c.mu.Lock()
	defer c.mu.Unlock()
	size, n := 0, 0
	for ; n < len(c.pending) && size < maxBatchSize; n++ {
		if c.pending[n].release {
			n = max(n, 1) // on its own
			break
		}
		size += sizeOf(c.pending[n].op)
	}
	batch := c.pending[:n:n]
	c.pending = slices.Clone(c.pending[n:])
	return batch
}

func sizeOf(op operation) int {
	size := entryOverhead + len(op.ID.Account) + len(op.ID.Key)
	if op.Record.Outcome != nil {
		size += len(op.Record.Outcome.Body)
	}
	return size
}

// run commits a batch, again after a conflict unless the partition was lost.
func (c *committer) run(ctx context.Context, batch []*pendingOperation) {
	for range commitRounds {
		failed := c.acquire(ctx)
		if isLimited(failed) && wait.For(ctx, limitedPause/2+rand.N(limitedPause)) {
			Commits.Inc(commitLimited)
			continue
		}
		if failed != nil {
			if failed.Reason != ReasonNotOwner {
				c.evaluate(batch) // what is recorded holds in an outage, too
			}
			fail(batch, *failed)
			return
		}
		entries := c.evaluate(batch)
		if len(entries) == 0 {
			return
		}
		result := c.log.commit(ctx, c.owner, c.epoch(), entries)
		if c.settle(ctx, batch, result) {
			return
		}
	}
	fail(batch, Error{Reason: ReasonUnreadable})
}

// isLimited says that only the service's rate limit was in the way.
func isLimited(failed *Error) bool {
	return failed != nil && failed.Cause != nil && kv.ReasonOf(failed.Cause) == kv.ReasonRateLimited
}

// acquire loads the log unless it is known. A partition of another owner is
// taken over by the next commit, once that owner's tenure has ended.
func (c *committer) acquire(ctx context.Context) *Error {
	if c.tenure != nil {
		generation, err := c.tenure.hold(ctx)
		if err != nil {
			return &Error{Reason: ReasonUnreadable, Cause: err}
		}
		c.known = c.known && c.generation == generation
		c.generation = generation
	}
	if c.known {
		return nil
	}
	if time.Since(c.deposed) < deposedPause {
		return &Error{Reason: ReasonNotOwner}
	}
	if err := c.log.load(ctx); err != nil {
		return &Error{Reason: ReasonUnreadable, Cause: err}
	}
	if !c.free(ctx) {
		return &Error{Reason: ReasonNotOwner}
	}
	c.known = true
	return nil
}

// free says that no other host owns the partition.
func (c *committer) free(ctx context.Context) bool {
	owner := c.log.head.Owner
	if c.tenure == nil || owner == "" || owner == c.owner {
		return true
	}
	if c.tenure.ended(ctx, owner) {
		return true
	}
	c.askRelease(ctx, owner)
	return false
}

// release gives the partition up, so that another host need not wait for the
// end of this one's tenure.
func (c *committer) release(ctx context.Context) *Error {
	if err := c.log.load(ctx); err != nil {
		return &Error{Reason: ReasonUnreadable, Cause: err}
	}
	c.known, c.confirmed = false, 0
	if c.log.head.Owner != c.owner {
		return nil
	}
	if result := c.log.commit(ctx, "", c.log.head.Epoch, nil); result.Outcome != kv.OutcomeWon {
		return &Error{Reason: reasonOfStore(result), Cause: result.Cause}
	}
	Commits.Inc(commitReleased)
	return nil
}

// epoch returns the epoch of the next commit: a higher one when another host
// owned the partition.
func (c *committer) epoch() uint64 {
	if c.tenure == nil || c.log.head.Owner == c.owner {
		return c.log.head.Epoch
	}
	return c.log.head.Epoch + 1
}

// evaluate decides on each operation of a batch in turn, and returns what has
// to be recorded. Operations whose caller has gone away are refused.
func (c *committer) evaluate(batch []*pendingOperation) []logEntry {
	changed := map[ID]Record{}
	var entries []logEntry
	for _, p := range batch {
		if p.ctx.Err() != nil {
			p.failed = &Error{ID: p.op.ID, Reason: ReasonUnreadable, Cause: p.ctx.Err()}
			continue
		}
		existing, found := changed[p.op.ID]
		p.decided = !found
		if !found {
			existing, found = c.log.records[p.op.ID]
		}
		p.verdict = evaluate(existing, found, p.op)
		p.decided = p.decided && !p.verdict.write
		if p.verdict.write {
			changed[p.op.ID] = p.verdict.Record
			entries = append(entries, logEntry{ID: p.op.ID, Record: p.verdict.Record})
		}
	}
	return entries
}

// settle takes note of a commit; false asks for another try.
func (c *committer) settle(ctx context.Context, batch []*pendingOperation, result kv.Result) bool {
	switch {
	case result.Outcome == kv.OutcomeWon:
		Commits.Inc(commitWon)
		// Another host may have committed after ours was read back.
		c.known = result.Current.Version == 0
		c.confirmed = c.generation
		c.log.forget(ctx)
		return true
	case kv.ReasonOf(result.Cause) == kv.ReasonConflict && (c.tenure == nil || c.log.head.Owner != c.owner):
		Commits.Inc(commitConflict)
		c.known = false
		return false
	case kv.ReasonOf(result.Cause) == kv.ReasonConflict:
		Commits.Inc(commitDeposed)
		c.known, c.deposed = false, time.Now()
		fail(batch, Error{Reason: ReasonNotOwner, Cause: result.Cause})
	case kv.ReasonOf(result.Cause) == kv.ReasonRateLimited && wait.For(ctx, limitedPause/2+rand.N(limitedPause)):
		Commits.Inc(commitLimited)
		return false
	case result.Outcome == kv.OutcomeUnknown:
		Commits.Inc(commitUnknown)
		c.known = false
		fail(batch, Error{Reason: ReasonUnknown, Cause: result.Cause})
	default: // surely without effect: the log is as it was
		Commits.Inc(commitFailed)
		reason := reasonOfStore(result)
		if reason == ReasonUnavailable && !c.trusted() {
			reason = ReasonUnreadable
		}
		fail(batch, Error{Reason: reason, Cause: result.Cause})
	}
	return true
}

// fail refuses the operations of a batch that are not decided.
func fail(batch []*pendingOperation, failure Error) {
	for _, p := range batch {
		if p.failed == nil && !p.decided {
			failed := failure
			failed.ID = p.op.ID
			p.verdict, p.failed = verdict{}, &failed
		}
	}
}
