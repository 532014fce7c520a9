package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record writes what was sent, answered and run to the case's record.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		unable(err)
	}
	return &record{out: bufio.NewWriter(f), file: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// unable ends a case that could not run.
func unable(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	endAll()
	os.Exit(2)
}

// runner is a sound stand-in of a runner. It counts the requests that it runs.
type runner struct {
	id, service, address string
	rec                  *record
	work                 time.Duration
	bodyBytes            int
	mu                   sync.Mutex
	runs                 map[string]int
	total                atomic.Int64
}

func (rn *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", rn.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != rn.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	rn.mu.Lock()
	rn.runs[id]++
	rn.mu.Unlock()
	rn.total.Add(1)
	rn.rec.line("run %s at %s", id, rn.id)
	time.Sleep(rn.work)
	w.Header().Set("Response-Seal", "3e1b.07.5a2."+strconv.Itoa(rn.bodyBytes)+".0."+id)
	w.Header().Set("Content-Length", strconv.Itoa(rn.bodyBytes))
	body := make([]byte, rn.bodyBytes)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	_, _ = w.Write(body)
}

func (rn *runner) ran(id string) int {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.runs[id]
}

// rig is one small deployment: the platform, its runners and the entry hosts.
type rig struct {
	rec     *record
	store   *store
	dir     string
	program string
	storeAt string
	apiAt   string
	hosts   []*host
	runners []*runner
	config  map[string]any
}

// host is one entry host, a process of its own.
type host struct {
	id, zone                       string
	front, ready, directory, inner string
	metrics                        string
	settings                       string
	cmd                            *exec.Cmd
	exited                         chan struct{}
	log                            string
}

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
	folder    string
)

// endAll kills the processes that this case started and removes its temporary folder.
func endAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, c := range started {
		_ = c.Process.Kill()
	}
	if folder != "" {
		_ = os.RemoveAll(folder)
	}
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		unable(err)
	}
	return l
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	l := listen("127.0.0.1:0")
	defer l.Close()
	return l.Addr().String()
}

func serve(handler http.Handler) string {
	l := listen("127.0.0.1:0")
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return l.Addr().String()
}

func newRig(rec *record, program string) *rig {
	dir, err := os.MkdirTemp("", "third")
	if err != nil {
		unable(err)
	}
	startedMu.Lock()
	folder = dir
	startedMu.Unlock()
	r := &rig{rec: rec, store: newStore(), dir: dir, program: program}
	r.storeAt = serve(r.store)
	r.apiAt = serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(io.LimitReader(q.Body, 1<<16))
		rec.line("duty %s holder %s fence %s %s", q.URL.Path, q.Header.Get("Duty-Holder"), q.Header.Get("Fencing-Token"), body)
		w.WriteHeader(200)
	}))
	return r
}

// addRunner starts a runner and registers it.
func (r *rig) addRunner(id, service, zone string, work time.Duration, bodyBytes int) *runner {
	rn := &runner{id: id, service: service, rec: r.rec, work: work, bodyBytes: bodyBytes, runs: map[string]int{}}
	rn.address = serve(rn)
	r.runners = append(r.runners, rn)
	born := time.Now().UnixMilli()
	beat := func(seq int) {
		r.store.set("servers/"+id, map[string]any{
			"service": service, "address": rn.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": born,
		})
	}
	beat(1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(1200 * time.Millisecond)
			beat(seq)
		}
	}()
	return rn
}

// limits are the figures of a machine.
type limits struct {
	memoryMB, fds int
	cores         float64
	linkMbps      float64
}

// addHosts starts entry hosts with the settings that the template of the deploy file gives.
func (r *rig) addHosts(n int, l limits) {
	zones := map[string]string{"nyarugenge": "kigali", "gasabo": "kigali", "kicukiro": "kigali", "remera": "kigali"}
	names := []string{"nyarugenge", "gasabo", "kicukiro", "remera"}
	for i := range n {
		h := &host{id: fmt.Sprintf("front-%s-%d", names[i%4], 1+i/4), zone: names[i%4]}
		h.front, h.ready, h.directory, h.inner, h.metrics = freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()
		r.hosts = append(r.hosts, h)
	}
	var seeds []string
	for _, h := range r.hosts[:min(3, n)] {
		seeds = append(seeds, h.inner)
	}
	for _, h := range r.hosts {
		settings := map[string]any{
			"host_id": h.id, "failure_domain": h.zone, "region": "kigali", "failure_domains": zones, "listen": h.front, "ready_listen": h.ready,
			"directory_listen": h.directory, "inner_listen": h.inner, "metrics_listen": h.metrics, "seeds": seeds, "store": r.storeAt,
			"store_calls_per_second": 400, "duties": r.apiAt, "memory_mb": l.memoryMB, "max_descriptors": l.fds, "cores": l.cores, "link_mbps": l.linkMbps,
			"grace_seconds": 8, "retry_ratio": 0.2, "retry_burst": 58, "retry_window_seconds": 10, "limit_excess": 190000, "usage_window_seconds": 5,
			"routes_ms": 2000, "leaving_ms": 2000,
			"rule_parts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "platform"},
		}
		data, err := json.Marshal(settings)
		if err != nil {
			unable(err)
		}
		h.settings = filepath.Join(r.dir, h.id+".json")
		h.log = filepath.Join(r.dir, h.id+".log")
		if err := os.WriteFile(h.settings, data, 0o600); err != nil {
			unable(err)
		}
		r.start(h)
	}
}

// start starts the process of a host by the command of the deploy file.
func (r *rig) start(h *host) {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable(err)
	}
	cmd := exec.Command(r.program, "forward")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARDAMOMPIER_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		unable(err)
	}
	startedMu.Lock()
	started = append(started, cmd)
	startedMu.Unlock()
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		r.rec.line("process of %s ended: %s", h.id, cmd.ProcessState)
		_ = out.Close()
		close(exited)
	}()
	r.rec.line("process of %s started", h.id)
}

// awaitReady waits until all hosts are ready.
func (r *rig) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range r.hosts {
		for {
			res, err := client.Get("http://" + h.ready + "/cardamompier/ready")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				unable(fmt.Errorf("%s isn't ready", h.id))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// residentMB returns the resident memory of a host's process.
func (h *host) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return resident * os.Getpagesize() >> 20
}

var lastID atomic.Uint64

func newID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<16|lastID.Add(1)&0xffff)
}
