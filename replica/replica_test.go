package replica

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/wait"
)

// scriptedStore is a key-value store whose lists and watches are answered by functions of the test.
type scriptedStore struct {
	kv.Store
	list  func() ([]kv.Entry, kv.Version, error)
	watch func(ctx context.Context, after kv.Version) ([]kv.Event, kv.Version, error)
}

func (s *scriptedStore) List(context.Context, string) ([]kv.Entry, kv.Version, error) {
	return s.list()
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after kv.Version) ([]kv.Event, kv.Version, error) {
	return s.watch(ctx, after)
}

func entry(key string, version kv.Version) kv.Entry {
	return kv.Entry{Key: key, Value: []byte(key), Version: version}
}

// watchTimeout equals the timeout of a watch on the upstreams' keys in production.
const watchTimeout = 800 * time.Millisecond

// runReplica runs the replica in a goroutine until the returned function is called.
func runReplica(t *testing.T, r *Replica) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// A watch may return no changes, but a revision higher than a change that is reported late. The
// next watch must still start before that change. Otherwise, a draining upstream receives requests
// for two more seconds.
func TestChangeBehindAnEmptyWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		empty := true
		store := &scriptedStore{
			list: func() ([]kv.Entry, kv.Version, error) { return []kv.Entry{entry("p/a", 5)}, 5, nil },
			watch: func(ctx context.Context, after kv.Version) ([]kv.Event, kv.Version, error) {
				time.Sleep(time.Second)
				if empty {
					empty = false
					return nil, 9, nil // the deletion at revision 8 is reported late
				}
				if after < 8 {
					return []kv.Event{{Entry: kv.Entry{Key: "p/a", Version: 8}, Deleted: true}}, 9, nil
				}
				<-ctx.Done()
				return nil, 0, &kv.Error{Reason: kv.ReasonUnknown}
			},
		}
		r := New(store, "p/", watchTimeout, nil, hclog.NewNullLogger())
		defer runReplica(t, r)()
		time.Sleep(2500 * time.Millisecond)
		if view := r.Current(); len(view.Entries) != 0 {
			t.Errorf("the deleted key is still there at revision %d", view.Revision)
		}
	})
}

// A watch may return one change, and a revision higher than a second change that is reported late.
// The next watch must still start before the second change. Otherwise, the upstream lists of all
// hosts stay unchanged for 2 s after the last change that a reader of the service received.
func TestChangeBehindAWatchWithChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{
			list: func() ([]kv.Entry, kv.Version, error) { return []kv.Entry{entry("p/a", 5)}, 5, nil },
			watch: func(ctx context.Context, after kv.Version) ([]kv.Event, kv.Version, error) {
				time.Sleep(100 * time.Millisecond)
				switch {
				case after < 7:
					return []kv.Event{{Entry: entry("p/b", 7)}}, 9, nil // the deletion at revision 8 is reported late
				case after < 8:
					return []kv.Event{{Entry: kv.Entry{Key: "p/a", Version: 8}, Deleted: true}}, 9, nil
				}
				<-ctx.Done()
				return nil, 0, &kv.Error{Reason: kv.ReasonUnknown}
			},
		}
		r := New(store, "p/", watchTimeout, nil, hclog.NewNullLogger())
		defer runReplica(t, r)()
		time.Sleep(time.Second)
		if _, exists := r.Current().Entries["p/a"]; exists {
			t.Errorf("the deleted key is still there at revision %d", r.Current().Revision)
		}
	})
}

// When many upstreams start in quick succession, one watch returns several of their changes, so that
// the number of calls stays bounded; the first change is visible without delay.
func TestChangesInQuickSuccessionShareAWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, calls := time.Now(), 0
		store := &scriptedStore{
			list: func() ([]kv.Entry, kv.Version, error) { return nil, 1, nil },
			watch: func(_ context.Context, after kv.Version) ([]kv.Event, kv.Version, error) {
				calls++
				time.Sleep(4 * time.Millisecond)
				newest := kv.Version(1 + time.Since(began)/(5*time.Millisecond))
				if newest == after {
					time.Sleep(5 * time.Millisecond)
					newest++
				}
				return []kv.Event{{Entry: entry("p/a", newest)}}, newest, nil
			},
		}
		r := New(store, "p/", watchTimeout, nil, hclog.NewNullLogger())
		stop := runReplica(t, r)
		time.Sleep(20 * time.Millisecond)
		if r.Current().Revision < 2 {
			t.Error("the first change is not visible after 20 ms")
		}
		time.Sleep(time.Second - 20*time.Millisecond)
		stop()
		if maxCalls := int(time.Second/(watchTimeout/pauseDivisor)) + 1; calls > maxCalls {
			t.Errorf("%d watch calls in 1 s, bound %d", calls, maxCalls)
		}
	})
}

