package main

import (
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
	"syscall"
	"time"
)

// record is what a case writes to record.txt.
type record struct {
	mu    sync.Mutex
	file  io.Writer
	began time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// nextPort is the next port that freePort tries. Each process has a block of ports of its own, so that scripts that run
// side by side do not meet.
var (
	nextPort = 10000 + os.Getpid()%200*100
	portLock sync.Mutex
)

// freePort returns an address that nothing listens at, below the ports of outgoing connections.
func freePort() string {
	portLock.Lock()
	defer portLock.Unlock()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// dutyCall is a call to the platform's API for duties.
type dutyCall struct {
	at     time.Time
	op     string
	holder string
	epoch  uint64
	body   map[string]any
}

// deployment is a small deployment with stand-ins for the platform.
type deployment struct {
	record   *record
	dir      string
	store    *store
	storeURL string
	apiURL   string

	mu      sync.Mutex
	calls   []dutyCall
	onScale func(service, zone string, desired int)
	hosts   []*host

	processes sync.Mutex // held while a process is started or all are stopped
	stopped   bool
}

func newDeployment(r *record, dir string) *deployment {
	d := &deployment{record: r, dir: dir, store: newStore()}
	d.storeURL = serve(d.store.handler())
	api := http.NewServeMux()
	api.HandleFunc("POST /usage", func(w http.ResponseWriter, q *http.Request) { d.serveDuty("usage", w, q) })
	api.HandleFunc("POST /scale", func(w http.ResponseWriter, q *http.Request) { d.serveDuty("scale", w, q) })
	d.apiURL = serve(api)
	return d
}

func serve(h http.Handler) string {
	l := listen()
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

func (d *deployment) serveDuty(op string, w http.ResponseWriter, r *http.Request) {
	c := dutyCall{at: time.Now(), op: op, holder: r.Header.Get("Duty-Holder"), body: map[string]any{}}
	c.epoch, _ = strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err := json.NewDecoder(r.Body).Decode(&c.body); err != nil {
		reply(w, 400, map[string]any{})
		return
	}
	text, _ := json.Marshal(c.body)
	d.record.log("API: %s of %s with epoch number %d: %s", op, c.holder, c.epoch, text)
	d.mu.Lock()
	d.calls = append(d.calls, c)
	d.mu.Unlock()
	if op == "scale" && d.onScale != nil {
		desired, _ := c.body["desired"].(float64)
		d.onScale(fmt.Sprint(c.body["service"]), fmt.Sprint(c.body["zone"]), int(desired))
	}
	reply(w, 200, map[string]any{})
}

// dutyCalls returns the calls to the platform's API so far.
func (d *deployment) dutyCalls() []dutyCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]dutyCall(nil), d.calls...)
}

// host is one process of the system.
type host struct {
	name, zone                                         string
	listen, ready, directory, inner, metrics, settings string
	storeLink, apiLink                                 *link
	cmd                                                *exec.Cmd
	done                                               chan struct{}
}

// addHost prepares an entry host whose links to the platform can be cut.
func (d *deployment) addHost(name, zone string) *host {
	h := &host{name: name, zone: zone, listen: freePort(), ready: freePort(), directory: freePort(), inner: freePort(), metrics: freePort()}
	h.storeLink, h.apiLink = newLink(d.storeURL), newLink(d.apiURL)
	d.hosts = append(d.hosts, h)
	return h
}

// zones of the small deployment.
var zones = map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"}

// writeSettings writes what deploy/settings.json.tmpl gives for the machines of the site ubumwe-badges.
func (d *deployment) writeSettings(h *host, change func(map[string]any)) {
	seeds := []string{}
	for _, other := range d.hosts {
		seeds = append(seeds, other.inner)
	}
	s := map[string]any{
		"host_id": h.name, "failure_domain": h.zone, "region": "region", "failure_domains": zones,
		"listen": h.listen, "ready_listen": h.ready, "directory_listen": h.directory, "inner_listen": h.inner, "metrics_listen": h.metrics,
		"seeds": seeds[:min(3, len(seeds))], "store": h.storeLink.address(), "store_calls_per_second": 400, "duties": h.apiLink.address(),
		"memory_mb": 284, "max_descriptors": 4100, "cores": 0.4, "link_mbps": 1000.0, "grace_seconds": 8,
		"retry_ratio": 0.2, "retry_burst": 58, "retry_window_seconds": 10, "limit_excess": 190000, "usage_window_seconds": 5,
		"routes_ms": 2000, "leaving_ms": 2000,
		"rule_parts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "platform"},
	}
	if change != nil {
		change(s)
	}
	encoded, _ := json.MarshalIndent(s, "", "  ")
	h.settings = filepath.Join(d.dir, h.name+".json")
	if err := os.WriteFile(h.settings, encoded, 0o600); err != nil {
		panic(err)
	}
}

// start starts the process of a host with the command of the deploy file.
func (d *deployment) start(h *host) {
	d.processes.Lock()
	defer d.processes.Unlock()
	if d.stopped {
		return
	}
	log, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	h.cmd = exec.Command("target/cardamompierd", "forward")
	h.cmd.Env = append(os.Environ(), "CARDAMOMPIER_SETTINGS="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		panic(err)
	}
	d.record.log("%s started", h.name)
	done := make(chan struct{})
	h.done = done
	go func(cmd *exec.Cmd) {
		err := cmd.Wait()
		d.record.log("%s ended: %v", h.name, err)
		close(done)
	}(h.cmd)
}

// stop kills all processes; none is started any more.
func (d *deployment) stop() {
	d.processes.Lock()
	defer d.processes.Unlock()
	d.stopped = true
	for _, h := range d.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.done
		}
	}
}

// awaitReady waits until all hosts are ready, and reports whether they are in time.
func (d *deployment) awaitReady(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for _, h := range d.hosts {
		for {
			res, err := http.Get("http://" + h.ready + "/cardamompier/ready")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
