package replica

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/kv"
)

// scriptedStore answers lists and watches from a script.
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

// watchSpan is how long a watch of the upstreams lasts in the daemon.
const watchSpan = 1200 * time.Millisecond

// run follows until the returned function is called.
func run(t *testing.T, r *Replica) (stop func()) {
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

// A watch that ends empty with a revision beyond a change that it did not
// report: the next watch still begins before that change. This was an upstream
// that left and got requests for two more seconds.
func TestChangeBehindAnEmptyWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		empty := true
		store := &scriptedStore{
			list: func() ([]kv.Entry, kv.Version, error) { return []kv.Entry{entry("p/a", 5)}, 5, nil },
			watch: func(ctx context.Context, after kv.Version) ([]kv.Event, kv.Version, error) {
				time.Sleep(time.Second)
				if empty {
					empty = false
					return nil, 9, nil // the change at 8 is reported late
				}
				if after < 8 {
					return []kv.Event{{Entry: kv.Entry{Key: "p/a", Version: 8}, Deleted: true}}, 9, nil
				}
				<-ctx.Done()
				return nil, 0, &kv.Error{Reason: kv.ReasonUnknown}
			},
		}
		r := New(store, "p/", watchSpan, nil, hclog.NewNullLogger())
		defer run(t, r)()
		time.Sleep(2500 * time.Millisecond)
		if view := r.Current(); len(view.Entries) != 0 {
			t.Errorf("the deleted key is still there at revision %d", view.Revision)
		}
	})
}

// A watch that brings a change, with a revision beyond another one that is
// reported late: the next watch still begins before that one. Lists of all hosts
// stood still for 2 s after a reader's last change.
func TestChangeBehindAWatchWithChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{
			list: func() ([]kv.Entry, kv.Version, error) { return []kv.Entry{entry("p/a", 5)}, 5, nil },
			watch: func(ctx context.Context, after kv.Version) ([]kv.Event, kv.Version, error) {
				time.Sleep(100 * time.Millisecond)
				switch {
				case after < 7:
					return []kv.Event{{Entry: entry("p/b", 7)}}, 9, nil // that at 8 is reported late
				case after < 8:
					return []kv.Event{{Entry: kv.Entry{Key: "p/a", Version: 8}, Deleted: true}}, 9, nil
				}
				<-ctx.Done()
				return nil, 0, &kv.Error{Reason: kv.ReasonUnknown}
			},
		}
		r := New(store, "p/", watchSpan, nil, hclog.NewNullLogger())
		defer run(t, r)()
		time.Sleep(time.Second)
		if _, there := r.Current().Entries["p/a"]; there {
			t.Errorf("the deleted key is still there at revision %d", r.Current().Revision)
		}
	})
}

// A day on which many upstreams start: their changes come together, so that a
// reader's calls do not grow with them; the first one is known at once.
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
		r := New(store, "p/", watchSpan, nil, hclog.NewNullLogger())
		stop := run(t, r)
		time.Sleep(20 * time.Millisecond)
		if r.Current().Revision < 2 {
			t.Error("the first change was held back")
		}
		time.Sleep(time.Second - 20*time.Millisecond)
		stop()
		if most := pausePart + 1; calls > most {
			t.Errorf("%d calls in a second, bound %d", calls, most)
		}
	})
}

// fakePeers answers from another replica's view.
type fakePeers struct {
	watches bool
	newer   func(after kv.Version, wait time.Duration) (*Change, error)
}

func (p *fakePeers) Depth() int {
	if p.watches {
		return 0
	}
	return 1
}

func (p *fakePeers) Newer(_ context.Context, _ int, _ string, after kv.Version, wait time.Duration) (*Change, error) {
	return p.newer(after, wait)
}

// A follower leaves a peer that the service has cut off in silence, and knows of
// a change within the two seconds in which a leaving upstream may get requests.
// With a question of 0.9 s and a watch of 1.7 s it took up to 2.6 s.
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
		r := New(store, "p/", watchSpan, peers, hclog.NewNullLogger())
		defer run(t, r)()
		time.Sleep(3 * time.Second)
		if view := r.Current(); len(view.Entries) != 0 {
			t.Errorf("still the peer's copy of revision %d", view.Revision)
		}
	})
}