// fakePeers implements Peers by a function of the test.
type fakePeers struct {
	isReader bool // the host reads the key-value service itself
	newer    func(after kv.Version, wait time.Duration) (*Change, error)
}

func (p *fakePeers) Depth() int {
	if p.isReader {
		return 0
	}
	return 1
}

func (p *fakePeers) Newer(_ context.Context, _ int, _ string, after kv.Version, wait time.Duration) (*Change, error) {
	return p.newer(after, wait)
}

// A host that copies from a peer switches away from it when the peer is cut off from the key-value
// service without an error. The host must learn of a change within 2 s, the time for which a draining
// upstream may still receive requests. With peer requests of 0.9 s and watches of 1.7 s it took up
// to 2.6 s.
func TestFollowerOfAPeerThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		store := &scriptedStore{list: func() ([]kv.Entry, kv.Version, error) {
			if time.Since(began) < time.Second {
				return []kv.Entry{entry("p/a", 5)}, 5, nil
			}
			return nil, 9, nil
		}}
		peers := &fakePeers{newer: func(_ kv.Version, wait time.Duration) (*Change, error) {
			time.Sleep(wait)
			return &Change{Revision: 5, AgeMS: max(0, time.Since(began)-time.Second).Milliseconds()}, nil
		}}
		r := New(store, "p/", watchTimeout, peers, hclog.NewNullLogger())
		defer runReplica(t, r)()
		time.Sleep(3 * time.Second)
		if view := r.Current(); len(view.Entries) != 0 {
			t.Errorf("the view is still the stale peer's copy at revision %d", view.Revision)
		}
	})
}

// A host that the key-value service rejects fetches a newer copy from a peer.
func TestHostThatTheServiceTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{list: func() ([]kv.Entry, kv.Version, error) {
			return nil, 0, &kv.Error{Reason: kv.ReasonUnavailable}
		}}
		peers := &fakePeers{isReader: true, newer: func(after kv.Version, _ time.Duration) (*Change, error) {
			if after >= 7 {
				return &Change{Revision: 7}, nil
			}
			return &Change{Revision: 7, Full: true, Entries: []kv.Entry{entry("p/a", 7)}}, nil
		}}
		r := New(store, "p/", watchTimeout, peers, hclog.NewNullLogger())
		defer runReplica(t, r)()
		time.Sleep(time.Second)
		if view := r.Current(); view == nil || view.Revision != 7 || len(view.Entries) != 1 {
			t.Errorf("the peer's copy is not installed: %+v", view)
		}
	})
}

// A reader of the key-value service that was cut off reports its own failures to its peers as an
// outage of the service. A peer whose copy was confirmed meanwhile must not record that outage;
// otherwise, it sends requests to a draining upstream for 2.5 s more (limit 2 s).
func TestReaderThatWasCutOffIsNoOutage(t *testing.T) {
	for _, row := range []struct {
		name       string
		copyAge    time.Duration // time since the last confirmation of the peer's copy
		wantOutage bool
	}{
		{"copy confirmed 100 ms ago", 100 * time.Millisecond, false},
		{"copy confirmed one watch timeout ago", watchTimeout, false},
		{"no host could read the service", 4 * time.Second, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			now := time.Now()
			r := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
			r.install(copied{entries: map[string]kv.Entry{"p/a": entry("p/a", 3)}, revision: 5, readAt: now.Add(-row.copyAge), complete: 5, source: labelList})
			r.apply(&Change{Revision: 6, Deleted: []Deletion{{Key: "p/a", Revision: 6}}, OutageAgoMS: 50, OutageForMS: 3000}, now)
			if view := r.Current(); len(view.Entries) != 0 || view.OutageEnded.IsZero() == row.wantOutage {
				t.Errorf("entries %v (want none), end of the recorded outage %v", view.Entries, view.OutageEnded)
			}
		})
	}
}

