package promptcache

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Unix(1000, 0)

func chainOf(digests ...uint64) Chain {
	parts := make([]Part, 0, len(digests))
	for _, d := range digests {
		parts = append(parts, Part{Digest: d, Tokens: 1000})
	}
	return NewChain(parts)
}

// read lets a run read a prompt to its end.
func read(t *Tracker, run Run, chain Chain, own int, now time.Time) {
	r := t.Begin(run, chain, own, now)
	r.Read(now)
	r.End(0, now)
}

// A prompt shares only its first part with one that was read; the first part counts as new. A part
// counts as held although the part before it is another one.
func TestPartsCountInTheirOrder(t *testing.T) {
	tracker, run := NewTracker(begin), Run{ID: "u1", StartedMS: 1}
	tracker.SetCapacity(run, 600000)
	read(tracker, run, chainOf(1, 2, 3), 500, begin)
	for _, c := range []struct {
		chain Chain
		want  int
	}{{chainOf(1, 2, 3), 3000}, {chainOf(1, 2, 3, 4), 3000}, {chainOf(1, 2), 2000}, {chainOf(1, 9, 3), 1000}, {chainOf(2, 3), 0}} {
		if got := tracker.Holders(c.chain, begin)[run]; got != c.want {
			t.Errorf("chain %v: %d tokens are held, want %d", c.chain, got, c.want)
		}
	}
}

// A prompt whose request failed, was rejected or withdrawn counts as read. It counts while its request
// is unfinished, because a later request waits until it is read.
func TestPromptWithoutFirstEventIsNotRead(t *testing.T) {
	tracker, run, chain := NewTracker(begin), Run{ID: "u1"}, chainOf(1)
	tracker.SetCapacity(run, 600000)
	r := tracker.Begin(run, chain, 500, begin)
	if tracker.Holders(chain, begin)[run] != 1000 {
		t.Error("a prompt that is being read is not known")
	}
	r.End(0, begin)
	r.End(0, begin)
	if got := tracker.Holders(chain, begin); len(got) > 0 {
		t.Errorf("prompt of a failed request is held: %v", got)
	}
	read(tracker, run, chain, 500, begin)
	tracker.Begin(run, chain, 500, begin).End(0, begin)
	if tracker.Holders(chain, begin)[run] != 1000 {
		t.Error("a failed request removed what an earlier one had read")
	}
}

// Another host withdraws its report of a request that failed, and thereby also what an earlier request
// had read.
func TestWithdrawnReportLeavesEarlierOne(t *testing.T) {
	tracker, run, chain := NewTracker(begin), Run{ID: "u1"}, chainOf(1)
	tracker.SetCapacity(run, 600000)
	tracker.Report(run, chain, 500, begin)
	tracker.Report(run, chain, 500, begin)
	for i, want := range []int{1000, 0, 0} {
		tracker.Withdraw(run, chain, begin)
		if got := tracker.Holders(chain, begin)[run]; got != want {
			t.Errorf("after %d withdrawals %d tokens are held, want %d", i+1, got, want)
		}
	}
}

// A restarted upstream counts as holding what its earlier run held.
func TestRestartedUpstreamHoldsNothing(t *testing.T) {
	tracker, first, second := NewTracker(begin), Run{ID: "u1", StartedMS: 1}, Run{ID: "u1", StartedMS: 2}
	read(tracker, first, chainOf(1), 500, begin)
	tracker.Retain(func(r Run) bool { return r == second })
	if got := tracker.Holders(chainOf(1), begin); len(got) > 0 {
		t.Errorf("held after the restart: %v", got)
	}
}

// Traffic that this host does not see fills the memory unnoticed. What other hosts reported counts once.
func TestTrafficOfOtherHostsFillsMemory(t *testing.T) {
	tracker, run, chain := NewTracker(begin), Run{ID: "u1"}, chainOf(1)
	tracker.SetCapacity(run, 100000)
	tracker.Report(run, chain, 9000, begin)
	tracker.AddUnseen([]Run{run}, 10000)
	if got := tracker.upstream(run).volume.Load(); got != 10000 {
		t.Errorf("%d tokens were read, want 10000", got)
	}
	tracker.AddUnseen([]Run{run}, 99500)
	if got := tracker.Holders(chain, begin); len(got) > 0 {
		t.Errorf("held 99,500 tokens after its last use in a memory of 100,000: %v", got)
	}
}