// While the service turns this host away, it takes a newer copy from a peer.
func TestHostThatTheServiceTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{list: func() ([]kv.Entry, kv.Version, error) {
			return nil, 0, &kv.Error{Reason: kv.ReasonUnavailable}
		}}
		peers := &fakePeers{watches: true, newer: func(after kv.Version, _ time.Duration) (*Change, error) {
			if after >= 7 {
				return &Change{Revision: 7}, nil
			}
			return &Change{Revision: 7, Full: true, Entries: []kv.Entry{entry("p/a", 7)}}, nil
		}}
		r := New(store, "p/", watchSpan, peers, hclog.NewNullLogger())
		defer run(t, r)()
		time.Sleep(time.Second)
		if view := r.Current(); view == nil || view.Revision != 7 || len(view.Entries) != 1 {
			t.Errorf("no copy of the peer: %+v", view)
		}
	})
}

// A reader that was cut off is back and takes its own cut for an outage of the
// service; an upstream goes just then. A follower whose copies were confirmed all
// the while does not believe in the outage, so that it gives the upstream up at
// once. It kept it for 2.5 s more, while leaving ones may get requests for 2 s.
func TestReaderThatWasCutOffIsNoOutage(t *testing.T) {
	for _, row := range []struct {
		name      string
		confirmed time.Duration // how long ago the follower's copy was
		outage    bool
	}{
		{"copy confirmed a moment ago", 100 * time.Millisecond, false},
		{"copy as old as a watch lasts", watchSpan, false},
		{"nobody had an answer", 4 * time.Second, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			now := time.Now()
			r := New(nil, "p/", watchSpan, nil, hclog.NewNullLogger())
			r.install(map[string]kv.Entry{"p/a": entry("p/a", 3)}, 5, now.Add(-row.confirmed), labelList)
			r.apply(&Change{Revision: 6, Deleted: []Deletion{{Key: "p/a", Revision: 6}}, OutageAgoMS: 50, OutageForMS: 3000}, now)
			if view := r.Current(); len(view.Entries) != 0 || view.OutageEnded.IsZero() == row.outage {
				t.Errorf("entries %v, outage ended %v", view.Entries, view.OutageEnded)
			}
		})
	}
}

// A reader of the service is cut off from it and asks the others, which go on
// reading: it is back without an outage. Where nobody has an answer, there is one.
func TestOwnCutIsNoOutage(t *testing.T) {
	for _, row := range []struct {
		name   string
		down   bool // for the others, too
		outage bool
	}{{"others read on", false, false}, {"nobody reads", true, true}} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				cut := func() bool { since := time.Since(began); return since > time.Second && since < 6*time.Second }
				store := &scriptedStore{
					list: func() ([]kv.Entry, kv.Version, error) {
						if cut() {
							return nil, 0, &kv.Error{Reason: kv.ReasonUnavailable}
						}
						return []kv.Entry{entry("p/a", 5)}, 5, nil
					},
					watch: func(ctx context.Context, _ kv.Version) ([]kv.Event, kv.Version, error) {
						time.Sleep(watchSpan / 4)
						if cut() {
							return nil, 0, &kv.Error{Reason: kv.ReasonUnavailable}
						}
						return nil, 5, nil
					},
				}
				peers := &fakePeers{watches: true, newer: func(kv.Version, time.Duration) (*Change, error) {
					age := time.Since(began) % watchSpan
					if row.down && cut() {
						age = time.Since(began) - time.Second
					}
					return &Change{Revision: 5, AgeMS: age.Milliseconds()}, nil
				}}
				r := New(store, "p/", watchSpan, peers, hclog.NewNullLogger())
				defer run(t, r)()
				time.Sleep(8 * time.Second)
				if view := r.Current(); view.OutageEnded.IsZero() == row.outage {
					t.Errorf("outage from %v to %v", view.OutageBegan.Sub(began), view.OutageEnded.Sub(began))
				}
			})
		})
	}
}

