package replica

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/kv"
)

var (
	recordSeeds = flag.Uint64("records.seeds", 2, "how many seeds of TestDeparturesReachHostsInTouch are played, from records.first on, beside those that ever failed")
	recordFirst = flag.Uint64("records.first", 1, "the first seed")
)

const (
	recordPrefix = "servers/"
	recordCount  = 60
	pageRecords  = 10
	// departureBound is the time within which every host in touch must know that an upstream leaves or is gone.
	departureBound = 3 * time.Second
	// departureWatchTimeout equals the timeout of a watch on the upstreams' keys for departureBound.
	departureWatchTimeout = 1200 * time.Millisecond
	maxPageDelay          = 40 * time.Millisecond
	muteSpan              = time.Second
	meanDepartureGap      = 300 * time.Millisecond
	meanStoreFaultGap     = 6 * time.Second
	recordLive            = "ready"
	recordLeaving         = "draining"
)

// recordStore is a store of upstreams' records. Its lists are read in pages that are no snapshot, and its
// watches may be cut and its history dropped.
type recordStore struct {
	mu         sync.Mutex
	random     *rand.Rand
	revision   kv.Version
	entries    map[string]kv.Entry
	history    []kv.Event
	dropped    kv.Version // the newest revision that the history no longer has
	mutedUntil time.Time
	changed    chan struct{} // closed and replaced when something changes
	cut        chan struct{} // closed and replaced when the waiting watches are cut
}

func (s *recordStore) change(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	event := kv.Event{Entry: kv.Entry{Key: key, Value: []byte(value), Version: s.revision}, Deleted: value == ""}
	s.history = append(s.history, event)
	if event.Deleted {
		delete(s.entries, key)
	} else {
		s.entries[key] = event.Entry
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact mutes all watches for muteSpan, then drops the history and cuts them.
func (s *recordStore) compact() {
	s.mu.Lock()
	s.mutedUntil = time.Now().Add(muteSpan)
	s.mu.Unlock()
	time.Sleep(muteSpan)
	s.mu.Lock()
	s.dropped, s.history = s.revision, nil
	s.mu.Unlock()
	s.cutWatches()
}

func (s *recordStore) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// page returns the first records after a key.
func (s *recordStore) page(after string) (entries []kv.Entry, revision kv.Version, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := lo.Filter(lo.Keys(s.entries), func(k string, _ int) bool { return k > after })
	slices.Sort(keys)
	for _, k := range keys[:min(pageRecords, len(keys))] {
		entries = append(entries, s.entries[k])
	}
	return entries, s.revision, time.Duration(s.random.Int64N(int64(maxPageDelay)))
}

// after returns the events after a revision; dropped is whether the history no longer has them.
func (s *recordStore) after(revision kv.Version) (events []kv.Event, asOf kv.Version, dropped bool, changed, cut chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.dropped {
		return nil, 0, true, nil, nil
	}
	if time.Now().After(s.mutedUntil) {
		events = lo.Filter(s.history, func(e kv.Event, _ int) bool { return e.Version > revision })
	}
	return events, s.revision, false, s.changed, s.cut
}

// recordReader is the store as one host reaches it.
type recordReader struct {
	kv.Store
	s    *recordStore
	link cutStore
}

// List implements kv.Store.
func (r recordReader) List(ctx context.Context, _ string) ([]kv.Entry, kv.Version, error) {
	var all []kv.Entry
	first := kv.Version(0)
	for after := ""; ; {
		if err := r.link.answer(ctx); err != nil {
			return nil, 0, err
		}
		entries, revision, delay := r.s.page(after)
		time.Sleep(delay)
		if ctx.Err() != nil {
			return nil, 0, &kv.Error{Reason: kv.ReasonUnknown}
		}
		if first == 0 {
			first = revision
		}
		all = append(all, entries...)
		if len(entries) < pageRecords {
			return all, first, nil
		}
		after = entries[len(entries)-1].Key
	}
}

// Watch implements kv.Store.
func (r recordReader) Watch(ctx context.Context, _ string, after kv.Version) ([]kv.Event, kv.Version, error) {
	if err := r.link.answer(ctx); err != nil {
		return nil, 0, err
	}
	held, cancel := context.WithTimeout(ctx, departureWatchTimeout-250*time.Millisecond)
	defer cancel()
	for {
		events, asOf, dropped, changed, cut := r.s.after(after)
		switch {
		case dropped:
			return nil, 0, &kv.Error{Reason: kv.ReasonNotFound}
		case len(events) > 0:
			return events, asOf, r.link.answer(ctx)
		}
		select {
		case <-changed:
		case <-cut:
			return nil, 0, &kv.Error{Reason: kv.ReasonUnknown}
		case <-held.Done():
			if ctx.Err() != nil {
				return nil, 0, &kv.Error{Reason: kv.ReasonUnknown}
			}
			return nil, asOf, r.link.answer(ctx)
		}
	}
}

// departures plays upstreams that leave while hosts and the store are in trouble.
type departures struct {
	*fleet
	records *recordStore
	mu      sync.Mutex
	copies  map[*fleetHost]map[string]kv.Entry
	next    int
}

func (d *departures) arrive() {
	d.next++
	d.records.change(fmt.Sprintf("%s%03d-%d", recordPrefix, d.random.IntN(1000), d.next), recordLive)
}

// depart lets an upstream leave, in half of the cases without an announcement, and checks later that every
// host in touch knows.
func (d *departures) depart() {
	d.records.mu.Lock()
	live := lo.Keys(lo.PickBy(d.records.entries, func(_ string, e kv.Entry) bool { return string(e.Value) == recordLive }))
	d.records.mu.Unlock()
	if len(live) == 0 {
		return
	}
	slices.Sort(live)
	key := live[d.random.IntN(len(live))]
	announced := d.random.IntN(2) == 0
	if announced {
		d.records.change(key, recordLeaving)
		time.AfterFunc(departureBound+time.Second, func() { d.records.change(key, "") })
	} else {
		d.records.change(key, "")
	}
	now := time.Now()
	inTouch := d.inTouch(now)
	time.AfterFunc(departureBound, func() { d.check(key, announced, now, inTouch) })
}

func (d *departures) check(key string, announced bool, leftAt time.Time, inTouch []*fleetHost) {
	var late []string
	for _, h := range inTouch {
		if h.undisturbed(leftAt) && d.usedBy(h, key) {
			late = append(late, h.String())
		}
	}
	if len(late) > 0 {
		d.t.Errorf("%v after %s left (announced: %v), %d hosts still use it: %s", departureBound, key, announced, len(late),
			strings.Join(late[:min(4, len(late))], ", "))
	}
}

func (d *departures) usedBy(h *fleetHost, key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return string(d.copies[h][key].Value) == recordLive
}

// checkAll checks that every host uses only the upstreams that the store lists.
func (d *departures) checkAll() {
	for _, h := range d.hosts {
		d.mu.Lock()
		used := lo.Keys(d.copies[h])
		d.mu.Unlock()
		d.records.mu.Lock()
		gone := lo.Filter(used, func(key string, _ int) bool { _, listed := d.records.entries[key]; return !listed })
		d.records.mu.Unlock()
		if len(gone) > 0 {
			d.t.Errorf("%s still has %d records that were deleted long ago, for example %s", h.id, len(gone), gone[0])
		}
	}
}

// failedRecordSeeds lists a seed that has failed before for each cause.
var failedRecordSeeds = []uint64{
	103, // hosts that stood behind two others and asked three peers in a row for a copy that was too old
	104, // records that were deleted between the pages of a list
}

// TestDeparturesReachHostsInTouch guards against upstreams that leave, with or without an announcement, and stay
// in the copies of hosts while other hosts restart, are cut off or paused, and while the store drops its history.
func TestDeparturesReachHostsInTouch(t *testing.T) {
	seeds := failedRecordSeeds
	for seed := *recordFirst; seed < *recordFirst+*recordSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		for _, count := range []int{10, 68, fleetHosts} {
			t.Run(fmt.Sprintf("seed=%d,hosts=%d", seed, count), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playDepartures(t, seed, count) })
			})
		}
	}
}

