package forward_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/forward"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/promptcache"
)

// sentParts is one call of SentParts.
type sentParts struct {
	chain   promptcache.Chain
	own     int
	run     promptcache.Run
	notRead *promptcache.Run
}

// partsOfOneHost implements forward.CachedParts for a host without others.
type partsOfOneHost struct {
	tracker *promptcache.Tracker
	mu      sync.Mutex
	sent    []sentParts
	asked   int
}

func (p *partsOfOneHost) Held(_ context.Context, chain promptcache.Chain) (map[promptcache.Run]int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	return p.tracker.Holders(chain, time.Now()), true
}

func (p *partsOfOneHost) SentParts(chain promptcache.Chain, own int, run promptcache.Run, notRead *promptcache.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, sentParts{chain, own, run, notRead})
}

func newPartsFixture(t *testing.T, answer answerFunc) (*fixture, *partsOfOneHost) {
	f := newFixture(t, answer)
	parts := &partsOfOneHost{tracker: promptcache.NewTracker(time.Now())}
	f.CachedParts, f.PromptTracker = parts, parts.tracker
	return f, parts
}

// sendPrompt sends a request whose prompt has two shared parts and returns its upstream.
func sendPrompt(t *testing.T, f *fixture, second string) string {
	t.Helper()
	status, _, _, err := f.send(t, "/read/x", "b", "Token-Count", "17020,5", "Prompt-Prefix", "f1:9000,"+second+":4300,f3:3720")
	if err != nil || status != http.StatusOK {
		t.Fatalf("status %d, error %v", status, err)
	}
	received := f.receivedRequests()
	return received[len(received)-1].upstream
}

// answerOK answers and says that the connection ends, so that no request is sent on it any more.
func answerOK(_ int, r receivedRequest, conn net.Conn) {
	writeAnswer(conn, r, http.StatusOK, sealHeader+"Connection: close\r\n", "done")
}

// Prompts that share their first part only are read by another upstream each time, although the one that
// holds the part is idle.
func TestPromptGoesWhereItsFirstPartIsHeld(t *testing.T) {
	f, parts := newPartsFixture(t, answerOK)
	first := sendPrompt(t, f, "a0")
	for i := range 10 {
		if got := sendPrompt(t, f, "b"+strconv.Itoa(i)); got != first {
			t.Fatalf("prompt %d was sent to %s, want %s, which holds its first part", i, got, first)
		}
	}
	if len(parts.sent) != 11 || parts.asked != 11 {
		t.Errorf("%d reports and %d queries for 11 requests, want one each", len(parts.sent), parts.asked)
	}
	for _, s := range parts.sent {
		if s.chain.Tokens() != 13300 || s.own != 3720 || s.notRead != nil {
			t.Errorf("report %+v, want 13,300 shared and 3,720 own tokens", s)
		}
	}
}

// An upstream breaks the connection; the prompt counts as held there, and not at the upstream that read
// it.
func TestPromptOfFailedAttemptIsNotHeld(t *testing.T) {
	f, parts := newPartsFixture(t, func(n int, r receivedRequest, conn net.Conn) {
		if n > 0 {
			answerOK(n, r, conn)
		}
	})
	second := sendPrompt(t, f, "a0")
	first := f.receivedRequests()[0].upstream
	if len(parts.sent) != 2 || parts.sent[0].notRead != nil || parts.sent[1].notRead == nil || parts.sent[1].notRead.ID != first {
		t.Errorf("reports %+v, want the second to withdraw the first", parts.sent)
	}
	held := parts.tracker.Holders(parts.sent[0].chain, time.Now())
	if len(held) != 1 || held[promptcache.Run{ID: second}] != 13300 {
		t.Errorf("held %v, want 13300 tokens at %s alone", held, second)
	}
}

// An upstream is restarted; the prompt counts as held by its new run.
func TestRestartedUpstreamIsForgotten(t *testing.T) {
	f, parts := newPartsFixture(t, answerOK)
	sendPrompt(t, f, "a0")
	list := slices.Clone(f.snapshot.Load().Hosts)
	for i := range list {
		list[i].StartedMS = 2
	}
	f.setUpstreams(list)
	f.SetPeerLoads(nil)
	if held := parts.tracker.Holders(parts.sent[0].chain, time.Now()); len(held) != 0 {
		t.Errorf("held after a restart: %v", held)
	}
}

// A prompt with small shared parts costs messages, or one without a prompt is tracked.
func TestSmallSharedPartsCostNoMessage(t *testing.T) {
	f, parts := newPartsFixture(t, answerOK)
	for _, headers := range [][]string{{"Token-Count", "1460,5", "Prompt-Prefix", "f1:210,f2:140,f3:1110"}, {}} {
		if status, _, _, err := f.send(t, "/read/x", "b", headers...); err != nil || status != http.StatusOK {
			t.Fatalf("status %d, error %v", status, err)
		}
	}
	if len(parts.sent) != 0 || parts.asked != 0 {
		t.Errorf("%d reports and %d queries, want none", len(parts.sent), parts.asked)
	}
	chain := promptcache.NewChain([]promptcache.Part{{Digest: 0xf1, Tokens: 210}, {Digest: 0xf2, Tokens: 140}})
	if held := parts.tracker.Holders(chain, time.Now()); len(held) != 1 {
		t.Errorf("held %v, want this host's own knowledge of one upstream", held)
	}
}

// With the estimates switched off, prompts are tracked otherwise than by whole shared prompts.
func TestWholePromptsAreTrackedWhileSwitchedOff(t *testing.T) {
	f := newFixture(t, answerOK)
	reports := 0
	f.onChoice = func() { reports++ }
	tokens := forward.PromptTokens.Value("all")
	sendPrompt(t, f, "a0")
	if reports != 1 || forward.PromptTokens.Value("all") != tokens {
		t.Errorf("%d reports of whole prompts, want 1, and none by part", reports)
	}
}

var _ forward.CachedParts = (*partsOfOneHost)(nil)

// The list of upstreams is in use by requests while the loads of other hosts arrive; the race detector
// finds unguarded state.
func TestPromptsWhileLoadsArrive(t *testing.T) {
	f, _ := newPartsFixture(t, answerOK)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for i := range 10 {
				f.SetPeerLoads(nil)
				f.setUpstreams(append([]hosts.Host(nil), f.snapshot.Load().Hosts...))
				sendPrompt(t, f, "a"+strconv.Itoa(i))
			}
		})
	}
	group.Wait()
}
