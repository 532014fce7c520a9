package membudget

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"
)

// TestChoice guards against shedding the wrong callers: those that run, make progress or have just come.
func TestChoice(t *testing.T) {
	sec := time.Second
	stalled := Candidate{Phase: PhaseBody, Held: 100, Moved: 90, Age: 5 * sec, InPhase: 5 * sec, Stalled: sec}
	slow := Candidate{Phase: PhaseBody, Held: 100, Moved: 10, Age: 5 * sec, InPhase: 5 * sec}
	fast := Candidate{Phase: PhaseBody, Held: 100, Moved: 90, Age: 5 * sec, InPhase: 5 * sec}
	young := Candidate{Phase: PhaseHead, Held: 100, Age: sec / 10, InPhase: sec / 10}
	running := Candidate{Phase: PhaseRunning, Held: 1000, Age: 9 * sec, InPhase: 9 * sec, Stalled: 9 * sec}
	idle := Candidate{Phase: PhaseIdle, Held: 20, Served: 3, Age: 9 * sec, InPhase: 3 * sec, Stalled: 3 * sec}
	justIdle := Candidate{Phase: PhaseIdle, Held: 20, Served: 3, Age: 9 * sec, InPhase: sec, Stalled: sec}
	unused := Candidate{Phase: PhaseHead, Held: 20, Age: sec, InPhase: sec, Stalled: sec}
	unread := Candidate{Phase: PhaseRunning, Writing: true, Held: 100, Moved: 10, Age: 5 * sec, InPhase: 5 * sec, Stalled: sec}
	many := func(c Candidate) Candidate { c.Caller = "many"; return c }
	for name, c := range map[string]struct {
		candidates []Candidate
		need       int64
		large      bool
		want       []int
	}{
		"stalled before all others":                        {[]Candidate{idle, slow, stalled, unused}, 50, false, []int{2}},
		"as many as are needed":                            {[]Candidate{idle, stalled, unused}, 110, false, []int{1, 2}},
		"an answer that is not read":                       {[]Candidate{running, unread}, 1, false, []int{1}},
		"the slowest that makes progress":                  {[]Candidate{fast, slow}, 1, false, []int{1}},
		"none with progress for a large one":               {[]Candidate{fast, slow, idle}, 1, true, nil},
		"none that runs, is young or has just become idle": {[]Candidate{running, young, justIdle}, 1, false, nil},
		"the caller that holds the most":                   {[]Candidate{stalled, many(stalled), many(stalled)}, 1, false, []int{1}},
		"all, if they are too few":                         {[]Candidate{stalled, running}, 1000, false, []int{0}},
	} {
		if got := Choose(c.candidates, c.need, c.large); !slices.Equal(got, c.want) {
			t.Errorf("%s: chose %v, want %v", name, got, c.want)
		}
	}
}

// open opens a holder that gives back its memory when it is shed, as a connection does.
func open(b *Budget, now time.Time, caller string) *Holder {
	var h *Holder
	h = b.Open(1, caller, nil, now, func(ShedReason) { h.Close() })
	return h
}

// TestAccounting guards against memory that is given back twice or never, and against a budget that is exceeded. It
// plays any order of charges, returns and closes.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(rapid.Int64Range(1<<10, 1<<20).Draw(t, "limit"))
		var holders []*Holder
		held := map[*Holder]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(holders) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
				if h := b.Open(1, "c", nil, time.Now(), func(ShedReason) {}); h != nil {
					h.Begin(PhaseRunning) // is never shed
					holders = append(holders, h)
					held[h] = 1
				}
				continue
			}
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			n := rapid.Int64Range(0, 1<<18).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if b.charge(h, n) {
					held[h] += n
				}
			case 1:
				h.Shrink(n)
				held[h] -= min(n, held[h])
			case 2:
				h.Reset()
				held[h] = min(held[h], 1)
			case 3:
				h.Close()
				h.Close()
				held[h] = 0
				holders = slices.DeleteFunc(holders, func(other *Holder) bool { return other == h })
			}
			sum, large := int64(0), int64(0)
			for _, n := range held {
				sum += n
				large += excess(n)
			}
			if b.Held() != sum || b.large.Load() != large {
				t.Fatalf("held %d and large %d, want %d and %d", b.Held(), b.large.Load(), sum, large)
			}
			if sum > b.limit || large > b.largeLimit {
				t.Fatalf("held %d of %d, large %d of %d", sum, b.limit, large, b.largeLimit)
			}
		}
	})
}