// Without other traffic a prompt stays for ever.
func TestUnusedPromptExpires(t *testing.T) {
	tracker := NewTracker(begin)
	known, unknown, chain := Run{ID: "known"}, Run{ID: "unknown"}, chainOf(1)
	tracker.SetCapacity(known, 600000)
	read(tracker, known, chain, 0, begin)
	read(tracker, unknown, chain, 0, begin)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{unknownMaxAge, 2}, {unknownMaxAge + time.Second, 1}, {maxAge + time.Second, 0}} {
		if got := tracker.Holders(chain, begin.Add(c.after)); len(got) != c.want {
			t.Errorf("after %v held at %v, want %d upstreams", c.after, got, c.want)
		}
	}
}

// exactMemory is a memory that evicts the least recently used prefixes.
type exactMemory struct {
	capacity, clock int
	size, used      map[string]int
}

func (m *exactMemory) use(name string, tokens int) {
	m.clock++
	m.size[name], m.used[name] = tokens, m.clock
	for {
		total, oldest := 0, ""
		for n, s := range m.size {
			total += s
			if oldest == "" || m.used[n] < m.used[oldest] {
				oldest = n
			}
		}
		if total <= m.capacity {
			return
		}
		delete(m.size, oldest)
		delete(m.used, oldest)
	}
}

// A memory fills with prompts of which some are sent far more often than others. The estimate errs for more
// than a tenth of the prompts, although it keeps no order of all entries.
func TestEstimateFollowsMemoryThatFills(t *testing.T) {
	for _, c := range []struct {
		prompts, shared, own int
		skew                 float64
	}{{784, 13300, 3720, 1.01}, {276, 3780, 2890, 1.2}, {894, 1400, 1110, 1.5}, {60, 13300, 3720, 1.01}} {
		random := rand.New(rand.NewPCG(1, uint64(c.prompts)))
		zipf := rand.NewZipf(random, c.skew, 4, uint64(c.prompts-1))
		tracker, run, now := NewTracker(begin), Run{ID: "u1"}, begin
		tracker.SetCapacity(run, 600000)
		exact := exactMemory{capacity: 600000, size: map[string]int{}, used: map[string]int{}}
		wrong, asked := 0, 0
		for i := range 3000 {
			now = now.Add(20 * time.Millisecond)
			prompt := zipf.Uint64()
			chain := NewChain([]Part{{Digest: prompt, Tokens: c.shared}})
			if i > 300 {
				asked++
				if _, held := exact.size[strconv.FormatUint(prompt, 10)]; held != (tracker.Holders(chain, now)[run] > 0) {
					wrong++
				}
			}
			read(tracker, run, chain, c.own, now)
			exact.use(strconv.FormatUint(prompt, 10), c.shared)
			exact.use("own"+strconv.Itoa(i), c.own)
		}
		t.Logf("%d prompts: %d of %d estimates wrong", c.prompts, wrong, asked)
		if wrong > asked/10 {
			t.Errorf("%d prompts: %d of %d estimates are wrong, bound a tenth", c.prompts, wrong, asked)
		}
	}
}

// A prefix that running requests use is evicted when other prompts fill the memory.
func TestPrefixOfRunningRequestStays(t *testing.T) {
	tracker, run, chain := NewTracker(begin), Run{ID: "u1"}, chainOf(1)
	tracker.SetCapacity(run, 50000)
	r := tracker.Begin(run, chain, 0, begin)
	r.Read(begin)
	for i := range uint64(100) {
		read(tracker, run, chainOf(10+i), 0, begin)
	}
	if tracker.Holders(chain, begin)[run] != 1000 {
		t.Error("prefix of a running request was evicted")
	}
	r.End(0, begin)
	if got := tracker.Holders(chain, begin); len(got) > 0 {
		t.Errorf("prefix that was last used before 100,000 tokens is held: %v", got)
	}
}

