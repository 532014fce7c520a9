package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the deployment, from the users' pages and their site files.
const (
	contact       = 3 * time.Second
	heartbeat     = 1200 * time.Millisecond
	routeTimeout  = 1500 * time.Millisecond
	streamTimeout = 6 * time.Second
	clientTimeout = 3 * time.Second
	hostName      = "ficu95.example"
	apiKey        = "i9n73hh2b9wu3fexd9dn"
	service       = "wuno96b"
)

// rig is one small deployment on loopback: the platform, servers and entry hosts.
type rig struct {
	program string
	dir     string
	store   *store
	storeAt string
	cloudAt string
	started time.Time
	nextID  atomic.Int64
	ending  chan struct{} // closed when the processes are ended
	stopped sync.Once
	wait    sync.WaitGroup

	mu      sync.Mutex
	record  io.Writer
	running []*exec.Cmd
	hosts   []*entryHost
	servers []*server
}

type entryHost struct {
	name, zone, listen, ready, directory, settings string
	command                                        *exec.Cmd
	exited                                         chan struct{}
}

// server is a place of a server; each boot is a process of its own.
type server struct {
	name, zone, address, crash string
	key                        string
	events                     int // of each answer; 0 for answers that are no streams
	boot                       int
	born                       int64
	state                      string
	seq                        int
	command                    *exec.Cmd
	ends                       []time.Time // when its processes ended by themselves
}

// run is a request that began to run at a server.
type run struct {
	at              time.Time
	server, id, url string
}

func newRig(record io.Writer) (*rig, error) {
	program, err := filepath.Abs("target/cardamompierd")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{program: program, dir: dir, store: newStore(), started: time.Now(), record: record, ending: make(chan struct{})}
	if r.storeAt, err = serve(r.store.handler()); err != nil {
		return nil, err
	}
	r.cloudAt, err = serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, struct{}{}) }))
	return r, err
}

func serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, h) }()
	return listener.Addr().String(), nil
}

// lastPort is below the range from which outgoing connections take their ports.
var lastPort atomic.Int64

func init() { lastPort.Store(10000 + rand.Int64N(15000)) }

// freeAddress returns an address with a free port that no earlier call has returned.
func freeAddress() string {
	for range 5000 {
		address := fmt.Sprintf("127.0.0.1:%d", lastPort.Add(1))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	panic("no free port")
}

// log writes a line to the record, with the time since the start.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Kinds of the route.
const (
	idempotent = "idempotent"
	stream     = "stream"
)

// publish writes the operator's configuration with one route.
func (r *rig) publish(kind string) {
	timeout, attempts := routeTimeout, 2
	if kind == stream {
		timeout, attempts = streamTimeout, 1
	}
	r.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "status", "host": hostName, "prefix": "/cufi504/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
			"slo_ms": 300, "priority": 2, "service": service, "max_attempts": attempts, "public": false,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "rate_per_s": 0, "burst": 0}},
	})
}

// startServer starts the next boot of a server and registers it. When the process ends by itself, its
// record expires after three heartbeats and a new boot starts after restart.
func (r *rig) startServer(s *server, restart time.Duration, onRun func(run)) error {
	s.boot++
	id := fmt.Sprintf("i-%s-%d", s.name, s.boot)
	args := []string{"server", "-listen", s.address, "-id", id}
	if s.crash != "" {
		args = append(args, "-crash", s.crash)
	}
	if s.events > 0 {
		args = append(args, "-events", strconv.Itoa(s.events))
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	command := exec.Command(self, args...)
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	lines := bufio.NewScanner(out)
	read := func() { r.readRuns(lines, id, onRun) }
	if err := r.start(command, read, exited); err != nil {
		return err
	}
	r.mu.Lock()
	s.command = command
	r.mu.Unlock()
	if err := awaitListener(s.address); err != nil {
		return err
	}
	key := "servers/" + id
	r.mu.Lock()
	s.key, s.born, s.state, s.seq = key, time.Now().UnixMilli(), "ready", 0
	r.mu.Unlock()
	r.beat(s)
	r.log("server %s starts at %s", id, s.address)
	go r.follow(s, id, exited, restart, onRun)
	return nil
}

// readRuns reads the lines that a server writes until it has ended.
func (r *rig) readRuns(lines *bufio.Scanner, id string, onRun func(run)) {
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 4 {
			continue
		}
		nanos, _ := strconv.ParseInt(fields[1], 10, 64)
		if fields[0] == "end" {
			r.log("server %s ends request %s: %s", id, fields[2], fields[3])
			continue
		}
		onRun(run{at: time.Unix(0, nanos), server: id, id: fields[2], url: fields[3]})
	}
}

