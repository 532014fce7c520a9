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

// Commits counts the commits to partition logs by result.
var Commits = metrics.New("order_commits_total", "Group commits of order records, by result.")

// The labels of the counter Commits.
const (
	commitWon            = "won"
	commitRefusedByEpoch = "refused_by_epoch"
	commitConflict       = "conflict"
	commitUnknown        = "unknown"
	commitFailed         = "failed"
	commitRateLimited    = "rate_limited"
	commitReleased       = "released"
)

const (
	// commitTimeout limits one commit, including the time to load the log.
	commitTimeout = 5 * time.Second
	// maxCommitAttempts limits the attempts to commit one batch when other hosts
	// commit to the same log.
	maxCommitAttempts = 20
	// ownershipLostPause is how long a host makes no attempt to regain a
	// partition that another host has taken over.
	ownershipLostPause = time.Second
	// rateLimitPause is the mean pause before the retry of a call that the
	// key-value service rejected because of its rate limit.
	rateLimitPause = 20 * time.Millisecond
	// commitBurst is the number of commits that one partition may make without a
	// pause.
	commitBurst = 4
	// entryOverhead is the size of a log entry without its key and body, in
	// bytes.
	entryOverhead = 256
)

// pendingOperation is a claim, an outcome or a release request that waits for the
// next commit.
type pendingOperation struct {
	ctx      context.Context
	op       operation
	release  bool // whether to release the partition instead of committing op
	done     chan struct{}
	decision decision
	failed   *Error
	// decided reports whether the decision follows from records that are already
	// stored, so that no commit is needed.
	decided bool
}

// committer commits the operations of one partition in groups. Operations that
// arrive during a commit are part of the next one.
type committer struct {
	owner string
	// limiter limits the rate of commits.
	limiter *rate.Limiter
	// requestRelease sends the current owner a request to release the partition.
	requestRelease func(ctx context.Context, owner string)
	// lease is the host's lease on its partitions. It is nil if several hosts
	// commit to the same log and none owns it.
	lease *ownerLease

	mu      sync.Mutex
	pending []*pendingOperation
	active  bool

	// Only the goroutine that runs drain uses the fields below.
	log             *partitionLog
	logCurrent      bool // whether log contains the latest commit to the partition, as far as this host can tell
	ownershipLostAt time.Time
	// generation is the number of the lease under which the log was loaded.
	// confirmedGeneration is the number of the lease under which the last
	// successful commit was made.
	generation, confirmedGeneration uint64
}

func newCommitter(owner string, o Options, log *partitionLog, lease *ownerLease) *committer {
	return &committer{owner: owner, limiter: rate.NewLimiter(rate.Every(o.Interval), commitBurst), lease: lease, log: log}
}

// isSoleCommitter reports whether no other host can have committed to the
// partition since this host's last commit.
func (c *committer) isSoleCommitter() bool {
	return c.lease != nil && c.confirmedGeneration == c.generation && c.lease.isCurrent(c.generation)
}

// submit adds an operation to the next commit and waits until it is committed or
// refused.
func (c *committer) submit(ctx context.Context, op operation) (decision, *Error) {
	return c.enqueue(&pendingOperation{ctx: ctx, op: op, done: make(chan struct{})})
}

func (c *committer) enqueue(p *pendingOperation) (decision, *Error) {
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
		return p.decision, p.failed
	case <-p.ctx.Done():
		return decision{}, &Error{ID: p.op.ID, Reason: ReasonUnknown, Cause: p.ctx.Err()}
	}
}

// drain commits the pending operations until none are left.
func (c *committer) drain() {
	for c.hasPending() {
		time.Sleep(c.limiter.Reserve().Delay())
		batch := c.nextBatch()
		ctx, cancel := context.WithTimeout(kv.WithPurpose(context.Background(), kv.PurposeOrder), commitTimeout)
		if batch[0].release {
			batch[0].failed = c.release(ctx)
		} else {
			c.commitBatch(ctx, batch)
		}
		cancel()
		for _, p := range batch {
			close(p.done)
		}
	}
}

// hasPending reports whether operations are pending. If none are, it sets active
// to false and drain returns.
func (c *committer) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = len(c.pending) > 0
	return c.active
}

// nextBatch removes the operations of the next commit from pending and returns
// them.
func (c *committer) nextBatch() []*pendingOperation {
	c.mu.Lock()
	defer c.mu.Unlock()
	size, n := 0, 0
	for ; n < len(c.pending) && size < maxBatchSize; n++ {
		if c.pending[n].release {
			n = max(n, 1) // a release is a batch of its own
			break
		}
		size += entrySize(c.pending[n].op)
	}
	batch := c.pending[:n:n]
	c.pending = slices.Clone(c.pending[n:])
	return batch
}

func entrySize(op operation) int {
	size := entryOverhead + len(op.ID.Account) + len(op.ID.Key)
	if op.Record.Outcome != nil {
		size += len(op.Record.Outcome.Body)
	}
	return size
}

// commitBatch commits a batch of operations. It retries after a conflict unless
// another host has taken the partition over.
func (c *committer) commitBatch(ctx context.Context, batch []*pendingOperation) {
	for range maxCommitAttempts {
		failed := c.acquire(ctx)
		if isRateLimited(failed) && wait.For(ctx, rateLimitPause/2+rand.N(rateLimitPause)) {
			Commits.Inc(commitRateLimited)
			continue
		}
		if failed != nil {
			if failed.Reason != ReasonNotOwner {
				// Operations that stored records already decide succeed during an
				// outage, too.
				c.evaluate(batch)
			}
			failUndecided(batch, *failed)
			return
		}
		entries := c.evaluate(batch)
		if len(entries) == 0 {
			return
		}
		result := c.log.commit(ctx, c.owner, c.epoch(), entries)
		if c.handleResult(ctx, batch, result) {
			return
		}
	}
	failUndecided(batch, Error{Reason: ReasonUnreadable})
}