// Running requests take memory, so that less of it is left for prompts.
func TestRunningRequestsTakeMemory(t *testing.T) {
	tracker, run, chain := NewTracker(begin), Run{ID: "u1"}, chainOf(1)
	tracker.SetCapacity(run, 50000)
	read(tracker, run, chain, 0, begin)
	r := tracker.Begin(run, nil, 49500, begin)
	if got := tracker.Holders(chain, begin); len(got) > 0 {
		t.Errorf("held beside a running request of 49,500 tokens in a memory of 50,000: %v", got)
	}
	r.End(0, begin)
}

// Very many prompts and upstreams take memory without bound.
func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker(begin)
	for i := range uint64(200000) {
		run := Run{ID: "u" + strconv.FormatUint(i%300, 10)}
		tracker.Report(run, chainOf(i/3, i), 10, begin)
	}
	for i := range tracker.shards {
		s := &tracker.shards[i]
		total := 0
		for digest, copies := range s.prefixes {
			total += len(copies)
			if len(copies) > maxCopies || len(copies) == 0 {
				t.Fatalf("prefix %d is tracked at %d runs", digest, len(copies))
			}
		}
		if total != s.holdings || total > maxHoldings || len(s.prefixes) > maxPrefixes {
			t.Fatalf("shard %d holds %d prefixes and %d holdings, counted %d", i, len(s.prefixes), total, s.holdings)
		}
	}
}

// Whatever happens in any order, more counts as held than the prompt has, a reading leaves
// running tokens behind, or a shard miscounts.
func TestTrackerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := NewTracker(begin), begin
		runs := []Run{{ID: "a"}, {ID: "b"}, {ID: "b", StartedMS: 2}}
		var open []*Reading
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			run := rapid.SampledFrom(runs).Draw(t, "run")
			chain := chainOf(rapid.SliceOfN(rapid.Uint64Range(1, 4), 0, 3).Draw(t, "parts")...)
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				tracker.SetCapacity(run, rapid.IntRange(0, 20000).Draw(t, "capacity"))
			case 1, 2:
				open = append(open, tracker.Begin(run, chain, 100, now))
			case 3:
				tracker.Report(run, chain, 100, now)
			case 4:
				tracker.Withdraw(run, chain, now)
			case 5:
				if len(open) > 0 {
					open[len(open)-1].Read(now)
				}
			case 6:
				if len(open) > 0 {
					open[0].End(50, now)
					open = open[1:]
				}
			}
			for run, held := range tracker.Holders(chain, now) {
				if held > chain.Tokens() || held%1000 != 0 || held == 0 {
					t.Fatalf("%v holds %d tokens of %v", run, held, chain)
				}
			}
		}
		for _, r := range open {
			r.End(0, now)
		}
		for _, run := range runs {
			if got := tracker.upstream(run).running.Load(); got != 0 {
				t.Fatalf("%d tokens run at %v after all requests ended", got, run)
			}
		}
		for i := range tracker.shards {
			total := 0
			for _, copies := range tracker.shards[i].prefixes {
				for _, h := range copies {
					total++
					if h.users != 0 {
						t.Fatalf("%d users after all requests ended", h.users)
					}
				}
			}
			if total != tracker.shards[i].holdings {
				t.Fatalf("%d holdings, counted %d", total, tracker.shards[i].holdings)
			}
		}
	})
}

// Requests of all kinds at once; the race detector finds unguarded state.
func TestTrackerConcurrentUse(t *testing.T) {
	tracker := NewTracker(begin)
	var group sync.WaitGroup
	for worker := range uint64(8) {
		group.Go(func() {
			for i := range uint64(300) {
				run, chain := Run{ID: strconv.FormatUint(i%5, 10)}, chainOf(i%7, worker)
				tracker.SetCapacity(run, 60000)
				r := tracker.Begin(run, chain, 100, begin)
				tracker.Holders(chain, begin)
				r.Read(begin)
				tracker.Report(run, chain, 100, begin)
				tracker.AddUnseen([]Run{run}, 10)
				r.End(10, begin)
				tracker.Retain(func(r Run) bool { return r.ID != "3" })
			}
		})
	}
	group.Wait()
}

func BenchmarkHolders60(b *testing.B) {
	tracker, chain := NewTracker(begin), chainOf(1, 2)
	for i := range 60 {
		run := Run{ID: strconv.Itoa(i)}
		tracker.SetCapacity(run, 600000)
		read(tracker, run, chain, 100, begin)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			tracker.Holders(chain, begin)
		}
	})
}
