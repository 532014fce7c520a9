package scenario

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cardamompier/cardamompier/settings"
)

// joinWait bounds the wait for a new entry host to find the others; a host
// that starts in an outage goes on without.
const joinWait = 3 * time.Second

// awaitJoined waits until an entry host says that it joined, or joinWait is over.
func awaitJoined(p *process) {
	for deadline := time.Now().Add(joinWait); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		_, text, err := request(http.MethodGet, "http://"+p.inner+"/status", "", "", "")
		if err == nil && strings.Contains(text, `"joined":true`) {
			return
		}
	}
}

// seeded NAME DOMAIN ENTRY,ENTRY...: starts an entry host with seeds in its settings.
func cmdSeeded(ts *testscript.TestScript, _ bool, args []string) {
	startEntry(ts, args[0], args[1], nil, func(s *settings.Settings) {
		for _, name := range strings.Split(args[2], ",") {
			s.Seeds = append(s.Seeds, worldOf(ts).process(ts, name).inner)
		}
	})
}

// relayed NAME DOMAIN: starts an entry host that other entry hosts reach, and
// that reaches the host list, through relays that can be cut.
func cmdRelayed(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	startEntry(ts, args[0], args[1], nil, func(s *settings.Settings) {
		inbound := startRelay(ts, s.InnerListen)
		list := startRelay(ts, strings.TrimPrefix(w.platform, "http://"))
		s.InnerAdvertise, s.Platform.HostList = inbound.address(), "http://"+list.address()
		w.relays[args[0]] = []*relay{inbound, list}
	})
}

// cut NAME...: cuts the links of relayed entry hosts; with "!" heals them.
func cmdCut(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		for _, r := range worldOf(ts).relays[name] {
			r.set(!neg)
		}
	}
}

func (w *world) closeRelays() {
	for _, relays := range w.relays {
		for _, r := range relays {
			_ = r.listener.Close()
			r.set(true)
		}
	}
}

// relay forwards TCP connections to a target until it is cut.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut bool
	open  map[net.Conn]struct{}
}

func startRelay(ts *testscript.TestScript, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	r := &relay{listener: listener, target: target, open: map[net.Conn]struct{}{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	if !r.track(in, out) {
		return
	}
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
	}()
	_, _ = io.Copy(in, out)
}

func (r *relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.open[c] = struct{}{}
	}
	return !r.isCut
}

// set cuts the relay, which breaks its connections, or heals it.
func (r *relay) set(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = cut
	if !cut {
		return
	}
	for c := range r.open {
		_ = c.Close()
		delete(r.open, c)
	}
}
