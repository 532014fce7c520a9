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
	r.install(map[string]kv.Entry{"p/a": {Key: "p/a", Version: 5, Value: value}, "p/b": entry("p/b", 6)}, 6, time.Now(), labelList)
	sent := 0
	for range followers {
		change := r.newer(t.Context(), 4, 0)
		for _, e := range append(change.Packed, change.Entries...) {
			sent += len(e.Value)
		}
		if len(r.packed.values) != 1 {
			t.Fatal("the value is not kept compressed")
		}
		if err := unpack(change); err != nil {
			t.Fatal(err)
		}
		got := map[string][]byte{}
		for _, e := range change.Entries {
			got[e.Key] = e.Value
		}
		if !bytes.Equal(got["p/a"], value) || len(got) != 2 {
			t.Fatal("another value came out")
		}
	}
	if took := time.Duration(float64(sent) / link * float64(time.Second)); took > bound {
		t.Errorf("%d bytes for %d followers take %s, bound %s; plain they are %d", sent, followers, took, bound, followers*len(value))
	}
}

// A change of another host that cannot be unpacked, or grows without end, is an
// error of its own; nothing of it is used.
func TestPackedValuesThatCannotBeRead(t *testing.T) {
	var p packer
	huge := p.compressed(kv.Entry{Key: "p/a", Value: make([]byte, unpackedBytes+1)})
	for name, data := range map[string][]byte{"garbage": []byte("\xff\xff garbage"), "cut": tableOf(3), "huge": huge} {
		var failed *PackError
		if err := unpack(&Change{Packed: []kv.Entry{{Key: "p/a", Value: data}}}); !errors.As(err, &failed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
