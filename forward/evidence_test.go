package forward_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/routing"
)

// failedAt returns the failures that this host tells the others of an upstream.
func (f *fixture) failedAt(id string) int64 {
	for _, l := range f.Loads() {
		if l.Upstream == loadshare.Key(id) {
			return l.Failed
		}
	}
	return 0
}

// Upstreams that go dark, in a fleet of hundreds of hosts: requests without an
// answer are evidence for all hosts, also where the deadline ended them; those
// whose caller left are not.
func TestRequestsWithoutAnswerAreSharedEvidence(t *testing.T) {
	for name, answer := range map[string]script{
		"closed": func(int, seen, net.Conn) {},
		"silent": func(_ int, _ seen, conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) },
	} {
		f := newFixture(t, answer)
		if status, _, _, err := f.send(t, "/order/x", "b", "Deadline-Ms", "50"); err != nil || status < http.StatusInternalServerError {
			t.Errorf("%s: %d, %v", name, status, err)
		}
		if got := f.failedAt(f.arrivals()[0].upstream); got == 0 {
			t.Errorf("%s: the others are not told", name)
		}
	}
}

// One host's two failures, told to another host, keep that one away from the
// upstream although it looks idle.
func TestDarkUpstreamIsAvoidedByHostsThatNeverMetIt(t *testing.T) {
	dark, sound := &routing.Live{}, &routing.Live{}
	dark.SetOthers(0, 0, routing.Outcomes{Ended: 2, Failed: 2})
	sound.SetOthers(20000, 4, routing.Outcomes{Ended: 20, Failed: 1})
	upstreams := []routing.Upstream{{ID: "dark", Live: dark}, {ID: "sound", Live: sound}}
	s := routing.NewSnapshot(upstreams, routing.NewLayout(upstreams), 0)
	for name, policy := range map[string]routing.Policy{"prompt": routing.Prefill{Tokens: 1000}, "plain": routing.LeastBacklog{}} {
		if got := policy.Pick(s, &routing.Request{}, 0); got.Index != 1 {
			t.Errorf("%s: upstream %d, reason %s", name, got.Index, got.Reason)
		}
	}
}
