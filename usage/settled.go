package usage

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
)

const (
	// settledPrefix is the key prefix under which the sums of usage windows are stored.
	settledPrefix = "usage/settled/"
	// settledTTL is the time for which the sum of a usage window stays in the store:
	// longer than any reporter repeats the window.
	settledTTL = 2 * time.Minute
	// keptSettled is the number of past usage windows whose final sums each collector keeps:
	// longer than any reporter repeats the window.
	keptSettled = 2 * keptWindows
)

// settle returns the final counts of a window. The first lease holder stores the sum;
// a later holder returns the stored counts, so that each repeated report of a window
// is the same. The store may lose the sum when it comes back from an older copy. The
// sums that this host has stored, or that other collectors have sent, therefore go
// before the stored ones, and a window whose sum may have been lost has no counts.
func (r *Reporter) settle(ctx context.Context, window, first int64) (map[string]int64, error) {
	if counts, known := r.Counts.settledSum(window); known {
		return counts, nil
	}
	key := settledPrefix + strconv.FormatInt(window, 10)
	entry, revision, err := kv.Lookup(ctx, r.Store, key)
	if err != nil {
		return nil, err
	}
	if entry.Version != 0 {
		return r.settled(entry, window)
	}
	if window < first && r.mayBeLost(window, revision.Era()) {
		Records.Inc(labelReportLost)
		events.UsageLost.Log(r.Logger, "window", window, "era", uint64(revision.Era()))
		return nil, nil
	}
	return r.store(ctx, key, window)
}

// store sums the counts of a window and stores the sum, unless another holder has stored one.
func (r *Reporter) store(ctx context.Context, key string, window int64) (map[string]int64, error) {
	counts := r.Counts.sum(window)
	if len(counts) == 0 {
		return nil, nil
	}
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, &kv.RecordError{Key: key, Cause: err}
	}
	leaseID, err := r.Store.Grant(ctx, settledTTL)
	if err != nil {
		return nil, err
	}
	_, err = r.Store.CompareAndSwap(ctx, kv.Write{Key: key, Value: value, Lease: leaseID})
	if kv.ReasonOf(err) == kv.ReasonConflict {
		entry, err := r.Store.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		return r.settled(entry, window)
	}
	if err != nil {
		return nil, err
	}
	r.Counts.recordSettled(window, counts)
	return counts, nil
}

// settled returns and records the stored counts of a window.
func (r *Reporter) settled(entry kv.Entry, window int64) (map[string]int64, error) {
	counts, err := decodeSettled(entry)
	if err != nil {
		return nil, err
	}
	r.Counts.recordSettled(window, counts)
	return counts, nil
}

// mayBeLost reports whether the store may have lost the sum of a window that an earlier holder has reported. It has not
// if it never came back from a copy, or if the window ended after the present era had begun.
func (r *Reporter) mayBeLost(window int64, era kv.Era) bool {
	if era == 0 {
		return false
	}
	sight, ok := kv.EraSightOf(r.Store)
	if !ok || sight.Era != era {
		return true
	}
	return window < windowNumber(r.Now().Add(-time.Since(sight.Since)), r.Window)
}

// settledSum returns the final counts of a window by client account, if they are known on this host.
func (c *Counter) settledSum(window int64) (counts map[string]int64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, known = c.settled[window]
	return counts, known
}

// recordSettled records the final counts of a window, which are sent to the collectors with the next counts.
func (c *Counter) recordSettled(window int64, counts map[string]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(windows{window: counts})
	c.unsent = true
}

// settle adds the final counts of windows that are not known yet, and deletes expired ones. The caller holds c.mu.
func (c *Counter) settle(received windows) {
	for n, counts := range received {
		if _, known := c.settled[n]; !known {
			c.settled[n] = counts
		}
	}
	c.settled.expire(windowNumber(c.now(), c.window) - keptSettled)
}

// decodeSettled decodes the stored counts of a window, by client account.
func decodeSettled(entry kv.Entry) (map[string]int64, error) {
	var counts map[string]int64
	if err := json.Unmarshal(entry.Value, &counts); err != nil {
		return nil, &kv.RecordError{Key: entry.Key, Cause: err}
	}
	for account, n := range counts {
		if n < 0 {
			return nil, &kv.RecordError{Key: entry.Key, Cause: negativeCountError(account)}
		}
	}
	return counts, nil
}

// negativeCountError reports a negative count of the client account that it names.
type negativeCountError string

// Error returns the text with the name of the client account.
func (e negativeCountError) Error() string { return "negative count of account " + string(e) }