func playDepartures(t *testing.T, seed uint64, hostCount int) {
	records := &recordStore{
		random: rand.New(rand.NewPCG(seed, 2)), revision: 1, entries: map[string]kv.Entry{},
		changed: make(chan struct{}), cut: make(chan struct{}),
	}
	d := &departures{records: records, copies: map[*fleetHost]map[string]kv.Entry{}}
	d.fleet = &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), delays: rand.New(rand.NewPCG(seed, 1)),
		network: innermem.New(seed), left: map[string]bool{},
	}
	d.copied = fleetCopy{
		prefix: recordPrefix, watchTimeout: departureWatchTimeout,
		store: func(h *fleetHost) kv.Store { return recordReader{s: records, link: cutStore{host: h}} },
		installed: func(h *fleetHost, v *View) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.copies[h] = v.Entries
		},
	}
	for range recordCount {
		d.arrive()
	}
	d.startHosts(hostCount)
	var nextFault, nextDeparture, nextStoreFault time.Time
	for began := time.Now(); time.Since(began) < faultySpan; time.Sleep(10 * time.Millisecond) {
		now := time.Now()
		if now.After(nextFault) {
			d.induceFault()
			nextFault = now.Add(d.gap(meanFaultGap * fleetHosts / time.Duration(hostCount)))
		}
		if now.After(nextDeparture) {
			d.depart()
			d.arrive()
			nextDeparture = now.Add(d.gap(meanDepartureGap))
		}
		if now.After(nextStoreFault) {
			if d.random.IntN(2) == 0 {
				go records.compact()
			} else {
				records.cutWatches()
			}
			nextStoreFault = now.Add(d.gap(meanStoreFaultGap))
		}
	}
	time.Sleep(2*maxFaultSpan + drainSpan + 2*departureBound)
	d.checkAll()
	d.stopHosts()
}

// gap returns a random time with the given mean.
func (f *fleet) gap(mean time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(2 * mean)))
}