// follow writes a server's heartbeats until its process has ended, and starts the next boot of one that has crashed.
func (r *rig) follow(s *server, id string, exited <-chan struct{}, restart time.Duration, onRun func(run)) {
	key := "servers/" + id
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for running := true; running; {
		select {
		case <-ticker.C:
			r.beat(s)
		case <-exited:
			running = false
		case <-r.ending:
			return
		}
	}
	if r.left(s) {
		r.store.remove(key)
		r.log("server %s has left", id)
		return
	}
	r.mu.Lock()
	s.ends = append(s.ends, time.Now())
	r.mu.Unlock()
	r.log("server %s has crashed", id)
	time.AfterFunc(3*heartbeat, func() { r.store.remove(key) })
	select {
	case <-time.After(restart):
	case <-r.ending:
		return
	}
	if err := r.startServer(s, restart, onRun); err != nil {
		r.log("server %s does not start again: %v", s.name, err)
	}
}

// start starts a process unless the rig is ending. While it runs, read reads its output; exited is closed when it has
// ended.
func (r *rig) start(command *exec.Cmd, read func(), exited chan<- struct{}) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ending:
		return errors.New("the rig is ending")
	default:
	}
	if err := command.Start(); err != nil {
		return err
	}
	r.running = append(r.running, command)
	r.wait.Go(func() {
		read()
		_ = command.Wait()
		close(exited)
	})
	return nil
}

// beat writes the record of a server's current boot.
func (r *rig) beat(s *server) {
	r.mu.Lock()
	s.seq++
	record := map[string]any{
		"service": service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 64, "state": s.state,
		"cold_left_ms": 0, "seq": s.seq, "born": s.born,
	}
	r.mu.Unlock()
	r.store.put(s.key, record)
}

// drain writes that a server is draining and returns when the store has confirmed it.
func (r *rig) drain(s *server) time.Time {
	r.mu.Lock()
	s.state = "draining"
	r.mu.Unlock()
	r.beat(s)
	r.log("the store confirms that %s is draining", s.key)
	return time.Now()
}

func (r *rig) left(s *server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.state == "draining"
}

func awaitListener(address string) error {
	for range 200 {
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			return conn.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("nothing listens at " + address)
}

// startHosts starts entry hosts with the deploy file's command and waits until all are ready.
func (r *rig) startHosts(zones []string) error {
	domains := map[string]string{}
	var inner []string
	for _, zone := range zones {
		domains[zone] = "lk-west"
		inner = append(inner, freeAddress())
	}
	for i, zone := range zones {
		h := &entryHost{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, listen: freeAddress(), ready: freeAddress(), directory: freeAddress()}
		settings, err := json.Marshal(map[string]any{
			"host_id": h.name, "failure_domain": zone, "region": "lk-west", "failure_domains": domains,
			"listen": h.listen, "ready_listen": h.ready, "directory_listen": h.directory, "inner_listen": inner[i], "metrics_listen": freeAddress(),
			"seeds": inner[:min(3, len(inner))], "store": r.storeAt, "store_calls_per_second": 400, "duties": r.cloudAt,
			"memory_mb": 284, "cores": 0.4, "link_mbps": 1000.0, "grace_seconds": 8, "retry_ratio": 0.2, "retry_burst": 54,
			"retry_window_seconds": 10, "limit_excess": 190000, "usage_window_seconds": 5, "routes_ms": 2000, "leaving_ms": 2000,
		})
		if err != nil {
			return err
		}
		h.settings = filepath.Join(r.dir, h.name+".json")
		if err := os.WriteFile(h.settings, settings, 0o600); err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
		if err := r.startHost(h); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if err := awaitReady(h.ready); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) startHost(h *entryHost) error {
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(r.program, "forward")
	command.Env = append(os.Environ(), "CARDAMOMPIER_SETTINGS="+h.settings)
	command.Stdout, command.Stderr = log, log
	err = r.start(command, func() {}, make(chan struct{}))
	_ = log.Close() // the process has its own descriptor
	return err
}

func awaitReady(address string) error {
	for range 150 {
		res, err := http.Get("http://" + address + "/cardamompier/ready")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the host at " + address + " does not become ready")
}

// get sends a client attempt without a body.
func (r *rig) get(h *entryHost, path string) (status int) {
	return r.send(h, http.MethodGet, path, "", clientTimeout)
}

// post sends a client attempt for a stream.
func (r *rig) post(h *entryHost, path, body string) (status int) {
	return r.send(h, http.MethodPost, path, body, streamTimeout)
}

// send sends one client attempt on a new channel to an entry host and returns the status, or zero if no
// complete answer came.
func (r *rig) send(h *entryHost, method, path, body string, timeout time.Duration) (status int) {
	id := fmt.Sprintf("%016x", r.nextID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.listen+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r.log("request %s %s sent to %s", id, path, h.name)
	res, err := client.Do(req)
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		if _, err = io.Copy(io.Discard, res.Body); err == nil {
			r.log("request %s answered with %d", id, res.StatusCode)
			return res.StatusCode
		}
	}
	r.log("request %s has no whole answer: %v", id, err)
	return 0
}

// stop ends all processes that the rig has started, waits for their end and removes the temporary folder. It may be called
// more than once; each call returns when that is done.
func (r *rig) stop() {
	r.stopped.Do(func() {
		r.mu.Lock()
		close(r.ending) // from now on, no process is started
		for _, command := range r.running {
			_ = command.Process.Kill()
		}
		r.mu.Unlock()
		r.wait.Wait()
		_ = os.RemoveAll(r.dir)
	})
}
