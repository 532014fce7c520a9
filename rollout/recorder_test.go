package rollout

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestBucketsAreQuarterOctaves guards against buckets that are wider than the factor that the verdict tests.
func TestBucketsAreQuarterOctaves(t *testing.T) {
	for latency, want := range map[time.Duration]int{
		-time.Second: 0, 0: 0, time.Millisecond: 0, 1188 * time.Microsecond: 0, 1190 * time.Microsecond: 1, 2001 * time.Microsecond: 4,
		17 * time.Millisecond: 16, 3500 * time.Millisecond: 47, time.Hour: 47, math.MaxInt64: 47,
	} {
		if got := Bucket(latency); got != want {
			t.Errorf("%v: bucket %d, want %d", latency, got, want)
		}
	}
}

// TestRecorderCountsConcurrentRequests guards against lost counts and against a snapshot with more failed than ended
// requests, which could not be encoded.
func TestRecorderCountsConcurrentRequests(t *testing.T) {
	var r Recorder
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 2000 {
				r.Record("v"+strconv.Itoa(i%2), "r"+strconv.Itoa(n%3), n%4 == 0, time.Duration(n)*time.Millisecond)
				if n%500 == 0 {
					if _, err := r.Snapshot().MarshalCBOR(); err != nil {
						t.Error(err)
					}
				}
			}
		})
	}
	wg.Wait()
	var sum Counts
	for _, c := range r.Snapshot() {
		sum.Add(c)
	}
	if sum.Ended != 16_000 || sum.Failed != 4000 {
		t.Errorf("%d ended and %d failed, want 16000 and 4000", sum.Ended, sum.Failed)
	}
	if r.Reset(); len(r.Snapshot()) != 0 {
		t.Errorf("after Reset: %v, want nothing", r.Snapshot())
	}
}

// TestRecorderIsBounded guards against memory that grows with the names in requests and records, and against evidence
// that cannot be encoded.
func TestRecorderIsBounded(t *testing.T) {
	var r Recorder
	for i := range 10_000 {
		r.Record("v1", "r"+strconv.Itoa(i), false, time.Millisecond)
	}
	r.Record("v2", "late", true, 0)
	r.Record("v2", strings.Repeat("r", MaxName+1), true, 0)
	r.Record(strings.Repeat("v", MaxName+1), "r", true, 0)
	e := r.Snapshot()
	if len(e) > MaxKeys {
		t.Errorf("%d keys, want at most %d", len(e), MaxKeys)
	}
	var v1 int64
	for key, c := range e {
		if key.Version == "v1" {
			v1 += c.Ended
		}
	}
	if v2 := e[EvidenceKey{Version: "v2"}]; v1 != 10_000 || v2.Failed != 2 {
		t.Errorf("%d requests of v1 and %d failed ones of v2, want 10000 and 2", v1, v2.Failed)
	}
	for i := range 1000 {
		r.Record("w"+strconv.Itoa(i), "", false, time.Millisecond)
	}
	e = r.Snapshot()
	other := Evidence{}
	for i := range 1000 {
		other[EvidenceKey{Version: "v1", Route: "s" + strconv.Itoa(i)}] = Counts{Ended: math.MaxInt32}
	}
	for range 3 {
		e.Add(other)
	}
	if _, err := e.MarshalCBOR(); err != nil || len(e) != MaxKeys {
		t.Errorf("%d keys after additions, error %v, want %d and none", len(e), err, MaxKeys)
	}
}
