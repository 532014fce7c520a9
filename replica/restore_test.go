package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/kv"
)

// TestPeerOfAnOlderEraConfirmsNothing guards against a host that follows a peer which has not noticed that the key-value service came back
// from an older copy, and takes the peer's confirmation for one of its own copy.
func TestPeerOfAnOlderEraConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lists := 0
		store := &scriptedStore{list: func() ([]kv.Entry, kv.Version, error) {
			lists++
			return []kv.Entry{entry("p/a", kv.VersionOf(1, 3))}, kv.VersionOf(1, 3), nil
		}}
		peers := &fakePeers{newer: func(_ kv.Version, wait time.Duration) (*Change, error) {
			time.Sleep(wait)
			return &Change{Revision: 50, HeldMS: wait.Milliseconds()}, nil
		}}
		r := New(store, "p/", watchTimeout, peers, hclog.NewNullLogger())
		r.install(copied{entries: map[string]kv.Entry{}, revision: kv.VersionOf(1, 2), readAt: time.Now(), complete: kv.VersionOf(1, 2), source: labelPeer})
		defer runReplica(t, r)()
		time.Sleep(2 * watchTimeout)
		if view := r.Current(); view.Revision != kv.VersionOf(1, 3) || lists == 0 {
			t.Errorf("the host has revision %d of era %d after %d lists, want that of the service", view.Revision.Revision(), view.Revision.Era(), lists)
		}
	})
}

// TestRestoreEndsAnOutage guards against records that count as deleted because the key-value service came back without them after a failure
// that was too short for an outage: their writers write them again.
func TestRestoreEndsAnOutage(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		name    string
		change  *Change // nil if the host lists
		wantAgo time.Duration
	}{
		{"list", nil, 0},
		{"peer that noticed it 700 ms ago", &Change{Revision: kv.VersionOf(1, 2), OutageAgoMS: 700, OutageForMS: 300}, 700 * time.Millisecond},
		{"peer that started since", &Change{Revision: kv.VersionOf(1, 2)}, 0},
	} {
		r := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
		r.install(copied{entries: map[string]kv.Entry{"p/a": entry("p/a", 3)}, revision: 5, readAt: now.Add(-time.Second), complete: 5, source: labelList})
		if row.change == nil {
			r.install(copied{entries: map[string]kv.Entry{}, revision: kv.VersionOf(1, 2), readAt: now, complete: kv.VersionOf(1, 2), source: labelList})
		} else {
			r.apply(row.change, now)
		}
		view := r.Current()
		if ago := now.Sub(view.OutageEnded); ago < row.wantAgo-clockMargin || ago > row.wantAgo+clockMargin {
			t.Errorf("%s: the outage ended %v ago, want %v", row.name, ago, row.wantAgo)
		}
		if at := view.since(5, now); at.OutageAgoMS == 0 {
			t.Errorf("%s: peers do not learn of the outage", row.name)
		}
	}
}
