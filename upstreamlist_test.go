package cardamompier

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/replica"
)

// TestOddRecordRevivesNoLeavingUpstream guards against requests for an upstream that leaves, because another writer has
// replaced its record: neither that record nor the upstream's next one is a new run.
func TestOddRecordRevivesNoLeavingUpstream(t *testing.T) {
	const key = "servers/u"
	record := func(state, fields string) string {
		return `{"service":"s","address":"10.0.0.1:80","zone":"z","version":"1","cold_left_ms":0,"state":"` + state + `"` + fields + `}`
	}
	const slots, born, seq = `,"slots":4`, `,"born":1770000000000`, `,"seq":1`
	for name, odd := range map[string]string{
		"no born, seq and slots": record("ready", ""),
		"no born":                record("ready", slots+seq),
		"no seq":                 record("ready", slots+born),
		"unreadable":             "{",
		"missing":                "",
	} {
		t.Run(name, func(t *testing.T) {
			f := &ForwardServer{logger: hclog.NewNullLogger()}
			revision := kv.Version(0)
			apply := func(value string) {
				revision++
				entries := map[string]kv.Entry{}
				if value != "" {
					entries[key] = kv.Entry{Key: key, Value: []byte(value), Version: revision}
				}
				f.applyUpstreams(&replica.View{Entries: entries, Revision: revision, ReadAt: time.Now()})
			}
			live := func() bool { _, live := f.upstreams.Load().Live("s", "u"); return live }
			apply(record("ready", slots+born+seq))
			if !live() {
				t.Fatal("the upstream's own record names no live upstream")
			}
			apply(record("draining", slots+born+seq))
			for range 2 {
				apply(odd)
				if live() {
					t.Fatal("the odd record names a live upstream")
				}
			}
			apply(record("ready", slots+born+seq)) // a record that was written before, and is read late
			if live() {
				t.Error("the run that leaves is live again")
			}
			apply(record("ready", slots+`,"born":1770000009000`+seq))
			if h, ok := f.upstreams.Load().Live("s", "u"); !ok || h.State != hosts.StateLive {
				t.Error("the next run of the upstream is not live")
			}
		})
	}
}