// What a view has beyond a revision brings a follower to the same view.
func TestChangesSinceARevision(t *testing.T) {
	r := New(nil, "p/", watchSpan, nil, hclog.NewNullLogger())
	install := func(revision kv.Version, entries ...kv.Entry) {
		byKey := map[string]kv.Entry{}
		for _, e := range entries {
			byKey[e.Key] = e
		}
		r.install(byKey, revision, time.Now(), labelList)
	}
	install(5, entry("p/a", 3), entry("p/b", 4))
	install(7, entry("p/a", 3), entry("p/c", 7))
	change := r.Current().since(5, time.Now())
	if change.Full || len(change.Entries) != 1 || len(change.Deleted) != 1 || change.Deleted[0].Key != "p/b" {
		t.Errorf("since 5: %+v", change)
	}
	if change := r.Current().since(0, time.Now()); !change.Full || len(change.Entries) != 2 {
		t.Errorf("for a host without a copy: %+v", change)
	}
	// Before the first view: only what changed since, and what is there still.
	early := r.Current().since(3, time.Now())
	if early.Full || len(early.Entries) != 1 || len(early.Keys) != 2 {
		t.Errorf("before the first view: %+v", early)
	}
	late := New(nil, "p/", watchSpan, nil, hclog.NewNullLogger())
	late.install(map[string]kv.Entry{"p/a": entry("p/a", 3), "p/gone": entry("p/gone", 2)}, 3, time.Now(), labelList)
	late.apply(early, time.Now())
	if view := late.Current(); len(view.Entries) != 2 || view.Entries["p/c"].Version != 7 {
		t.Errorf("the late follower has %+v", view.Entries)
	}
	follower := New(nil, "p/", watchSpan, nil, hclog.NewNullLogger())
	follower.install(map[string]kv.Entry{"p/a": entry("p/a", 3), "p/b": entry("p/b", 4)}, 5, time.Now(), labelList)
	follower.apply(change, time.Now())
	if view := follower.Current(); len(view.Entries) != 2 || view.Entries["p/c"].Version != 7 {
		t.Errorf("the follower has %+v", view.Entries)
	}
	follower.install(nil, 6, time.Now(), labelList)
	if follower.Current().Revision != 7 {
		t.Error("an older view replaced a newer one")
	}
}

// Hundreds of hosts that start while others run: they copy what those have and
// leave the service alone. Where those have nothing, the service is read.
func TestHostThatStartsCopiesFromOthers(t *testing.T) {
	for name, others := range map[string]*Change{
		"others run":   {Revision: 7, Full: true, Entries: []kv.Entry{entry("p/a", 7)}},
		"others start": {},
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
						return others, nil
					}
					time.Sleep(wait)
					return &Change{Revision: 7}, nil
				}}
				r := New(store, "p/", watchSpan, peers, hclog.NewNullLogger())
				stop := run(t, r)
				time.Sleep(time.Second)
				stop()
				if view := r.Current(); view == nil || len(view.Entries) != 1 {
					t.Fatalf("no copy: %+v", view)
				}
				if want := map[bool]int{true: 1, false: 0}[others.Revision == 0]; lists != want {
					t.Errorf("%d lists, want %d", lists, want)
				}
			})
		})
	}
}

// One value that a subscriber cannot take ends neither the process nor the copy:
// every host reads the same value.
func TestValueThatASubscriberPanicsOver(t *testing.T) {
	r := New(nil, "p/", watchSpan, nil, hclog.NewNullLogger())
	seen := kv.Version(0)
	r.Subscribe(func(v *View) {
		if v.Revision == 6 {
			panic("unexpected value")
		}
		seen = v.Revision
	})
	for revision := kv.Version(5); revision <= 7; revision++ {
		r.install(map[string]kv.Entry{"p/a": entry("p/a", revision)}, revision, time.Now(), labelList)
		if got := r.Current().Revision; got != revision {
			t.Errorf("the copy is at %d after %d", got, revision)
		}
	}
	if seen != 7 {
		t.Errorf("the subscriber saw %d last", seen)
	}
}

// Followers whose sources are busy for a moment: as long as their copies are
// fresh they leave the service alone, and read it once they are not.
func TestFollowersOfBusySourcesDoNotFloodTheService(t *testing.T) {
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
		r := New(store, "p/", watchSpan, peers, hclog.NewNullLogger())
		stop := run(t, r)
		time.Sleep(time.Second + watchSpan/2)
		if n := lists.Load(); n != 0 {
			t.Errorf("%d lists while the copy was fresh", n)
		}
		time.Sleep(5 * time.Second)
		stop()
		if n, most := lists.Load(), int32(3); n == 0 || n > most {
			t.Errorf("%d lists in 3 s without sources, want 1 to %d", n, most)
		}
	})
}
