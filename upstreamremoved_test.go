package cardamompier

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/replica"
)

// TestUpstreamsOfAnOlderCopy guards against requests for an upstream that is gone or leaves, because the key-value
// service came back from a copy in which its record is still that of a live one, and against an upstream that is
// dropped because the copy does not have its record yet.
func TestUpstreamsOfAnOlderCopy(t *testing.T) {
	const key = "servers/u"
	record := func(state, born string) string {
		return `{"service":"s","address":"10.0.0.1:80","zone":"z","state":"` + state + `","version":"1","slots":4,"cold_left_ms":0,"seq":1` + born + `}`
	}
	const first, second = `,"born":1770000000000`, `,"born":1770000009000`
	type step struct {
		era      kv.Era
		revision uint64
		value    string // empty if there is no record
		live     bool
	}
	for name, steps := range map[string][]step{
		"removed without an announcement": {
			{0, 5, record("ready", first), true}, {0, 7, "", false}, {1, 5, record("ready", first), false}, {1, 6, "", false},
		},
		"removed, and registered again": {
			{0, 5, record("ready", first), true}, {0, 7, "", false}, {1, 5, record("ready", first), false}, {1, 6, record("ready", second), true},
		},
		"removed, without a start": {
			{0, 5, record("ready", ""), true}, {0, 7, "", false}, {1, 5, record("ready", ""), false}, {1, 8, record("ready", ""), true},
		},
		"leaving":                  {{0, 5, record("ready", first), true}, {0, 6, record("draining", first), false}, {1, 5, record("ready", first), false}},
		"leaving, without a start": {{0, 5, record("ready", ""), true}, {0, 6, record("draining", ""), false}, {1, 5, record("ready", ""), false}},
		"left": {
			{0, 5, record("draining", first), false}, {0, 6, "", false}, {1, 4, record("ready", first), false},
		},
		"next run":         {{0, 5, record("ready", first), true}, {0, 6, record("ready", second), true}, {1, 7, record("ready", second), true}},
		"not in the copy":  {{0, 5, record("ready", first), true}, {1, 2, "", true}, {1, 3, record("ready", first), true}},
		"without a change": {{0, 5, record("ready", first), true}, {1, 5, record("ready", first), true}},
		"new run with a revision given out again": {
			{0, 5, record("ready", first), true}, {0, 20, record("draining", first), false}, {0, 21, "", false}, {1, 6, record("ready", second), true},
		},
		"new run that the copy does not have": {
			{0, 5, record("ready", first), true}, {0, 21, "", false}, {0, 23, record("ready", second), true}, {1, 5, record("ready", first), true},
			{1, 6, record("ready", second), true},
		},
		"registered again, not in the copy": {
			{0, 20, record("ready", ""), true}, {0, 21, "", false}, {0, 23, record("ready", ""), true}, {1, 10, "", true}, {1, 12, record("ready", ""), true},
		},
		"written between the last read and the deletion": {
			{0, 20, record("ready", first), true}, {0, 23, "", false}, {1, 22, record("ready", first), false}, {1, 24, record("ready", first), true},
		},
		"two restores": {
			{0, 20, record("ready", first), true}, {0, 23, "", false}, {1, 20, record("ready", first), false}, {2, 20, record("ready", first), false},
			{2, 21, record("ready", first), true},
		},
		"expired in an outage": {
			{0, 5, record("ready", first), true}, {0, 6, "", false}, {0, 7, record("ready", first), true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := &ForwardServer{logger: hclog.NewNullLogger()}
			for i, s := range steps {
				view := &replica.View{Entries: map[string]kv.Entry{}, Revision: kv.VersionOf(s.era, s.revision), ReadAt: time.Now()}
				if s.value != "" {
					view.Entries[key] = kv.Entry{Key: key, Value: []byte(s.value), Version: view.Revision}
				}
				if s.era > 0 && i < len(steps)-1 { // the last view is one after the time for which missing upstreams are retained
					view.OutageEnded = time.Now()
				}
				f.applyUpstreams(view)
				if _, live := f.upstreams.Load().Live("s", "u"); live != s.live {
					t.Errorf("step %d: live %v, want %v", i+1, live, s.live)
				}
			}
		})
	}
	f := &ForwardServer{logger: hclog.NewNullLogger()}
	view := func(era kv.Era, revision uint64, born string) *replica.View {
		version := kv.VersionOf(era, revision)
		return &replica.View{Entries: map[string]kv.Entry{key: {Key: key, Value: []byte(record("ready", born)), Version: version}}, Revision: version}
	}
	f.applyUpstreams(view(0, 5, first))
	f.applyUpstreams(view(0, 6, second))
	f.applyUpstreams(view(1, 5, first))
	if h, live := f.upstreams.Load().Live("s", "u"); live {
		t.Errorf("the earlier run, started at %d, is live again", h.StartedMS)
	}
}

// TestOddRecordAfterRemoval guards against requests for an upstream that leaves, because another writer has written a
// record without the start of a run under its key once its own one was removed.
func TestOddRecordAfterRemoval(t *testing.T) {
	const key = "servers/u"
	record := func(born string) string {
		return `{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","version":"1","slots":4,"cold_left_ms":0,"seq":1` + born + `}`
	}
	const first, second = `,"born":1770000000000`, `,"born":1770000009000`
	f, revision := &ForwardServer{logger: hclog.NewNullLogger()}, kv.Version(0)
	for i, s := range []struct {
		value string // empty if there is no record
		live  bool
	}{
		{record(first), true}, {"", false}, {record(""), false}, {record(""), false}, {"", false}, {"{", false}, {"", false}, {record(""), false},
		{record(second), true}, {"", false}, {record(""), false},
	} {
		revision++
		view := &replica.View{Entries: map[string]kv.Entry{}, Revision: revision, ReadAt: time.Now()}
		if s.value != "" {
			view.Entries[key] = kv.Entry{Key: key, Value: []byte(s.value), Version: revision}
		}
		f.applyUpstreams(view)
		if _, live := f.upstreams.Load().Live("s", "u"); live != s.live {
			t.Errorf("step %d: live %v, want %v", i+1, live, s.live)
		}
	}
}
