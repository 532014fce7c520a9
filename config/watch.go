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
	// roleInterval is the time between two looks at the group.
	roleInterval = time.Second
	// checksPerSecond is the rate of checking reads of all members together.
	checksPerSecond = 4
	// minCheckInterval bounds the checking reads of one member.
	minCheckInterval = time.Second
)

// Run follows the configuration until ctx ends.
//
// A member of a group watches the store while it is one of the group's
// watchers. Every member also checks the store from time to time, at a rate
// that all members share: a new revision is found without any watcher, and
// the calls of one member fall as the group grows.
func (f *Follower) Run(ctx context.Context) {
	f.start(ctx)
	var background sync.WaitGroup
	background.Go(func() { f.check(ctx) })
	defer background.Wait()
	for ctx.Err() == nil {
		if !f.group().watches() {
			wait.For(ctx, roleInterval)
			continue
		}
		f.watchInRole(ctx)
	}
}

// start reads the store until it answered once or a peer's document is known.
func (f *Follower) start(ctx context.Context) {
	for failures := 0; ctx.Err() == nil && f.Current() == nil; failures++ {
		_, err := f.read(ctx, callRead)
		if err == nil {
			return
		}
		f.failed(ctx, err)
		if f.Current() == nil && failures == 0 {
			events.ConfigNone.Log(f.logger)
		}
		wait.For(ctx, retryDelay(failures))
	}
}

// watchInRole watches the store while this member is one of the watchers.
func (f *Follower) watchInRole(ctx context.Context) {
	f.watching.Store(true)
	defer f.watching.Store(false)
	role, end := context.WithCancel(ctx)
	defer end()
	var background sync.WaitGroup
	background.Go(func() { f.watch(role) })
	for role.Err() == nil && f.group().watches() {
		wait.For(role, roleInterval)
	}
	end()
	background.Wait()
}

// watch reads the store and then watches from the version read, so that no
// write falls between the two.
func (f *Follower) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		after, err := f.read(ctx, callRead)
		for err == nil && ctx.Err() == nil {
			failures = 0
			after, err = f.watchOnce(ctx, after)
		}
		if err != nil {
			f.failed(ctx, err)
			wait.For(ctx, retryDelay(failures))
			failures++
		}
	}
}

func (f *Follower) watchOnce(ctx context.Context, after kv.Version) (kv.Version, error) {
	Reads.Inc(callWatch)
	began := time.Now()
	changes, reached, err := f.store.Watch(ctx, Key, after)
	if err != nil {
		return 0, err
	}
	if len(changes) == 0 && time.Since(began) < minRetryDelay {
		wait.For(ctx, minRetryDelay)
	}
	f.answered()
	for _, change := range changes {
		if !change.Deleted && change.Key == Key {
			f.learn(change.Value)
		}
	}
	return max(after, reached), nil
}

// check reads the store from time to time. The first wait is anything up to a
// whole interval, so that the checks of members that started together spread
// evenly over it.
func (f *Follower) check(ctx context.Context) {
	delay := rand.N(checkInterval(f.group()))
	for wait.For(ctx, delay); ctx.Err() == nil; wait.For(ctx, delay) {
		if _, err := f.read(ctx, callCheck); err != nil {
			f.failed(ctx, err)
		}
		interval := checkInterval(f.group())
		delay = interval/2 + rand.N(interval)
	}
}

// checkInterval returns the mean time between a member's checks that keeps the
// group at its rate.
func checkInterval(g Group) time.Duration {
	return max(time.Duration(len(g.Members))*time.Second/checksPerSecond, minCheckInterval)
}

func retryDelay(failures int) time.Duration {
	delay := min(minRetryDelay<<min(failures, 10), maxRetryDelay)
	return delay/2 + rand.N(delay/2)
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() == nil {
		events.ConfigReadFailed.Log(f.logger, "error", err)
	}
}
