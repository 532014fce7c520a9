package replica

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/kv"
)

// routeTable returns a value that resembles a table of n routes.
func routeTable(n int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r%d","host":"h%d.example","prefix":"/p%d/","kind":"stream","max_attempts":2,"timeout_ms":12000},`, i, i%7, i)
	}
	return []byte(b.String())
}

// One host sends a configuration with 5000 routes to 24 peers within 1 s over a 20 Mbit/s link,
// because it compresses the change once for all of them.
func TestTableOfThousandsOfRoutesIsSpreadInTime(t *testing.T) {
	const followers, link, bound = 24, 20e6 / 8, time.Second
	r := New(nil, "p/", watchTimeout, nil, hclog.NewNullLogger())
	value := routeTable(5000)
	entries := map[string]kv.Entry{"p/a": {Key: "p/a", Version: 5, Value: value}, "p/b": entry("p/b", 6)}
	for i := range 600 { // entries of 600 upstreams that start at the same time
		key := fmt.Sprint("p/i-", i)
		entries[key] = kv.Entry{Key: key, Version: 6, Value: []byte(`{"service":"s","address":"10.1.64.` + fmt.Sprint(i) + `:8121","state":"ready"}`)}
	}
	r.install(copied{entries: entries, revision: 6, readAt: time.Now(), source: labelList})
	sent := 0
	for range followers {
		change := r.changesAfter(t.Context(), 4, 0)
		sent += len(change.Packed)
		if len(r.packed.cached) != 1 {
			t.Fatal("the number of cached compressed changes is not 1")
		}
		if err := unpack(change); err != nil {
			t.Fatal(err)
		}
		got := map[string][]byte{}
		for _, e := range change.Entries {
			got[e.Key] = e.Value
		}
		if !bytes.Equal(got["p/a"], value) || len(got) != len(entries) {
			t.Fatal("the decompressed entries differ from the original ones")
		}
	}
	if sendTime := time.Duration(float64(sent) / link * float64(time.Second)); sendTime > bound {
		t.Errorf("sending %d bytes to %d peers takes %s, bound %s; the uncompressed table takes %d bytes", sent, followers, sendTime, bound, followers*len(value))
	}
}

// A change from another host whose compressed entries are corrupt or exceed the size limit is
// rejected with a *PackError.
func TestUnpackRejectsCorruptEntries(t *testing.T) {
	huge, err := compress([]kv.Entry{{Key: "p/a", Value: make([]byte, unpackedBytes+1)}})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"garbage": []byte("\xff\xff garbage"), "truncated": huge[:len(huge)/2], "too large": huge} {
		var failed *PackError
		if err := unpack(&Change{Packed: data}); !errors.As(err, &failed) {
			t.Errorf("%s: got error %v, want a *PackError", name, err)
		}
	}
}

// FuzzUnpack checks that any bytes from another host are either decompressed within the size limit or
// rejected with a *PackError.
func FuzzUnpack(f *testing.F) {
	packed, err := compress([]kv.Entry{entry("p/a", 5), {Key: "p/b", Value: routeTable(20), Version: 6}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add(packed[:len(packed)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		change := &Change{Packed: data}
		err := unpack(change)
		var failed *PackError
		if err != nil && !errors.As(err, &failed) {
			t.Errorf("got error %v, want a *PackError", err)
		}
		if err == nil && change.Packed != nil && len(data) > 0 {
			t.Error("the compressed entries are still set after unpacking")
		}
	})
}