// A reader that alone is cut off from the key-value service copies from peers that still read the
// service, and records no outage afterwards. If no host can read the service, it records an outage.
func TestOwnCutIsNoOutage(t *testing.T) {
	for _, row := range []struct {
		name       string
		allCutOff  bool // the other hosts cannot read the service either
		wantOutage bool
	}{{"other hosts can read the service", false, false}, {"no host can read the service", true, true}} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				cutOff := func() bool { since := time.Since(began); return since > time.Second && since < 6*time.Second }
				store := &scriptedStore{
					list: func() ([]kv.Entry, kv.Version, error) {
						if cutOff() {
							return nil, 0, &kv.Error{Reason: kv.ReasonUnavailable}
						}
						return []kv.Entry{entry("p/a", 5)}, 5, nil
					},
					watch: func(ctx context.Context, _ kv.Version) ([]kv.Event, kv.Version, error) {
						time.Sleep(watchTimeout / 4)
						if cutOff() {
							return nil, 0, &kv.Error{Reason: kv.ReasonUnavailable}
						}
						return nil, 5, nil
					},
				}
				peers := &fakePeers{isReader: true, newer: func(kv.Version, time.Duration) (*Change, error) {
					age := time.Since(began) % watchTimeout
					if row.allCutOff && cutOff() {
						age = time.Since(began) - time.Second
					}
					return &Change{Revision: 5, AgeMS: age.Milliseconds()}, nil
				}}
				r := New(store, "p/", watchTimeout, peers, hclog.NewNullLogger())
				defer runReplica(t, r)()
				time.Sleep(8 * time.Second)
				if view := r.Current(); view.OutageEnded.IsZero() == row.wantOutage {
					t.Errorf("recorded outage from %v to %v after the start", view.OutageBegan.Sub(began), view.OutageEnded.Sub(began))
				}
			})
		})
	}
}

// The changes of a view since a revision update a peer's copy of that revision to the same view.
func TestChangesSinceARevision(t *testing.T) {
	r := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
	listed := func(revision kv.Version, entries ...kv.Entry) copied {
		byKey := map[string]kv.Entry{}
		for _, e := range entries {
			byKey[e.Key] = e
		}
		return copied{entries: byKey, revision: revision, readAt: time.Now(), complete: revision, source: labelList}
	}
	r.install(listed(5, entry("p/a", 3), entry("p/b", 4)))
	watched := listed(7, entry("p/a", 3), entry("p/c", 7))
	watched.complete, watched.deleted, watched.source = 5, []Deletion{{Key: "p/b", Revision: 6}}, labelWatch
	r.install(watched)
	change := r.Current().since(5, time.Now())
	if change.Full || len(change.Entries) != 1 || len(change.Deleted) != 1 || change.Deleted[0].Key != "p/b" {
		t.Errorf("changes since revision 5: %+v", change)
	}
	if change := r.Current().since(0, time.Now()); !change.Full || len(change.Entries) != 2 {
		t.Errorf("changes for a host without a copy: %+v", change)
	}
	// Revision 3 is older than the first view: the change lists the newer entries and all
	// remaining keys, because the deletions since then are unknown.
	early := r.Current().since(3, time.Now())
	if early.Full || len(early.Entries) != 1 || len(early.Keys) != 2 {
		t.Errorf("changes since a revision before the first view: %+v", early)
	}
	late := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
	late.install(listed(3, entry("p/a", 3), entry("p/gone", 2)))
	late.apply(early, time.Now())
	if view := late.Current(); len(view.Entries) != 2 || view.Entries["p/c"].Version != 7 {
		t.Errorf("the outdated copy was updated to %+v", view.Entries)
	}
	// A list does not say which keys were deleted since revision 5.
	lister := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
	lister.install(listed(5, entry("p/a", 3), entry("p/b", 4)))
	lister.install(listed(7, entry("p/a", 3), entry("p/c", 7)))
	for source, change := range map[string]*Change{labelWatch: change, labelList: lister.Current().since(5, time.Now())} {
		follower := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
		follower.install(listed(5, entry("p/a", 3), entry("p/b", 4)))
		follower.apply(change, time.Now())
		if view := follower.Current(); len(view.Entries) != 2 || view.Entries["p/c"].Version != 7 {
			t.Errorf("the copy of revision 5 was updated by a %s to %+v", source, view.Entries)
		}
		follower.install(listed(6))
		if follower.Current().Revision != 7 {
			t.Error("an older view replaced a newer one")
		}
	}
}

