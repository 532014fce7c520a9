package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/forward"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/prefixes"
	"github.com/cardamompier/cardamompier/promptcache"
)

// trackParts lets the hosts of a fleet estimate what upstreams hold, with prefixes.Directory over a network
// of its own.
func trackParts(entryHosts int) func(*forward.Config) {
	network, view, next := innermem.New(1), &membership.View{}, 0
	for i := range entryHosts {
		name := fmt.Sprintf("h%d", i)
		view.Members = append(view.Members, membership.Member{ID: name, InnerAddress: name, Capacity: 1})
	}
	return func(config *forward.Config) {
		name, server := view.Members[next].ID, inner.NewServer()
		next++
		directory := prefixes.New(name, network.Client(name), server, func() *membership.View { return view })
		config.PromptTracker = promptcache.NewTracker(time.Now())
		directory.TrackParts(config.PromptTracker)
		config.CachedParts = directory
		network.Serve(name, server)
	}
}

// Each host sends a prompt to another upstream, because it does not know what the other hosts have sent where,
// or an upstream that holds the first part only counts as holding nothing. The requests come one after another, so
// that no holder has work.
func TestHostsSendPromptsWhereOtherHostsSentTheirFirstPart(t *testing.T) {
	answer := func(_ *simUpstream, r receivedRequest, conn net.Conn) bool {
		writeAnswer(conn, r, http.StatusOK, sealHeader, "done")
		return true
	}
	for _, byRate := range []bool{false, true} {
		for _, size := range fleetSizes {
			t.Run(fmt.Sprintf("hosts=%d/by rate=%v", size, byRate), func(t *testing.T) {
				f := newFleet(t, size, 6, answer, trackParts(size), func(c *forward.Config) { c.Balance.ByRate = byRate })
				for i, h := range f.hosts {
					if status := sendShared(t, h, i); status != http.StatusOK {
						t.Fatalf("request %d: status %d", i, status)
					}
					time.Sleep(20 * time.Millisecond) // the report is under way
				}
				used := 0
				for _, u := range f.upstreams {
					if len(u.arrived()) > 0 {
						used++
					}
				}
				if used != 1 {
					t.Errorf("prompts with the same first part were sent to %d upstreams, want 1", used)
				}
			})
		}
	}
}

// sendShared sends a prompt to a host that shares its first part with all others, and returns the status of the
// answer.
func sendShared(t *testing.T, h *fleetHost, request int) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.url+"/read/x", strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", fmt.Sprintf("r%d", request))
	req.Header.Set("Deadline-Ms", "2000")
	req.Header.Set("Token-Count", "17020,5")
	req.Header.Set("Prompt-Prefix", fmt.Sprintf("f1:13000,%x:300,%x:3720", 0xa0+request, 0xb00+request))
	res, err := h.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	return res.StatusCode
}
