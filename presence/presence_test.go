package presence

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock/clocktest"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/replica"
)

// records returns stored records of the hosts with the given ids.
func records(t *testing.T, ids ...string) map[string]kv.Entry {
	t.Helper()
	out := map[string]kv.Entry{}
	for _, id := range ids {
		value, err := json.Marshal(membership.Member{ID: id, Address: id})
		if err != nil {
			t.Fatal(err)
		}
		out[Prefix+id] = kv.Entry{Key: Prefix + id, Value: value}
	}
	return out
}

// newPresence returns a Presence of host "a" without a store.
func newPresence() *Presence {
	hosts := replica.New(nil, Prefix, time.Second, nil, hclog.NewNullLogger())
	return New(nil, membership.Member{ID: "a"}, hosts, clocktest.New(1).Elapsed, hclog.NewNullLogger())
}

// TestVanishedHostsAreDroppedAfterGrace checks that hosts whose records vanish in an
// outage stay listed for the grace period, and are then dropped without another change
// of the records. Without that drop, a host listed two ended hosts for 6 s and gave
// out limits that those two had owned.
func TestVanishedHostsAreDroppedAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPresence()
		p.update(&replica.View{Entries: records(t, "a", "b", "c")})
		p.update(&replica.View{Entries: records(t, "a"), OutageEnded: time.Now()})
		if n := len(p.View().Members); n != 3 {
			t.Errorf("view has %d hosts at the end of the outage, want 3", n)
		}
		time.Sleep(reregistrationGrace + time.Millisecond)
		synctest.Wait()
		if n := len(p.View().Members); n != 1 {
			t.Errorf("view has %d hosts after the grace period, want 1", n)
		}
		if n := p.View().Recent; n != 3 {
			t.Errorf("limits are divided by %d hosts, want 3", n)
		}
	})
}

// TestInvalidRecordsAreIgnored checks that a record adds no host to the view if it is
// malformed or its id does not match its key.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	p := newPresence()
	entries := records(t, "a")
	entries[Prefix+"x"] = kv.Entry{Value: []byte("{")}
	entries[Prefix+"y"] = kv.Entry{Value: []byte(`{"id":"z"}`)}
	p.update(&replica.View{Entries: entries})
	if n := len(p.View().Members); n != 1 {
		t.Errorf("view has %d hosts, want 1", n)
	}
}