// Guards against a record that stays in the copy of one host for good: it was deleted while another host read
// the pages of a list, so that the copy of that host never had it at a revision that the first host asks after.
func TestDeletionBetweenThePagesOfAList(t *testing.T) {
	reader := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
	follower := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
	read := func(revision kv.Version, keys ...string) copied {
		c := copied{entries: map[string]kv.Entry{}, revision: revision, readAt: time.Now(), complete: revision, source: labelList}
		for _, key := range keys {
			c.entries[key] = entry(key, 2)
		}
		return c
	}
	follower.install(read(6, "p/a", "p/b"))
	reader.install(read(5, "p/b")) // p/a was deleted at revision 7, after the first page
	watched := read(7, "p/b")
	watched.deleted, watched.complete = []Deletion{{Key: "p/a", Revision: 7}}, 5
	reader.install(watched)
	follower.apply(reader.changesAfter(t.Context(), 6, 0), time.Now())
	if _, kept := follower.Current().Entries["p/a"]; kept {
		t.Errorf("the deleted record is still there at revision %d", follower.Current().Revision)
	}
	relayed := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
	relayed.install(read(6, "p/a", "p/b"))
	relayed.apply(follower.changesAfter(t.Context(), 6, 0), time.Now())
	if _, kept := relayed.Current().Entries["p/a"]; kept {
		t.Error("the deleted record is still there at a host behind the first one")
	}
}

// Guards against a record that a late change takes back to an earlier version: a list may be newer than its revision.
func TestOlderVersionDoesNotReplaceANewerOne(t *testing.T) {
	r := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
	r.install(copied{entries: map[string]kv.Entry{"p/a": entry("p/a", 9)}, revision: 5, readAt: time.Now(), complete: 5, source: labelList})
	r.apply(&Change{Revision: 7, Entries: []kv.Entry{entry("p/a", 6)}, Deleted: []Deletion{{Key: "p/a", Revision: 7}}}, time.Now())
	if got := r.Current().Entries["p/a"].Version; got != 9 {
		t.Errorf("the record has version %d, want 9", got)
	}
}

// A host that starts copies from a running peer and does not read the key-value service, so that the
// start of hundreds of hosts does not overload it. If the peer has no copy, the host reads the service.
func TestStartingHostCopiesFromPeer(t *testing.T) {
	for name, initial := range map[string]*Change{
		"peer has a copy":  {Revision: 7, Full: true, Entries: []kv.Entry{entry("p/a", 7)}},
		"peer has no copy": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lists := 0
				store := &scriptedStore{list: func() ([]kv.Entry, kv.Version, error) {
					lists++
					return []kv.Entry{entry("p/a", 7)}, 7, nil
				}}
				peers := &fakePeers{newer: func(after kv.Version, wait time.Duration) (*Change, error) {
					if after == 0 {
						return initial, nil
					}
					time.Sleep(wait)
					return &Change{Revision: 7}, nil
				}}
				r := New(store, "p/", watchTimeout, peers, hclog.NewNullLogger())
				stop := runReplica(t, r)
				time.Sleep(time.Second)
				stop()
				if view := r.Current(); view == nil || len(view.Entries) != 1 {
					t.Fatalf("the host has no copy: %+v", view)
				}
				if want := map[bool]int{true: 1, false: 0}[initial.Revision == 0]; lists != want {
					t.Errorf("%d list calls to the key-value service, want %d", lists, want)
				}
			})
		})
	}
}

