package config

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamompier/cardamompier/kv/kvmem"
)

// TestHostsFollowTheStoreAfterRestore guards against hosts that stay on a document that the store has lost: it came back
// from an older copy, and the revisions of the documents that are published then are not greater than that of the lost one.
func TestHostsFollowTheStoreAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		mustPublish(t, store, serviceChange("badges", "m1"))
		older := store.Copy()
		f := startFleet(store, newHub(1), 5)
		defer f.shutDown()
		mustPublish(t, store, serviceChange("badges", "m2"))
		mustPublish(t, store, serviceChange("badges", "m3"))
		time.Sleep(5 * time.Second)
		store.Restore(older)
		mustPublish(t, store, serviceChange("badges", "m4"))
		time.Sleep(5 * time.Second)
		for i, host := range f.followers {
			if now := host.Current(); now == nil || now.Services["badges"].Model != "m4" {
				t.Errorf("host %d has %+v in force, want the model m4", i, now)
			}
		}
	})
}
