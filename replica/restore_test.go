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
