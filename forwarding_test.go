package cardamompier

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/forward"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/presence"
	"github.com/cardamompier/cardamompier/quota"
	"github.com/cardamompier/cardamompier/replica"
	"github.com/cardamompier/cardamompier/settings"
)

// TestRequestAcceptedAsTheHostCloses stops a host under load. A request accepted while the
// host closes must be answered, and a request that never ends must not delay the stop.
func TestRequestAcceptedAsTheHostCloses(t *testing.T) {
	for name, c := range map[string]struct {
		work     time.Duration
		answered bool
	}{"short": {shutdownTimeout / 5, true}, "endless": {time.Minute, false}} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			accepted := make(chan struct{})
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(accepted)
				select {
				case <-time.After(c.work):
				case <-r.Context().Done():
				}
				_, _ = io.WriteString(w, "done")
			})}
			go func() { _ = server.Serve(listener) }()
			got := make(chan string, 1)
			go func() {
				res, err := http.Get("http://" + listener.Addr().String())
				if err != nil {
					got <- ""
					return
				}
				defer func() { _ = res.Body.Close() }()
				body, _ := io.ReadAll(res.Body)
				got <- string(body)
			}()
			<-accepted
			ctx, cancel := context.WithTimeout(t.Context(), shutdownTimeout)
			defer cancel()
			began := time.Now()
			boundServer{server: server, listener: listener}.shutdown(ctx)
			if took := time.Since(began); took > drainMargin {
				t.Errorf("shutdown took %s, longer than the drain margin", took)
			}
			if body := <-got; (body == "done") != c.answered {
				t.Errorf("response body is %q", body)
			}
		})
	}
}

// TestBalanceByTheRulesOfThePlatform checks that uneven upstreams are handled where the settings or the
// platform's rule parts ask for it, and nowhere else.
func TestBalanceByTheRulesOfThePlatform(t *testing.T) {
	for _, c := range []struct {
		settings settings.Forwarding
		want     forward.Balance
	}{
		{settings.Forwarding{}, forward.Balance{}},
		{settings.Forwarding{RuleParts: []string{"base", "pool"}}, forward.Balance{}},
		{settings.Forwarding{RuleParts: []string{"base", "health"}}, forward.Balance{ByRate: true}},
		{settings.Forwarding{BalanceByRate: true}, forward.Balance{ByRate: true}},
		{settings.Forwarding{RefuseHopeless: true}, forward.Balance{RefuseHopeless: true}},
	} {
		if got := balanceOf(c.settings); got != c.want {
			t.Errorf("rule parts %q, balance_by_rate %v: got %+v, want %+v", c.settings.RuleParts, c.settings.BalanceByRate, got, c.want)
		}
	}
}

// TestHostThatKnowsNoOtherHasNoShare guards against started hosts that each take themselves for the only one, and use the whole
// limit of each client account and of each upstream, until they have read the records of the hosts.
func TestHostThatKnowsNoOtherHasNoShare(t *testing.T) {
	members := replica.New(nil, presence.Prefix, time.Second, nil, hclog.NewNullLogger())
	self := membership.Member{ID: "a"}
	f := &ForwardServer{members: members, presence: presence.New(nil, self, members, clock.SinceBoot, hclog.NewNullLogger())}
	if hosts, count := f.knownHosts().Members, f.hostCount(); len(hosts) != 0 || count != 0 {
		t.Errorf("before the records are read: hosts %v, count %d, want none", hosts, count)
	}
	limits := quota.NewOwners("a", inner.NewClient(), inner.NewServer(), f.knownHosts, f.hostCount, func() bool { return true })
	if wait, _, ok := limits.Take(t.Context(), "account", admission.AccountLimit{Rate: 1000, Burst: 1000}, 1); ok || wait <= 0 {
		t.Errorf("a share of an account's limit: admitted %v, retry after %v, want a refusal", ok, wait)
	}
	if wait, ok := quota.NewPacer("a", inner.NewClient(), inner.NewServer(), f.knownHosts).Permit(t.Context(), "u", 10); ok || wait <= 0 {
		t.Errorf("a permit of an upstream: granted %v, retry after %v, want a refusal", ok, wait)
	}
}
