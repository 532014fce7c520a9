package rollout

import (
	"bytes"
	"errors"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// testStart is a time of the tests; nothing depends on its value.
var testStart = time.Unix(1_770_000_000, 123_456_789)

// testRecord returns a record with all fields set.
func testRecord() Record {
	counts := Counts{Ended: 10, Failed: 2}
	counts.Latency[3], counts.Latency[47] = 7, 1
	return Record{
		Order: Order{Pool: "p", Target: "v2", Duration: 12 * time.Second, Revision: 7},
		Phase: PhasePromoting, Old: []string{"", "v1"}, Started: testStart, Since: testStart.Add(time.Second),
		Ended: Evidence{{Version: "v1", Route: "r"}: counts, {Version: "v2"}: {}}, Reason: "no fault found",
		Before: Evidence{{Version: "v2", Route: "r"}: counts},
	}
}

// equalRecords compares records by the points in time that they name.
func equalRecords(a, b Record) bool {
	if !a.Started.Equal(b.Started) || !a.Since.Equal(b.Since) || !maps.Equal(a.Ended, b.Ended) || !maps.Equal(a.Before, b.Before) || !slices.Equal(a.Old, b.Old) {
		return false
	}
	for _, r := range []*Record{&a, &b} {
		r.Started, r.Since, r.Ended, r.Before, r.Old = time.Time{}, time.Time{}, nil, nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// TestRecordsSurviveTheStore guards against state that a successor of the coordinator does not read back.
func TestRecordsSurviveTheStore(t *testing.T) {
	names := rapid.StringMatching(`[a-zé/ 0-9]{0,20}`)
	rapid.Check(t, func(t *rapid.T) {
		r := testRecord()
		r.Phase = rapid.SampledFrom([]Phase{PhaseCanary, PhasePromoting, PhaseComplete, PhaseRolledBack}).Draw(t, "phase")
		r.Old = rapid.SliceOfN(names, 0, maxOld).Draw(t, "old")
		r.Ended = Evidence{}
		for range rapid.IntRange(0, 40).Draw(t, "keys") {
			c := Counts{Ended: rapid.Int64Range(0, maxCount).Draw(t, "ended")}
			c.Failed = rapid.Int64Range(0, c.Ended).Draw(t, "failed")
			c.Latency[rapid.IntRange(0, Buckets-1).Draw(t, "bucket")] = rapid.Int64Range(0, maxCount).Draw(t, "count")
			r.Ended[EvidenceKey{Version: names.Draw(t, "version"), Route: names.Draw(t, "route")}] = c
		}
		value, err := EncodeRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeRecord(value)
		if err != nil || !equalRecords(got, r) {
			t.Fatalf("got %+v and error %v, want %+v", got, err, r)
		}
		if again, err := EncodeRecord(got); err != nil || !bytes.Equal(again, value) {
			t.Fatalf("encoded again: %x and error %v, want %x", again, err, value)
		}
	})
}

// TestLargestRecordFitsItsBound guards against a record that is written and then refused for its size.
func TestLargestRecordFitsItsBound(t *testing.T) {
	r := testRecord()
	var counts Counts
	for i := range counts.Latency {
		counts.Latency[i] = maxCount
	}
	counts.Ended, counts.Failed = maxCount, maxCount
	r.Ended = Evidence{}
	for i := range MaxKeys {
		name := strings.Repeat("n", MaxName-3) + strconv.Itoa(100+i)
		r.Ended[EvidenceKey{Version: name, Route: name}] = counts
	}
	r.Before = r.Ended
	value, err := EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeRecord(value); err != nil {
		t.Errorf("record of %d bytes: %v", len(value), err)
	}
	r.Ended[EvidenceKey{Version: "one more"}] = counts
	if _, err := EncodeRecord(r); err == nil {
		t.Error("a record with too many keys is encoded, want an error")
	}
}

// TestUnreadableRecordsAreRefused guards against a value of another writer that is taken for the state of a roll-out, and
// against one that uses up memory.
func TestUnreadableRecordsAreRefused(t *testing.T) {
	sound, err := EncodeRecord(testRecord())
	if err != nil {
		t.Fatal(err)
	}
	var fields map[int]any
	if err := cbor.Unmarshal(sound, &fields); err != nil {
		t.Fatal(err)
	}
	with := func(field int, value any) []byte {
		changed := maps.Clone(fields)
		if changed[field] = value; value == nil {
			delete(changed, field)
		}
		out, err := cbor.Marshal(changed)
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	entry := func(values ...any) []any { return []any{values} }
	long := strings.Repeat("x", MaxName+1)
	for name, value := range map[string][]byte{
		"empty": {}, "text": []byte("record"), "half": sound[:len(sound)/2], "trailing bytes": append(slices.Clone(sound), 0),
		"null": {0xf6}, "list": {0x80}, "list without end": {0x9f}, "list of 2^60": {0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0},
		"too large": make([]byte, maxRecordBytes+1), "nested": bytes.Repeat([]byte{0x81}, 10_000),
		"no pool": with(1, nil), "long pool": with(1, long), "no target": with(2, nil), "no duration": with(3, nil),
		"negative duration": with(3, -1), "no revision": with(4, nil), "revision of another type": with(4, "7"),
		"no phase": with(5, nil), "unknown phase": with(5, "paused"), "many old versions": with(6, make([]string, maxOld+1)),
		"long old version": with(6, []string{long}), "no start": with(7, nil), "start before 1970": with(7, -1),
		"no start of the phase": with(8, nil), "long reason": with(10, strings.Repeat("x", maxReason+1)),
		"further field": with(12, 1), "earlier evidence of another type": with(11, 1), "evidence of another type": with(9, "e"), "entry too short": with(9, entry("v", "r", 1)),
		"entry too long": with(9, entry("v", "r", 1, 0, []int64{}, 1)), "negative count": with(9, entry("v", "r", -1, -1, []int64{})),
		"more failed than ended": with(9, entry("v", "r", 1, 2, []int64{})), "negative latencies": with(9, entry("v", "r", 1, 0, []int64{-1})),
		"many buckets": with(9, entry("v", "r", 1, 0, make([]int64, Buckets+1))), "count without end": with(9, entry("v", "r", uint64(1<<63), 0, []int64{})),
		"long version": with(9, entry(long, "r", 1, 0, []int64{})), "key twice": with(9, []any{[]any{"v", "r", 1, 0, []int64{}}, []any{"v", "r", 1, 0, []int64{}}}),
	} {
		r, err := DecodeRecord(value)
		var unreadable *RecordError
		if !errors.As(err, &unreadable) || r.Revision != 0 {
			t.Errorf("%s: got %.200v and error %v, want a *RecordError and no record", name, r, err)
		}
	}
}

// TestRecordsThatNobodyCouldReadAreNotWritten guards against a roll-out that ends because its record is refused.
func TestRecordsThatNobodyCouldReadAreNotWritten(t *testing.T) {
	for name, change := range map[string]func(*Record){
		"no revision": func(r *Record) { r.Revision = 0 }, "no phase": func(r *Record) { r.Phase = "" }, "no start": func(r *Record) { r.Started = time.Time{} },
		"no start of the phase": func(r *Record) { r.Since = time.Time{} }, "reason without text": func(r *Record) { r.Reason = "\xff" },
		"negative counts": func(r *Record) { r.Ended = Evidence{{Version: "v"}: {Ended: -1}} }, "version without text": func(r *Record) { r.Old = []string{"\xff"} },
	} {
		r := testRecord()
		change(&r)
		var refused *RecordError
		if _, err := EncodeRecord(r); !errors.As(err, &refused) {
			t.Errorf("%s: got error %v, want a *RecordError", name, err)
		}
	}
}

// TestReportsBetweenHostsAreBounded guards against evidence of another host that is negative or unbounded: it would turn the
// verdict, and the default decoder of messages between hosts does not refuse it.
func TestReportsBetweenHostsAreBounded(t *testing.T) {
	report := HostReport{Host: "a", Process: "a/1", Applied: PhaseCanary, Revision: 3, Evidence: testRecord().Ended, AtOld: 2, ReportedAgo: time.Second}
	value, err := cbor.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	var got HostReport
	if err := cbor.Unmarshal(value, &got); err != nil || !maps.Equal(got.Evidence, report.Evidence) || got.ReportedAgo != 0 || got.AtOld != 2 {
		t.Errorf("got %+v and error %v, want %+v without its age", got, err, report)
	}
	value, err = cbor.Marshal(map[int]any{5: []any{[]any{"v", "r", -1, 0, []int64{}}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(value, &got); err == nil {
		t.Error("a report with negative counts is accepted, want an error")
	}
}

// FuzzDecodeRecord guards against a stored value that ends the process, or that is read and cannot be written again.
func FuzzDecodeRecord(f *testing.F) {
	value, err := EncodeRecord(testRecord())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte{0xa1, 0x09, 0x81, 0x85})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		var unreadable *RecordError
		if err != nil {
			if !errors.As(err, &unreadable) {
				t.Errorf("error %v, want a *RecordError", err)
			}
			return
		}
		again, err := EncodeRecord(r)
		if err != nil {
			t.Fatalf("a record that was read is not written: %v", err)
		}
		if got, err := DecodeRecord(again); err != nil || !equalRecords(got, r) {
			t.Errorf("read again: %+v and error %v, want %+v", got, err, r)
		}
		Next(r, Situation{Now: testStart, TargetUpstreams: 1})
	})
}
