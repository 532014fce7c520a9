package agent

import (
	"testing"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/rollout"
)

// TestOrdersOverRestore guards against an order that returns with an older copy of the store and bars the target of the
// order that had replaced it, and against a roll-out that begins anew because its order is read again in a new era.
func TestOrdersOverRestore(t *testing.T) {
	b := newBench()
	b.listVersions([]string{"p"}, "v1", "v2", "v3")
	first, second := order("p", "v2", 5), order("p", "v3", 7)
	b.ApplyOrders([]rollout.Order{first})
	b.direct(t, 1, canary(first))
	b.ApplyOrders([]rollout.Order{second})
	d := canary(second)
	d.Barred = []string{"v2"}
	b.direct(t, 1, d)
	b.sends("p", 100)
	inEra := func(o rollout.Order, revision uint64) rollout.Order {
		o.Revision = uint64(kv.VersionOf(1, revision))
		return o
	}
	b.ApplyOrders([]rollout.Order{inEra(first, 5)})
	if r := b.direct(t, 1, d).Reports[0].Report; r.Revision != 7 || len(r.Evidence) == 0 {
		t.Errorf("report %+v after the order of the copy, want revision 7 with its evidence", r)
	}
	again := inEra(second, 6)
	b.ApplyOrders([]rollout.Order{again})
	d.Order = again
	if r := b.direct(t, 1, d).Reports[0].Report; r.Revision != again.Revision || len(r.Evidence) == 0 {
		t.Errorf("report %+v after the order was written again, want revision %d with its evidence", r, again.Revision)
	}
	retried := inEra(first, 8)
	b.ApplyOrders([]rollout.Order{retried})
	if r := b.direct(t, 1, canary(retried)).Reports[0].Report; r.Revision != retried.Revision || len(r.Evidence) != 0 {
		t.Errorf("report %+v after a new order for the first target, want revision %d without evidence", r, retried.Revision)
	}
}
