package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cardamompier/cardamompier/hosts"
)

// startTimeout bounds the wait for a started process to accept connections.
const startTimeout = 10 * time.Second

// binaries is the directory of the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "cardamompier-scenario")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		binaries = dir
		build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			panic(err)
		}
		return m.Run()
	}())
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform":   cmdPlatform,
			"engine":     cmdEngine,
			"desk":       cmdDesk,
			"entry":      cmdEntry,
			"signal":     cmdSignal,
			"exited":     cmdExited,
			"faults":     cmdFaults,
			"hoststate":  cmdHostState,
			"chat":       cmdChat,
			"order":      cmdOrder,
			"get":        cmdGet,
			"eventually": cmdEventually,
			"running":    cmdRunning,
			"caller":     cmdCaller,
			"await":      cmdAwait,
			"reread":     cmdReread,
			"same":       cmdSame,
			"control":    cmdControl,
			"signals":    cmdSignals,
			"list":       cmdList,
			"lost":       cmdLost,
			"count":      cmdCount,
			"soak":       cmdSoak,
			"seeded":     cmdSeeded,
			"relayed":    cmdRelayed,
			"cut":        cmdCut,
			"burst":      cmdBurst,
			"joined":     cmdJoined,
			"endless":    cmdEndless,
			"flood":      cmdFlood,
			"memory":     cmdMemory,

			"ownedkey":        cmdOwnedKey,
			"startorder":      cmdStartOrder,
			"awaitorder":      cmdAwaitOrder,
			"eventuallyorder": cmdEventuallyOrder,
			"raceorder":       cmdRaceOrder,
			"leader":          cmdLeader,
			"pausenow":        cmdPauseNow,
			"want":            cmdWant,
			"buyer":           cmdBuyer,
			"killholder":      cmdKillHolder,
			"reclaim":         cmdReclaim,
			"bought":          cmdBought,
			"calls":           cmdCalls,
			"morecalls":       cmdMoreCalls,
		},
	})
}

// deployment is the set of processes and callers that one script starts.
type deployment struct {
	dir       string
	platform  string // URL of the platform stand-in
	hosts     []hosts.Host
	processes map[string]*process
	callers   map[string]*caller
	orders    map[string]*placedOrder
	keys      map[string]bool     // idempotency keys that cmdOwnedKey has returned
	domainOf  map[string]string   // failure domain by process name
	relays    map[string][]*relay // relays by entry host name
}

// process is a program that a script started.
type process struct {
	command *exec.Cmd
	address string        // address for requests from callers or entry hosts
	inner   string        // entry host's address for peers and operators; empty for other programs
	exited  chan struct{} // closed when the process has exited
}

type deploymentKey struct{}

func setUp(env *testscript.Env) error {
	d := &deployment{
		dir: env.WorkDir, processes: map[string]*process{}, callers: map[string]*caller{}, domainOf: map[string]string{},
		relays: map[string][]*relay{},
	}
	d.orders, d.keys = map[string]*placedOrder{}, map[string]bool{}
	env.Values[deploymentKey{}] = d
	env.Vars = append(env.Vars, "PATH="+binaries+string(os.PathListSeparator)+os.Getenv("PATH"))
	env.Defer(d.closeRelays)
	env.Defer(d.killAll)
	return nil
}

func deploymentOf(ts *testscript.TestScript) *deployment {
	return ts.Value(deploymentKey{}).(*deployment)
}

// killAll kills every process that the script started and waits until each has exited.
func (d *deployment) killAll() {
	for _, p := range d.processes {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.exited
	}
}

// start starts a program and redirects its output to NAME.log in the script's directory.
func (d *deployment) start(ts *testscript.TestScript, name, program string, args ...string) *process {
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	ts.Check(err)
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.dir, log, log
	ts.Check(cmd.Start())
	p := &process{command: cmd, exited: make(chan struct{})}
	d.processes[name] = p
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p
}

func (d *deployment) process(ts *testscript.TestScript, name string) *process {
	p, ok := d.processes[name]
	if !ok {
		ts.Fatalf("no process named %s was started", name)
	}
	return p
}

// firstPort and portCount define the range of ports that freeAddress tries.
const (
	firstPort = 10000
	portCount = 20000
)

// nextPort counts the ports that freeAddress has tried.
var nextPort atomic.Int64

// freeAddress returns an unused loopback address. The IP address is derived from the process ID, so
// that concurrent test runs do not collide. Each port is tried once, so that scripts running in
// parallel never get the same address.
func freeAddress(ts *testscript.TestScript) string {
	pid := os.Getpid()
	for range portCount {
		address := fmt.Sprintf("127.%d.%d.1:%d", 1+pid>>8&0x7f, pid&0xff, firstPort+nextPort.Add(1)%portCount)
		if isFree(address) {
			return address
		}
	}
	ts.Fatalf("no free port on the loopback address")
	return ""
}

// isFree reports whether nothing listens on an address. A process forked during the check would
// hold a copy of the listener until its exec, and the address would stay in use after Close.
// Holding syscall.ForkLock prevents forks during the check.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// awaitListening waits until an address accepts connections. It fails the script if the process
// exits.
func awaitListening(ts *testscript.TestScript, p *process, address string) {
	awaitTrue(ts, startTimeout, "a listener on "+address, func() bool {
		select {
		case <-p.exited:
			ts.Fatalf("process exited before it accepted connections")
		default:
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

// awaitTrue polls a condition every 20 ms and fails the script if it does not hold within the
// limit.
func awaitTrue(ts *testscript.TestScript, limit time.Duration, what string, holds func() bool) {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			ts.Fatalf("timed out waiting for %s", what)
		}
	}
}

// addHost adds a host to the platform's host list.
func (d *deployment) addHost(ts *testscript.TestScript, h hosts.Host) {
	d.hosts = append(d.hosts, h)
	d.sendHosts(ts)
}

// sendHosts replaces the platform's host list with d.hosts.
func (d *deployment) sendHosts(ts *testscript.TestScript) {
	body, err := json.Marshal(d.hosts)
	ts.Check(err)
	d.postPlatform(ts, "/standin/hosts", body)
}

func (d *deployment) postPlatform(ts *testscript.TestScript, path string, body []byte) {
	res, err := http.Post(d.platform+path, "application/json", bytes.NewReader(body))
	ts.Check(err)
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		ts.Fatalf("platform stand-in returned %s", res.Status)
	}
}
