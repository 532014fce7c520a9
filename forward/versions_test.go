package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/rollout"
	"github.com/cardamompier/cardamompier/rollout/agent"
)

// versionedFixture is a fixture whose first upstream has the version v1 and whose second one has v2, during a roll-out
// of v2.
type versionedFixture struct {
	*fixture
	agent *agent.Agent
	seq   atomic.Uint64
}

func newVersionedFixture(t *testing.T, answer answerFunc) *versionedFixture {
	f := &versionedFixture{fixture: newFixture(t, answer)}
	list := f.snapshot.Load().Hosts
	list[0].Version, list[1].Version = "v1", "v2"
	f.setUpstreams(list)
	f.agent = agent.New(agent.Config{
		Host: "h", Bounds: rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}, HoldBack: time.Minute, Store: kvmem.New(),
		Upstreams: f.snapshot.Load, Withdraw: f.WithdrawStreams, Now: time.Now, Elapsed: clock.SinceBoot, Logger: hclog.NewNullLogger(),
	})
	f.Versions = f.agent
	return f
}

// promote directs all requests to v2 and returns the host's report.
func (f *versionedFixture) promote(t *testing.T, withdraw bool) rollout.HostReport {
	t.Helper()
	d := agent.Directive{
		Order: rollout.Order{Pool: "p", Target: "v2", Duration: 15 * time.Second, Revision: 5}, Base: 5, Old: []string{"v1"},
		Phase: rollout.PhasePromoting, Step: 1, Withdraw: withdraw,
	}
	answer, err := f.agent.Handle(context.Background(), agent.Directives{Fence: 1, Seq: f.seq.Add(1), Pools: []agent.Directive{d}})
	if err != nil {
		t.Fatal(err)
	}
	return answer.Reports[0].Report
}

// TestStreamMovesToNewVersion guards against a stream that breaks, or is repeated, when it is withdrawn from an upstream of
// the old version, and against one that counts as a failure of that version.
func TestStreamMovesToNewVersion(t *testing.T) {
	begun := make(chan struct{})
	f := newVersionedFixture(t, func(n int, r receivedRequest, conn net.Conn) {
		writeStreamHead(conn, r)
		if n == 0 {
			writeChunk(conn, eventText(1)+eventText(2))
			close(begun)
			_, _ = io.Copy(io.Discard, conn) // until the connection is closed
			return
		}
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
		for id := after + 1; id <= 4; id++ {
			writeChunk(conn, eventText(id))
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	go func() {
		<-begun
		time.Sleep(50 * time.Millisecond) // so that the first events are relayed before
		if r := f.promote(t, false); r.AtOld != 1 || r.ResumableAtOld != 1 {
			t.Errorf("report %+v while a stream is at the old version", r)
		}
		f.promote(t, true)
	}()
	want := eventText(1) + eventText(2) + eventText(3) + eventText(4)
	status, body, _, err := f.send(t, "/resume/x", "b")
	if err != nil || status != http.StatusOK || body != want {
		t.Fatalf("got status %d, body %q and error %v", status, body, err)
	}
	received := f.receivedRequests()
	if len(received) != 2 || received[0].upstream != "u1" || received[1].upstream != "u2" {
		t.Fatalf("%d requests were received", len(received))
	}
	r := f.promote(t, false)
	if r.AtOld != 0 || r.AtTarget != 0 {
		t.Errorf("report %+v after the stream has ended", r)
	}
	for key, counts := range r.Evidence {
		if counts.Failed > 0 {
			t.Errorf("a failure of %s was recorded", key.Version)
		}
	}
}

// TestEvidenceOfVersions guards against faults of a version that are not seen, and against rejections and callers that
// leave which count as faults.
func TestEvidenceOfVersions(t *testing.T) {
	seal := sealHeader
	for name, c := range map[string]struct {
		path          string
		answer        answerFunc
		ended, failed int64
	}{
		"answered":         {"/order/x", func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 200, seal, "a") }, 1, 0},
		"empty":            {"/order/x", func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 200, seal, "") }, 1, 1},
		"server error":     {"/order/x", func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 500, seal, "a") }, 1, 1},
		"no seal":          {"/order/x", func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 200, "", "a") }, 1, 1},
		"missing":          {"/order/x", func(int, receivedRequest, net.Conn) {}, 1, 1},
		"not run":          {"/order/x", func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 503, "Not-Executed: 1\r\n", "") }, 0, 0},
		"time-out":         {"/order/x", func(int, receivedRequest, net.Conn) { time.Sleep(requestTimeout + 500*time.Millisecond) }, 1, 1},
		"stream":           {"/stream/x", streamOf(2, true), 1, 0},
		"empty stream":     {"/stream/x", streamOf(0, true), 1, 1},
		"broken stream":    {"/stream/x", streamOf(2, false), 2, 1}, // its begin and its end
		"broken at begin":  {"/stream/x", streamOf(0, false), 1, 1},
		"client error 404": {"/order/x", func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 404, seal, "a") }, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionedFixture(t, c.answer)
			f.promote(t, false)
			_, _, _, _ = f.send(t, c.path, "b")
			var ended, failed int64
			deadline := time.Now().Add(time.Second)
			for r := f.promote(t, false); ; r = f.promote(t, false) {
				ended, failed = 0, 0
				for _, counts := range r.Evidence {
					ended, failed = ended+counts.Ended, failed+counts.Failed
				}
				if ended == c.ended && r.AtTarget == 0 || time.Now().After(deadline) {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if ended != c.ended || failed != c.failed {
				t.Errorf("recorded %d ended and %d failed, want %d and %d", ended, failed, c.ended, c.failed)
			}
			for _, r := range f.receivedRequests() {
				if r.upstream != "u2" {
					t.Errorf("%s received a request", r.upstream)
				}
			}
		})
	}
}

// streamOf returns an answer that is a stream of n events and ends properly or breaks off.
func streamOf(n int, ends bool) answerFunc {
	return func(_ int, r receivedRequest, conn net.Conn) {
		writeStreamHead(conn, r)
		for id := 1; id <= n; id++ {
			writeChunk(conn, eventText(id))
		}
		if ends {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}
}

// TestRefusalWithoutOldUpstreams guards against a target of unknown quality that gets all requests because no upstream of
// the old version is live: requests beyond the credit are refused as not run.
func TestRefusalWithoutOldUpstreams(t *testing.T) {
	f := newVersionedFixture(t, func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 200, sealHeader, "a") })
	f.agent.ApplyOrders([]rollout.Order{{Pool: "p", Target: "v2", Duration: 15 * time.Second, Revision: 5}})
	list := f.snapshot.Load().Hosts
	f.setUpstreams([]hosts.Host{list[1]})
	for range 3 {
		if status, _, _, err := f.send(t, "/order/x", "b"); err != nil || status != http.StatusServiceUnavailable {
			t.Errorf("got status %d and error %v, want 503", status, err)
		}
	}
	if n := len(f.receivedRequests()); n > 0 {
		t.Errorf("the target received %d requests", n)
	}
}
