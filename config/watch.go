package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// groupCheckInterval is the interval at which a member checks whether it is one
	// of the group's watchers.
	groupCheckInterval = time.Second
	// checksPerSecond is the rate of periodic store reads of all group members together.
	checksPerSecond = 4
	// minCheckInterval is the shortest mean interval between periodic store reads of
	// one member.
	minCheckInterval = time.Second
)

// Run follows the configuration until ctx ends.
//
// A member of a group watches the key-value store while it is one of the group's
// watchers. Every member also reads the store periodically, at a total rate that
// all members share: new revisions are found even without any watcher, and each
// member makes fewer calls as the group grows.
func (f *Follower) Run(ctx context.Context) {
	f.readFirst(ctx)
	var background sync.WaitGroup
	background.Go(func() { f.readPeriodically(ctx) })
	defer background.Wait()
	for ctx.Err() == nil {
		if !f.group().watches() {
			wait.For(ctx, groupCheckInterval)
			continue
		}
		f.watchWhileWatcher(ctx)
	}
}

// readFirst reads the store until the store has answered once or a peer has sent
// a document.
func (f *Follower) readFirst(ctx context.Context) {
	for failures := 0; ctx.Err() == nil && f.Current() == nil; failures++ {
		_, err := f.read(ctx, callRead)
		if err == nil {
			return
		}
		f.logReadError(ctx, err)
		if f.Current() == nil && failures == 0 {
			events.ConfigNone.Log(f.logger)
		}
		wait.For(ctx, retryDelay(failures))
	}
}

// watchWhileWatcher watches the store while this member is one of the group's watchers.
func (f *Follower) watchWhileWatcher(ctx context.Context) {
	f.watching.Store(true)
	defer f.watching.Store(false)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var background sync.WaitGroup
	background.Go(func() { f.watch(watchCtx) })
	for watchCtx.Err() == nil && f.group().watches() {
		wait.For(watchCtx, groupCheckInterval)
	}
	stopWatch()
	background.Wait()
}

// watch reads the store and then watches it from the version of that read, so
// that no write in between is missed.
func (f *Follower) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		after, err := f.read(ctx, callRead)
		for err == nil && ctx.Err() == nil {
			failures = 0
			after, err = f.watchOnce(ctx, after)
		}
		if err != nil {
			f.logReadError(ctx, err)
			wait.For(ctx, retryDelay(failures))
			failures++
		}
	}
}

func (f *Follower) watchOnce(ctx context.Context, after kv.Version) (kv.Version, error) {
	StoreCalls.Inc(callWatch)
	began := time.Now()
	changes, reached, err := f.store.Watch(ctx, Key, after)
	if err != nil {
		return 0, err
	}
	if len(changes) == 0 && time.Since(began) < minRetryDelay {
		wait.For(ctx, minRetryDelay)
	}
	f.recordAnswer()
	for _, change := range changes {
		if !change.Deleted && change.Key == Key {
			f.adoptFromStore(change.Value)
		}
	}
	return max(after, reached), nil
}

// readPeriodically reads the store at random intervals. The first delay is
// random, up to a whole interval, so that the reads of members that started
// together are spread evenly over the interval.
func (f *Follower) readPeriodically(ctx context.Context) {
	delay := rand.N(checkInterval(f.group()))
	for wait.For(ctx, delay); ctx.Err() == nil; wait.For(ctx, delay) {
		if _, err := f.read(ctx, callCheck); err != nil {
			f.logReadError(ctx, err)
		}
		interval := checkInterval(f.group())
		delay = interval/2 + rand.N(interval)
	}
}

// checkInterval returns the mean interval between periodic store reads of one
// member at which all members of g together make checksPerSecond reads.
func checkInterval(g Group) time.Duration {
	return max(time.Duration(len(g.Members))*time.Second/checksPerSecond, minCheckInterval)
}

func retryDelay(failures int) time.Duration {
	delay := min(minRetryDelay<<min(failures, 10), maxRetryDelay)
	return delay/2 + rand.N(delay/2)
}

func (f *Follower) logReadError(ctx context.Context, err error) {
	if ctx.Err() == nil {
		events.ConfigReadFailed.Log(f.logger, "error", err)
	}
}
