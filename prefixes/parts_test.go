package prefixes

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/promptcache"
)

// newPartHosts returns a network of three hosts that track prompts by part.
func newPartHosts() (*innermem.Network, map[string]*Directory) {
	network, hosts := newHosts()
	for _, d := range hosts {
		d.TrackParts(promptcache.NewTracker(time.Now()))
	}
	return network, hosts
}

// partChain returns the chain of parts of 1000 tokens with the given digests.
func partChain(digests ...uint64) promptcache.Chain {
	parts := make([]promptcache.Part, 0, len(digests))
	for _, d := range digests {
		parts = append(parts, promptcache.Part{Digest: d, Tokens: 1000})
	}
	return promptcache.NewChain(parts)
}

// chainOwnedBy returns a chain whose owner is the host of the given directory.
func chainOwnedBy(t *testing.T, d *Directory) (first uint64) {
	t.Helper()
	for first := range uint64(100) {
		if _, remote := d.owner(partChain(first)[0].Digest); !remote {
			return first
		}
	}
	t.Fatal("the host owns none of 100 chains")
	return 0
}

// Another host sends a prompt that shares its first part only; it counts as new at hosts that ask
// whichever owner.
func TestPromptThatSharesItsFirstPartIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, hosts := newPartHosts()
		run := promptcache.Run{ID: "u1", StartedMS: 7}
		for _, owner := range []string{"a", "b", "c"} {
			first := chainOwnedBy(t, hosts[owner])
			chain := partChain(first, 500)
			reading := hosts["a"].tracker.Begin(run, chain, 100, time.Now())
			hosts["a"].SentParts(chain, 100, run, nil)
			time.Sleep(time.Second)
			for _, querier := range []string{"a", "b", "c"} {
				for other, want := range map[uint64]int{500: 2000, 501: 1000} {
					held, known := hosts[querier].Held(t.Context(), partChain(first, other))
					if !known || held[run] != want {
						t.Errorf("query from %s to owner %s: held %v, known %v, want %d", querier, owner, held, known, want)
					}
				}
			}
			reading.End(0, time.Now())
		}
	})
}

// A request was repeated elsewhere because its first upstream did not read it, which counts as holding
// the prompt at all hosts.
func TestRepeatWithdrawsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, hosts := newPartHosts()
		chain := partChain(chainOwnedBy(t, hosts["b"]))
		failed, second := promptcache.Run{ID: "u1"}, promptcache.Run{ID: "u2"}
		hosts["a"].SentParts(chain, 100, failed, nil)
		time.Sleep(time.Second)
		hosts["a"].SentParts(chain, 100, second, &failed)
		time.Sleep(time.Second)
		held, known := hosts["c"].Held(t.Context(), chain)
		if !known || len(held) != 1 || held[second] != 1000 {
			t.Errorf("held %v, known %v, want 1000 tokens at u2 alone", held, known)
		}
	})
}

// The owner is unreachable; the host forgets what it knows itself, or waits for the owner with each
// request.
func TestOwnKnowledgeWhileOwnerIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, hosts := newPartHosts()
		chain, run := partChain(chainOwnedBy(t, hosts["b"])), promptcache.Run{ID: "u1"}
		reading := hosts["a"].tracker.Begin(run, chain, 0, time.Now())
		reading.Read(time.Now())
		reading.End(0, time.Now())
		network.Cut("a", "b", true)
		for i, limit := range []time.Duration{queryTimeout, 0, 0} {
			start := time.Now()
			held, known := hosts["a"].Held(t.Context(), chain)
			if known || held[run] != 1000 {
				t.Errorf("held %v, known %v, want this host's own knowledge", held, known)
			}
			if took := time.Since(start); took > limit {
				t.Errorf("query %d took %v, want at most %v", i, took, limit)
			}
			hosts["a"].SentParts(chain, 0, run, nil)
		}
	})
}

// Hosts of the earlier release read the messages, and theirs are answered.
func TestMessagesOfEarlierRelease(t *testing.T) {
	type oldQuery struct {
		Prompt uint64 `cbor:"1,keyasint"`
	}
	type oldReport struct {
		Prompt   uint64 `cbor:"1,keyasint"`
		Upstream string `cbor:"2,keyasint"`
	}
	type oldReply struct {
		Upstreams []string `cbor:"1,keyasint,omitempty"`
	}
	convert := func(from, to any) {
		t.Helper()
		data, err := cbor.Marshal(from)
		if err == nil {
			err = cbor.Unmarshal(data, to)
		}
		if err != nil {
			t.Errorf("%T as %T: %v", from, to, err)
		}
	}
	var q oldQuery
	convert(query{Prompt: 5, Chain: partChain(1, 2)}, &q)
	var r oldReport
	convert(sentReport{Prompt: 5, Upstream: "u1", StartedMS: 3, Chain: partChain(1), Own: 4, NotRead: &holder{Upstream: "u2"}}, &r)
	var reply oldReply
	convert(queryReply{Holders: []holder{{Upstream: "u1", Tokens: 3}}}, &reply)
	if q.Prompt != 5 || r.Prompt != 5 || r.Upstream != "u1" {
		t.Errorf("query %+v and report %+v of the earlier release, want prompt 5 and upstream u1", q, r)
	}
	var newQuery query
	convert(oldQuery{Prompt: 6}, &newQuery)
	if newQuery.Prompt != 6 || newQuery.Chain != nil {
		t.Errorf("query of the earlier release was read as %+v", newQuery)
	}
}

// Hosts that track prompts by part answer the queries of hosts that do not, and the other way round.
func TestHostsWithAndWithoutParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, hosts := newHosts()
		hosts["a"].TrackParts(promptcache.NewTracker(time.Now()))
		prompt := promptOf(t, hosts["a"])
		hosts["b"].Sent(prompt, "u1")
		chain := partChain(chainOwnedBy(t, hosts["b"]))
		hosts["a"].SentParts(chain, 10, promptcache.Run{ID: "u2"}, nil)
		time.Sleep(time.Second)
		if ids, known := hosts["c"].Upstreams(t.Context(), prompt); !known || len(ids) != 1 {
			t.Errorf("query without parts: upstreams %v, known %v, want u1", ids, known)
		}
		if held, known := hosts["a"].Held(t.Context(), chain); !known || len(held) != 0 {
			t.Errorf("query with parts to an owner without: held %v, known %v, want none", held, known)
		}
	})
}

// A faulty message has sizes and numbers of parts that no prompt has.
func TestFaultyReportIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, hosts := newPartHosts()
		d, chain := hosts["a"], promptcache.Chain{}
		for i := range uint64(3 * promptcache.MaxParts) {
			chain = append(chain, promptcache.Link{Digest: i, Tokens: 1 - 1<<40*int(i%2)})
		}
		d.trackReport(sentReport{Upstream: "u1", Chain: chain, Own: -1 << 40}, time.Now())
		for _, h := range d.ownHolders(chain, time.Now()) {
			if h.Tokens < 0 || h.Tokens > promptcache.MaxParts {
				t.Errorf("holder %+v", h)
			}
		}
		for i := range 3 * maxHolders {
			d.trackReport(sentReport{Upstream: strconv.Itoa(i), Chain: partChain(1)}, time.Now())
		}
		if got := len(d.ownHolders(partChain(1), time.Now())); got != maxHolders {
			t.Errorf("a reply lists %d upstreams, want %d", got, maxHolders)
		}
	})
}
