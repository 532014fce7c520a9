package forward_test

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/forward"
	"github.com/cardamompier/cardamompier/hosts"
)

// hopelessSlots is the number of requests that an upstream of these tests runs at once.
const hopelessSlots = 3

// newShortFleet starts two hosts and two upstreams that run hopelessSlots requests at once, 100 ms each. Further
// requests wait.
func newShortFleet(t *testing.T) *fleet {
	slots := map[string]chan struct{}{"u0": make(chan struct{}, hopelessSlots), "u1": make(chan struct{}, hopelessSlots)}
	f := newFleet(t, 2, 2, func(u *simUpstream, r receivedRequest, conn net.Conn) bool {
		slots[u.id] <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		<-slots[u.id]
		writeAnswer(conn, r, http.StatusOK, sealHeader, "ok")
		return true
	}, func(c *forward.Config) { c.Balance = forward.Balance{ByRate: true, RefuseHopeless: true} })
	list := slices.Clone(f.snapshot.Load().Hosts)
	for i := range list {
		list[i].Slots = hopelessSlots
	}
	f.snapshot.Store(hosts.NewSnapshot(list, time.Now()))
	return f
}

// burst sends requests from the given number of callers for a span. Each caller waits for its answer, or for
// the Retry-After of a refusal. It returns the numbers of served and refused requests.
func (f *fleet) burst(t *testing.T, callers int, span, timeLeft time.Duration) (served, refused int) {
	t.Helper()
	var mu sync.Mutex
	var running sync.WaitGroup
	began := time.Now()
	for i := range callers {
		running.Go(func() {
			for n := 0; time.Since(began) < span; n++ {
				h := f.hosts[i%len(f.hosts)]
				req, err := http.NewRequest(http.MethodPost, h.url+"/read/x", strings.NewReader("b"))
				if err != nil {
					t.Error(err)
					return
				}
				req.Host = "h.example"
				req.Header.Set("Request-Id", strconv.Itoa(i)+"/"+strconv.Itoa(n))
				req.Header.Set("Deadline-Ms", strconv.FormatInt(timeLeft.Milliseconds(), 10))
				res, err := h.client.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				_ = res.Body.Close()
				pause := time.Duration(0)
				mu.Lock()
				switch res.StatusCode {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
					refused++
					seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
					if err != nil || seconds <= 0 {
						t.Errorf("refusal has the Retry-After %q", res.Header.Get("Retry-After"))
					}
					pause = time.Duration(seconds * float64(time.Second))
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	running.Wait()
	return served, refused
}

// Many more callers than the upstreams can serve in time: those that would wait too long are refused at once
// with a Retry-After, and the upstreams go on serving others in time.
func TestMoreCallersThanCapacityAreRefusedAtOnce(t *testing.T) {
	f := newShortFleet(t)
	if _, refused := f.burst(t, 2, 2*time.Second, 700*time.Millisecond); refused > 0 {
		t.Errorf("two callers: %d requests were refused while most slots were free", refused)
	}
	before := forward.HopelessRefusals.Value("deadline")
	served, refused := f.burst(t, 60, 4*time.Second, 700*time.Millisecond)
	if refused == 0 || forward.HopelessRefusals.Value("deadline") == before {
		t.Error("no request was refused at once")
	}
	// 2 upstreams x 3 slots / 100 ms = 60 requests per second.
	if served < 120 {
		t.Errorf("%d requests were served in 4 s, want at least half of the capacity of 240; %d were refused", served, refused)
	}
}
