package dispatch_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/dispatch"
	"github.com/cardamompier/cardamompier/gossip"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/upstream"
)

// fixedHosts is a host list that does not change.
type fixedHosts []hosts.Host

// List implements hosts.Source.
func (h fixedHosts) List(context.Context) ([]hosts.Host, error) { return h, nil }

// refusingAddress returns an address that refuses connections. The port is held, so that no other test listens there.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
}

// TestFailureOfAnyAttemptMayHaveRun covers a call to an idempotent service that one upstream received and did not
// answer, and that another one refused. It guards against an error that states that the call did not run, by the last
// attempt alone.
func TestFailureOfAnyAttemptMayHaveRun(t *testing.T) {
	var received atomic.Int64
	breaks := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer breaks.Close()
	list := fixedHosts{
		{ID: "breaks", Address: breaks.Listener.Addr().String(), FailureDomain: "d", Pool: "p", State: hosts.StateLive, Slots: 1},
		{ID: "closed", Address: refusingAddress(t), FailureDomain: "d", Pool: "p", State: hosts.StateLive, Slots: 1},
	}
	logger := hclog.NewNullLogger()
	for range 20 { // until the upstream that refuses is tried last
		poller := hosts.NewPoller(list, time.Second, logger)
		d := dispatch.New(poller, dispatch.NewIsolation(gossip.NewTable("n"), kvmem.New(), logger), logger)
		before := received.Load()
		_, failure := d.CallPlain(t.Context(), &config.Service{Name: "s", Kind: config.KindPlain, Pool: "p", Idempotent: true},
			upstream.Call{RequestID: "r", Method: http.MethodPost, Path: "/"})
		if failure == nil {
			t.Fatal("got no error")
		}
		if received.Load() > before && failure.Ran != apierr.RanUnknown {
			t.Errorf("an upstream received the call, and the error says %q", failure.Ran)
		}
	}
	if received.Load() == 0 {
		t.Error("no upstream received a call")
	}
}
