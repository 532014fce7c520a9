package enginesim

import (
	"strings"
	"testing"

	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

func TestExportedCacheIsNotComputedAgain(t *testing.T) {
	prompt := strings.Repeat("x", 4000) + "tokens=5"
	first, second := New(Options{ID: "a"}), New(Options{ID: "b"})
	if reason := first.Start(enginehttp.GenerateBody{StreamID: "s", Prompt: prompt, MaxTokens: 5}); reason != "" {
		t.Fatal(reason)
	}
	cache, reason := first.Export("s")
	if reason != "" || second.Import("s2", cache) != "" {
		t.Fatal("the cache was not moved")
	}
	second.Start(enginehttp.GenerateBody{StreamID: "s2", Prompt: prompt, Prior: "one two ", PriorTokens: 2, MaxTokens: 5})
	second.Start(enginehttp.GenerateBody{StreamID: "s3", Prompt: "y" + prompt, Prior: "one two ", PriorTokens: 2, MaxTokens: 5})
	if got, most := second.Stats().Recomputed, 2+(len(prompt)+1)/bytesPerToken+2; got < most-2 || got > most {
		t.Fatalf("computed %d tokens again, the attempt without a cache alone has %d", got, most-2)
	}
}

func TestPrefixCacheIsBoundedAndLosesEvents(t *testing.T) {
	c := newPrefixCache(4, 3)
	if hit := c.use(strings.Repeat("a", 3*blockSize)); hit != 0 {
		t.Fatalf("hit %d tokens of a new prompt", hit)
	}
	if hit := c.use(strings.Repeat("a", 3*blockSize)); hit != 3*blockSize/bytesPerToken {
		t.Fatalf("hit %d tokens of a known prompt", hit)
	}
	c.use(strings.Repeat("b", 4*blockSize))
	if hit := c.use(strings.Repeat("a", 3*blockSize)); hit != 0 || c.order.Len() > 4 {
		t.Fatalf("hit %d tokens after %d blocks", hit, c.order.Len())
	}
	for _, e := range c.after(0, 0) {
		if e.Sequence%3 == 0 {
			t.Fatalf("event %d was not lost", e.Sequence)
		}
	}
}

func TestLeavingEngineRefuses(t *testing.T) {
	e, leaving := New(Options{}), true
	e.Control(Control{Leaving: &leaving})
	if reason := e.Start(enginehttp.GenerateBody{StreamID: "s"}); reason != upstream.ReasonLeaving || !e.load().Leaving {
		t.Fatalf("reason %q, report %+v", reason, e.load())
	}
}
