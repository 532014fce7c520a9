package forward_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/forward"
	"github.com/cardamompier/cardamompier/loadshare"
)

// slowAnswer answers after 60 ms at the upstream u0 and after 20 ms at the others.
func slowAnswer(u *simUpstream, r receivedRequest, conn net.Conn) bool {
	if u.id == "u0" {
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	writeAnswer(conn, r, http.StatusOK, sealHeader, "ok")
	return true
}

// flow sends requests from several callers at each host, each waiting for its answer, and returns the share
// of the upstream u0 after the given warm-up.
func (f *fleet) flow(t *testing.T, warmUp, span time.Duration, header http.Header) float64 {
	t.Helper()
	began := time.Now()
	var callers sync.WaitGroup
	for _, h := range f.hosts {
		for range 3 {
			callers.Go(func() {
				for time.Since(began) < warmUp+span {
					if err := f.send(h, header); err != nil {
						t.Error(err)
						return
					}
				}
			})
		}
	}
	callers.Wait()
	slow, all := 0, 0
	for _, u := range f.upstreams {
		for _, a := range u.arrived() {
			if a.at.Sub(began) < warmUp {
				continue
			}
			all++
			if u.id == "u0" {
				slow++
			}
		}
	}
	return float64(slow) / float64(max(all, 1))
}

func (f *fleet) send(h *fleetHost, header http.Header) error {
	req, err := http.NewRequest(http.MethodPost, h.url+"/read/x", strings.NewReader("b"))
	if err != nil {
		return err
	}
	req.Host = "h.example"
	req.Header = header.Clone()
	req.Header.Set("Request-Id", time.Now().String())
	res, err := h.client.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return err
}

// rateLoads returns how many of a host's loads are not its load at an upstream.
func rateLoads(loads []loadshare.Load, upstreams []*simUpstream) int {
	n := len(loads)
	for _, l := range loads {
		for _, u := range upstreams {
			if l.Upstream == loadshare.UpstreamHash(u.id) {
				n--
			}
		}
	}
	return n
}

// An upstream that takes three times as long as the others gets no more of the plain requests and of the
// prompts than its speed allows, a tenth, and the hosts share what they have measured. By requests in flight
// and by tokens alone it gets 0.14 and 0.17 of them.
func TestSlowUpstreamGetsLess(t *testing.T) {
	for name, header := range map[string]http.Header{"plain": {}, "prompts": {"Token-Count": {"2000,10"}}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slower := forward.RateChanges.Value("slower")
			f := newFleet(t, 4, 4, slowAnswer, func(c *forward.Config) { c.Balance.ByRate = true })
			if share := f.flow(t, 3*time.Second, 3*time.Second, header); share > 0.11 {
				t.Errorf("the slow upstream got %.2f of the requests, want at most 0.11", share)
			}
			if forward.RateChanges.Value("slower") == slower {
				t.Error("no host has found the slow upstream")
			}
			shared := false
			for began := time.Now(); time.Since(began) < 4*time.Second && !shared; time.Sleep(50 * time.Millisecond) {
				for _, h := range f.hosts {
					extra := rateLoads(h.LocalLoads(), f.upstreams)
					shared = shared || name == "plain" && extra > 0 || extra > 1 // demand is an entry too
				}
			}
			if !shared {
				t.Error("no host shares its measurements")
			}
		})
	}
}

// With the switch off, nothing is measured and the digests have no additional entries.
func TestNoRatesWithoutTheSwitch(t *testing.T) {
	used := forward.RateSamples.Value("used")
	f := newFleet(t, 2, 4, slowAnswer)
	f.flow(t, 0, time.Second, http.Header{})
	for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, h := range f.hosts {
			if n := rateLoads(h.LocalLoads(), f.upstreams); n > 0 {
				t.Fatalf("a host shares %d entries besides its loads", n)
			}
		}
	}
	if forward.RateSamples.Value("used") != used {
		t.Error("answers were measured")
	}
}