// isRateLimited reports whether only the rate limit of the key-value service
// caused the failure.
func isRateLimited(failed *Error) bool {
	return failed != nil && failed.Cause != nil && kv.ReasonOf(failed.Cause) == kv.ReasonRateLimited
}

// acquire loads the log unless the loaded one is current. It fails with
// ReasonNotOwner while another host owns the partition. Once the lease of that
// host has ended, the next commit takes the partition over.
func (c *committer) acquire(ctx context.Context) *Error {
	if c.lease != nil {
		generation, err := c.lease.acquire(ctx)
		if err != nil {
			return &Error{Reason: ReasonUnreadable, Cause: err}
		}
		c.logCurrent = c.logCurrent && c.generation == generation
		c.generation = generation
	}
	if c.logCurrent {
		return nil
	}
	if time.Since(c.ownershipLostAt) < ownershipLostPause {
		return &Error{Reason: ReasonNotOwner}
	}
	if err := c.log.load(ctx); err != nil {
		return &Error{Reason: ReasonUnreadable, Cause: err}
	}
	if !c.canOwn(ctx) {
		return &Error{Reason: ReasonNotOwner}
	}
	c.logCurrent = true
	return nil
}

// canOwn reports whether no other host owns the partition. If the lease of
// another owner has not ended, canOwn requests that owner to release the
// partition.
func (c *committer) canOwn(ctx context.Context) bool {
	owner := c.log.head.Owner
	if c.lease == nil || owner == "" || owner == c.owner {
		return true
	}
	if c.lease.hasEnded(ctx, owner) {
		return true
	}
	c.requestRelease(ctx, owner)
	return false
}

// release ends this host's ownership of the partition, so that the next owner
// does not have to wait for this host's lease to expire.
func (c *committer) release(ctx context.Context) *Error {
	if err := c.log.load(ctx); err != nil {
		return &Error{Reason: ReasonUnreadable, Cause: err}
	}
	c.logCurrent, c.confirmedGeneration = false, 0
	if c.log.head.Owner != c.owner {
		return nil
	}
	if result := c.log.commit(ctx, "", c.log.head.Epoch, nil); result.Outcome != kv.OutcomeApplied {
		return &Error{Reason: reasonOfStore(result), Cause: result.Cause}
	}
	Commits.Inc(commitReleased)
	return nil
}

// epoch returns the epoch of the next commit, a number that increases by one when
// the partition's owner changes.
func (c *committer) epoch() uint64 {
	if c.lease == nil || c.log.head.Owner == c.owner {
		return c.log.head.Epoch
	}
	return c.log.head.Epoch + 1
}

// evaluate decides on each operation of a batch in order and returns the log
// entries to commit. It refuses operations whose context has ended.
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
		p.decision = evaluate(existing, found, p.op)
		p.decided = p.decided && !p.decision.needsWrite
		if p.decision.needsWrite {
			changed[p.op.ID] = p.decision.Record
			entries = append(entries, logEntry{ID: p.op.ID, Record: p.decision.Record})
		}
	}
	return entries
}

// handleResult updates the committer and the batch after a commit attempt. It
// returns false if the batch must be tried again.
func (c *committer) handleResult(ctx context.Context, batch []*pendingOperation, result kv.Result) bool {
	switch {
	case result.Outcome == kv.OutcomeApplied:
		Commits.Inc(commitWon)
		// If the result of a write had to be read back, another host may have
		// committed since then.
		c.logCurrent = result.Current.Version == 0
		c.confirmedGeneration = c.generation
		c.log.deleteExpired(ctx)
		return true
	case kv.ReasonOf(result.Cause) == kv.ReasonConflict && (c.lease == nil || c.log.head.Owner != c.owner):
		Commits.Inc(commitConflict)
		c.logCurrent = false
		return false
	case kv.ReasonOf(result.Cause) == kv.ReasonConflict:
		Commits.Inc(commitRefusedByEpoch)
		c.logCurrent, c.ownershipLostAt = false, time.Now()
		failUndecided(batch, Error{Reason: ReasonNotOwner, Cause: result.Cause})
	case kv.ReasonOf(result.Cause) == kv.ReasonRateLimited && wait.For(ctx, rateLimitPause/2+rand.N(rateLimitPause)):
		Commits.Inc(commitRateLimited)
		return false
	case result.Outcome == kv.OutcomeUnknown:
		Commits.Inc(commitUnknown)
		c.logCurrent = false
		failUndecided(batch, Error{Reason: ReasonUnknown, Cause: result.Cause})
	default: // the write had no effect, so the log is unchanged
		Commits.Inc(commitFailed)
		reason := reasonOfStore(result)
		if reason == ReasonUnavailable && !c.isSoleCommitter() {
			reason = ReasonUnreadable
		}
		failUndecided(batch, Error{Reason: reason, Cause: result.Cause})
	}
	return true
}

// failUndecided sets the failure of those operations in a batch that have neither
// failed nor been decided.
func failUndecided(batch []*pendingOperation, failure Error) {
	for _, p := range batch {
		if p.failed == nil && !p.decided {
			failed := failure
			failed.ID = p.op.ID
			p.decision, p.failed = decision{}, &failed
		}
	}
}
