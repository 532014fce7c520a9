package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

// TestClaimOutlastsRestore guards against an order that runs twice because the store came back from a copy without the
// claim of its first run.
func TestClaimOutlastsRestore(t *testing.T) {
	for _, again := range []string{"h0", "h1"} {
		t.Run("repeated at "+again, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kvmem.New()
				ledgers := map[string]Ledger{}
				for _, host := range []string{"h0", "h1"} {
					ledgers[host] = NewPerOrderLedger(kv.NewClient(store, kv.Options{}), host)
				}
				older := store.Copy()
				request := requestFor("k")
				mustClaim(t, ledgers["h0"], request)
				time.Sleep(time.Second)
				store.Restore(older)
				if claim, _, _ := ledgers[again].Claim(t.Context(), request); claim != nil {
					t.Errorf("%s granted the order again after the restore, want no second claim", again)
				}
			})
		})
	}
}