// A subscriber that panics on an unexpected value neither ends the process nor stops the updates of
// the copy. Otherwise, all hosts would fail at once, because every host reads the same value.
func TestValueThatASubscriberPanicsOver(t *testing.T) {
	r := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
	seen := kv.Version(0)
	r.Subscribe(func(v *View) {
		if v.Revision == 6 {
			panic("unexpected value")
		}
		seen = v.Revision
	})
	for revision := kv.Version(5); revision <= 7; revision++ {
		r.install(copied{entries: map[string]kv.Entry{"p/a": entry("p/a", revision)}, revision: revision, readAt: time.Now(), complete: revision, source: labelList})
		if got := r.Current().Revision; got != revision {
			t.Errorf("the copy has revision %d after revision %d was installed", got, revision)
		}
	}
	if seen != 7 {
		t.Errorf("the subscriber was last called with revision %d, want 7", seen)
	}
}

// A host whose peers do not answer for 3 s reads the key-value service only when its own copy is no
// longer fresh, so that the hosts of a large fleet do not overload the service.
func TestHostWithBusyPeersReadsServiceOnlyWhenStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var lists atomic.Int32
		store := &scriptedStore{list: func() ([]kv.Entry, kv.Version, error) {
			lists.Add(1)
			return []kv.Entry{entry("p/a", 5)}, 5, nil
		}}
		peers := &fakePeers{newer: func(after kv.Version, wait time.Duration) (*Change, error) {
			if since := time.Since(began); after > 0 && since > time.Second && since < 4*time.Second {
				return nil, &kv.Error{Reason: kv.ReasonUnavailable}
			}
			time.Sleep(wait)
			return &Change{Revision: 5, Full: after == 0, HeldMS: wait.Milliseconds(), Entries: []kv.Entry{entry("p/a", 5)}}, nil
		}}
		r := New(store, "p/", watchTimeout, peers, hclog.NewNullLogger())
		stop := runReplica(t, r)
		time.Sleep(time.Second + watchTimeout/2)
		if n := lists.Load(); n != 0 {
			t.Errorf("%d list calls while the copy was fresh, want 0", n)
		}
		time.Sleep(5 * time.Second)
		stop()
		if n, maxLists := lists.Load(), int32(3); n == 0 || n > maxLists {
			t.Errorf("%d list calls in 3 s without answers from peers, want 1 to %d", n, maxLists)
		}
	})
}

// pagedStore is a key-value store that sends a list in pages, each after a delay.
type pagedStore struct {
	kv.Store
	pages int
	delay time.Duration
}

func (s *pagedStore) List(ctx context.Context, _ string) ([]kv.Entry, kv.Version, error) {
	for range s.pages {
		if !wait.For(ctx, s.delay) {
			return nil, 0, &kv.Error{Op: "list", Reason: kv.ReasonUnknown, Cause: context.Cause(ctx)}
		}
		kv.PageArrived(ctx)
	}
	return []kv.Entry{entry("p/a", 5)}, 5, nil
}

func (s *pagedStore) Watch(ctx context.Context, _ string, after kv.Version) ([]kv.Event, kv.Version, error) {
	<-ctx.Done()
	return nil, after, nil
}

// TestListOfManyPages guards against a host that gets no copy, and so is never ready, because all pages of the list
// together take longer than a read may; a page that does not arrive still ends the read in time.
func TestListOfManyPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(&pagedStore{pages: 100, delay: 50 * time.Millisecond}, "p/", watchTimeout, nil, hclog.NewNullLogger())
		stop := runReplica(t, r)
		time.Sleep(6 * time.Second)
		if r.Current() == nil {
			t.Error("no copy after 6 s, of a list that takes 5 s")
		}
		stop()
		silent := New(&pagedStore{pages: 2, delay: listTimeout + time.Millisecond}, "p/", watchTimeout, nil, hclog.NewNullLogger())
		began := time.Now()
		err := silent.list(t.Context())
		if took := time.Since(began); took != listTimeout || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("the list ended after %v with error %v, want %v and a deadline", took, err, listTimeout)
		}
	})
}