// TestReserve guards against large requests that leave no memory for small ones, whatever their number.
func TestReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(8 << 20)
		for range rapid.IntRange(1, 40).Draw(t, "large") {
			h := open(b, time.Now(), "c")
			h.Begin(PhaseRunning)
			_ = b.charge(h, rapid.Int64Range(1, 4<<20).Draw(t, "bytes"))
		}
		h := open(b, time.Now(), "d")
		if err := h.Grow(SmallBytes / 2); err != nil {
			t.Fatalf("a small request: %v", err)
		}
	})
}

// TestNoStarvation guards against stalled callers that keep out new ones: any number of them takes the whole budget,
// and small and large requests are charged all the same.
func TestNoStarvation(t *testing.T) {
	for _, n := range []int64{SmallBytes / 2, 1 << 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			b := New(8 << 20)
			before := time.Now().Add(-time.Minute)
			for i := range 2000 {
				h := open(b, before, "c")
				if h == nil {
					break
				}
				h.Begin(PhaseBody)
				b.charge(h, n-1)
				if i%2 == 0 {
					b.Observe(before, func(*Holder, Candidate) {})
				}
			}
			b.Observe(before, func(*Holder, Candidate) {})
			for range 100 {
				h := open(b, time.Now(), "d")
				if h == nil {
					t.Fatal("a new caller was not let in")
				}
				if err := h.Grow(n); err != nil {
					t.Fatalf("a new caller's request: %v", err)
				}
				h.Close()
			}
		})
	}
}

// TestConcurrentCharges guards against sums that drift under concurrent charges and returns of one holder.
func TestConcurrentCharges(t *testing.T) {
	b := New(1 << 20)
	h := open(b, time.Now(), "c")
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			for range 1000 {
				if b.charge(h, 10<<10) {
					h.Shrink(10 << 10)
				}
			}
		})
	}
	running.Wait()
	if b.Held() != 1 || b.large.Load() != 0 {
		t.Errorf("held %d and large %d, want 1 and 0", b.Held(), b.large.Load())
	}
}

// TestForce guards against an answer of a request that has run, and is lost because the budget is used up.
func TestForce(t *testing.T) {
	b := New(100)
	h := open(b, time.Now(), "c")
	h.Force(1000)
	if b.Held() != 1001 {
		t.Errorf("held %d, want 1001", b.Held())
	}
	h.Close()
	if b.Held() != 0 || b.large.Load() != 0 {
		t.Errorf("held %d and large %d after Close, want 0", b.Held(), b.large.Load())
	}
}

// TestBodies guards against bodies that are changed, charged late, or hold much more memory than they have bytes.
func TestBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 40<<10).Draw(t, "tens"))
		size := rapid.SampledFrom([]int64{-1, int64(len(want))}).Draw(t, "size")
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "data with the end") {
			r = iotest.DataErrReader(r)
		}
		charged := int64(0)
		body, err := ReadBody(r, size, func(n int64) error { charged += n; return nil })
		if err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(body.Reader())
		if !bytes.Equal(got, want) || !bytes.Equal(body.Join(), want) || body.Len() != len(want) {
			t.Fatalf("got %d bytes, want %d", len(got), len(want))
		}
		if charged < int64(len(want)) || charged > int64(len(want))+maxBlock+firstBlock {
			t.Fatalf("charged %d bytes for %d", charged, len(want))
		}
	})
}

// TestBodiesThatFail guards against a body that is cut off and taken for a whole one.
func TestBodiesThatFail(t *testing.T) {
	ok := func(int64) error { return nil }
	if _, err := ReadBody(strings.NewReader("123"), 4, ok); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("short body: got %v, want io.ErrUnexpectedEOF", err)
	}
	if _, err := ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), -1, ok); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("broken body: got %v, want io.ErrUnexpectedEOF", err)
	}
	full := &ExhaustedError{}
	if _, err := ReadBody(strings.NewReader("123"), 3, func(int64) error { return full }); !errors.Is(err, full) {
		t.Errorf("no memory: got %v, want the error of the charge", err)
	}
}
