package presence

import (
	"encoding/json"
	"strings"
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
		value, err := json.Marshal(membership.Member{ID: id, Address: "10.0.0.1:80", InnerAddress: "10.0.0.1:81"})
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

// TestInvalidRecordsAreIgnored guards against a record of another writer that counts as a host: it would be
// named to callers, and own limits, duties and permits that nobody then decides about. Such a record must
// neither end the process nor keep the other records from being read.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	const sound = `{"id":"x","address":"10.0.0.2:80","inner_address":"10.0.0.2:81","failure_domain":"z",%s}`
	nested := strings.Repeat("[", 60000) + strings.Repeat("]", 60000)
	for name, field := range map[string]string{
		"deeply nested":           `"more":` + nested,
		"other type":              `"leaving":"no"`,
		"other id":                `"id":"z"`,
		"no address":              `"address":""`,
		"port out of range":       `"address":"10.0.0.2:70000"`,
		"negative inner port":     `"inner_address":"10.0.0.2:-1"`,
		"inner port zero":         `"inner_address":"10.0.0.2:0"`,
		"name in place of an IP":  `"inner_address":"host:81"`,
		"capacity without end":    `"capacity":1e400`,
		"huge capacity":           `"capacity":1e308`,
		"negative capacity":       `"capacity":-1`,
		"other state":             `"state":"gone"`,
		"state of a dead host":    `"state":3`,
		"incarnation over 64 bit": `"incarnation":18446744073709551616`,
	} {
		p := newPresence()
		entries := records(t, "a")
		entries[Prefix+"x"] = kv.Entry{Value: []byte(strings.Replace(sound, "%s", field, 1))}
		entries[Prefix+"y"] = kv.Entry{Value: []byte("{")}
		entries[Prefix] = kv.Entry{Value: []byte(`{"address":"10.0.0.2:80","inner_address":"10.0.0.2:81"}`)}
		p.update(&replica.View{Entries: entries})
		if members := p.View().Members; len(members) != 1 || members[0].ID != "a" {
			t.Errorf("%s: the view is %.200v, want the one sound host", name, members)
		}
	}
	p := newPresence()
	p.update(&replica.View{Entries: map[string]kv.Entry{Prefix + "x": {Value: []byte(strings.Replace(sound, "%s", `"further":[1]`, 1))}}})
	if n := len(p.View().Members); n != 1 {
		t.Errorf("view has %d hosts after a record with a further field, want 1", n)
	}
}
