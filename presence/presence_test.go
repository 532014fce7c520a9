package presence

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/replica"
)

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

func newPresence() *Presence {
	hosts := replica.New(nil, Prefix, time.Second, nil, hclog.NewNullLogger())
	return New(nil, membership.Member{ID: "a"}, hosts, hclog.NewNullLogger())
}

// Hosts that vanish just after an outage are kept for a while, and then given
// up without a further change of the records: one host believed for six seconds
// in two that were gone, and gave out limits that they had owned.
func TestHostsKeptAfterAnOutageAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPresence()
		p.update(&replica.View{Entries: records(t, "a", "b", "c")})
		p.update(&replica.View{Entries: records(t, "a"), OutageEnded: time.Now()})
		if n := len(p.View().Members); n != 3 {
			t.Errorf("%d hosts at the end of the outage, want 3", n)
		}
		time.Sleep(returnSpan + time.Millisecond)
		synctest.Wait()
		if n := len(p.View().Members); n != 1 {
			t.Errorf("%d hosts after the span, want 1", n)
		}
		if n := p.View().Recent; n != 3 {
			t.Errorf("limits are divided by %d hosts, want 3", n)
		}
	})
}

// A record of another writer names no host.
func TestForeignRecords(t *testing.T) {
	p := newPresence()
	entries := records(t, "a")
	entries[Prefix+"x"] = kv.Entry{Value: []byte("{")}
	entries[Prefix+"y"] = kv.Entry{Value: []byte(`{"id":"z"}`)}
	p.update(&replica.View{Entries: entries})
	if n := len(p.View().Members); n != 1 {
		t.Errorf("%d hosts, want 1", n)
	}
}
