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

// tableOf returns a value like a table of n routes.
func tableOf(n int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r%d","host":"h%d.example","prefix":"/p%d/","kind":"stream","max_attempts":2,"timeout_ms":12000},`, i, i%7, i)
	}
	return []byte(b.String())
}

// A configuration that grows by thousands of routes reaches two dozen followers
// of one host over a link of 20 Mbit/s in time: it is compressed, once for all.
func TestTableOfThousandsOfRoutesIsSpreadInTime(t *testing.T) {
	const followers, link, bound = 24, 20e6 / 8, time.Second
	r := New(nil, "p/", watchSpan, nil, hclog.NewNullLogger())
	value := tableOf(5000)
	entries := map[string]kv.Entry{"p/a": {Key: "p/a", Version: 5, Value: value}, "p/b": entry("p/b", 6)}
	for i := range 600 { // and upstreams that start together
		key := fmt.Sprint("p/i-", i)
		entries[key] = kv.Entry{Key: key, Version: 6, Value: []byte(`{"service":"s","address":"10.1.64.` + fmt.Sprint(i) + `:8121","state":"ready"}`)}
	}
	r.install(entries, 6, time.Now(), labelList)
	sent := 0
	for range followers {
		change := r.newer(t.Context(), 4, 0)
		sent += len(change.Packed)
		if len(r.packed.kept) != 1 {
			t.Fatal("the change is not kept packed")
		}
		if err := unpack(change); err != nil {
			t.Fatal(err)
		}
		got := map[string][]byte{}
		for _, e := range change.Entries {
			got[e.Key] = e.Value
		}
		if !bytes.Equal(got["p/a"], value) || len(got) != len(entries) {
			t.Fatal("another change came out")
		}
	}
	if took := time.Duration(float64(sent) / link * float64(time.Second)); took > bound {
		t.Errorf("%d bytes for %d followers take %s, bound %s; plain they are %d", sent, followers, took, bound, followers*len(value))
	}
}

// A change of another host that cannot be unpacked, or grows without end, is an
// error of its own; nothing of it is used.
func TestPackedValuesThatCannotBeRead(t *testing.T) {
	huge, err := compress([]kv.Entry{{Key: "p/a", Value: make([]byte, unpackedBytes+1)}})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"garbage": []byte("\xff\xff garbage"), "cut": huge[:len(huge)/2], "huge": huge} {
		var failed *PackError
		if err := unpack(&Change{Packed: data}); !errors.As(err, &failed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Any bytes of another host: unpacked, or a typed error, within the bound.
func FuzzUnpack(f *testing.F) {
	packed, err := compress([]kv.Entry{entry("p/a", 5), {Key: "p/b", Value: tableOf(20), Version: 6}})
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
			t.Errorf("untyped: %v", err)
		}
		if err == nil && change.Packed != nil && len(data) > 0 {
			t.Error("left packed")
		}
	})
}
