package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cardamompier/cardamompier/hosts"
)

// Times of the soak.
const (
	soakCallers = 24
	// faultGap is the longest pause between two faults.
	faultGap = 700 * time.Millisecond
	// pauseLength is how long a paused entry host stays stopped.
	pauseLength = 2 * time.Second
	// outageLength is how long the key-value service stays down.
	outageLength = 1500 * time.Millisecond
	// noticeLength is the time between a host's reclaim notice and its end.
	noticeLength = 4 * time.Second
	// soakSpanVariable lengthens the soak beyond the script's span.
	soakSpanVariable = "SOAK_SPAN"
	soakSeedVariable = "SOAK_SEED"
)

// entryAddress is where an entry host serves callers and operators.
type entryAddress struct{ callers, inner string }

// soak drives load and faults from one seed against the hosts of a script.
type soak struct {
	ts      *testscript.TestScript
	world   *world
	seed    uint64
	random  *rand.Rand // of the fault loop alone
	entries []string
	engines []string
	desks   []string
	// unannounced allows faults that may lose accepted answers.
	unannounced bool

	mu       sync.Mutex
	live     map[string]entryAddress // by entry host
	retired  map[string]bool
	faults   map[string]int
	started  int
	deadline time.Time
	history  history
}

// soak SEED SPAN announced|all: runs load and faults over the script's hosts
// and checks the history. Entry hosts are n*, engines eng*, desks desk*.
func cmdSoak(ts *testscript.TestScript, _ bool, args []string) {
	seed, err := strconv.ParseUint(orEnv(soakSeedVariable, args[0]), 10, 64)
	ts.Check(err)
	span, err := time.ParseDuration(orEnv(soakSpanVariable, args[1]))
	ts.Check(err)
	s := &soak{
		ts: ts, world: worldOf(ts), seed: seed, random: rand.New(rand.NewPCG(seed, 1)),
		unannounced: args[2] == "all", live: map[string]entryAddress{}, retired: map[string]bool{},
		faults: map[string]int{}, deadline: time.Now().Add(span),
	}
	s.collectHosts()
	var callers sync.WaitGroup
	for n := range soakCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.runCaller(n)
		}()
	}
	stopWatch := s.watchRevisions()
	s.runFaults()
	callers.Wait()
	stopWatch()
	s.report()
}

func orEnv(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func (s *soak) collectHosts() {
	for name, p := range s.world.processes {
		switch {
		case p.inner != "":
			s.entries = append(s.entries, name)
			s.live[name] = entryAddress{callers: p.address, inner: p.inner}
		case name != "platform" && name[0] == 'e':
			s.engines = append(s.engines, name)
		case name != "platform":
			s.desks = append(s.desks, name)
		}
	}
	// Map order is random; the faults come from the seed alone.
	sortStrings(s.entries, s.engines, s.desks)
}

// fault is one kind of failure that the soak induces.
type fault struct {
	name        string
	unannounced bool
	induce      func()
}

func (s *soak) runFaults() {
	kinds := []fault{
		{name: "entry host told to stop", induce: s.stopEntry},
		{name: "entry host paused", induce: s.pauseEntry},
		{name: "platform outage", induce: s.outage},
		{name: "answers lost", induce: s.loseAnswers},
		{name: "upstream reclaimed", induce: s.reclaimEngine},
		{name: "failure domain reclaimed", induce: s.reclaimDomain},
		{name: "publish", induce: s.publish},
		{name: "operators race", induce: s.race},
		{name: "entry host killed", unannounced: true, induce: s.killEntry},
		{name: "upstream killed", unannounced: true, induce: s.killEngine},
	}
	for time.Now().Before(s.deadline) {
		kind := kinds[s.random.IntN(len(kinds))]
		if kind.unannounced && !s.unannounced {
			continue
		}
		s.faults[kind.name]++
		kind.induce()
		time.Sleep(time.Duration(s.random.Int64N(int64(faultGap))))
	}
	s.postFaults(`{}`)
}

// pickEntry returns a live entry host.
func (s *soak) pickEntry() (string, *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := s.liveNames()
	name := names[s.random.IntN(len(names))]
	return name, s.world.processes[name]
}

// liveNames returns the live entry hosts in order of their start; s.mu is held.
func (s *soak) liveNames() []string {
	var names []string
	for _, name := range s.entries {
		if _, ok := s.live[name]; ok {
			names = append(names, name)
		}
	}
	return names
}

// replaceEntry starts a fresh entry host and retires an old one.
func (s *soak) replaceEntry(old string) {
	s.started++
	name := fmt.Sprintf("n%d", 100+s.started)
	cmdEntry(s.ts, false, []string{name, s.world.domainOf[old]})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, name)
	p := s.world.processes[name]
	s.live[name] = entryAddress{callers: p.address, inner: p.inner}
	delete(s.live, old)
	s.retired[old] = true
}

// stopEntry gives an entry host notice and ends it when the notice is over.
func (s *soak) stopEntry() {
	name, _ := s.pickEntry()
	s.reclaimEntry(name)
}

func (s *soak) reclaimEntry(name string) {
	p := s.world.processes[name]
	s.replaceEntry(name)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(noticeLength, func() { _ = p.command.Process.Signal(syscall.SIGKILL) })
}

// reclaimDomain gives notice to every host of a failure domain at once.
func (s *soak) reclaimDomain() {
	domain := string(rune('a' + s.random.IntN(4)))
	s.mu.Lock()
	names := s.liveNames()
	s.mu.Unlock()
	for _, name := range names {
		if s.world.domainOf[name] == domain {
			s.reclaimEntry(name)
		}
	}
	for _, name := range append([]string{}, s.engines...) {
		if s.world.domainOf[name] == domain {
			s.reclaimEngineNamed(name)
		}
	}
}

func (s *soak) killEntry() {
	name, p := s.pickEntry()
	s.replaceEntry(name)
	_ = p.command.Process.Signal(syscall.SIGKILL)
}

func (s *soak) pauseEntry() {
	_, p := s.pickEntry()
	_ = p.command.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(pauseLength, func() { _ = p.command.Process.Signal(syscall.SIGCONT) })
}

func (s *soak) outage() {
	s.postFaults(`{"outage":true}`)
	time.Sleep(outageLength)
	s.postFaults(`{}`)
}

func (s *soak) loseAnswers() {
	s.postFaults(fmt.Sprintf(`{"lose_answers":0.3,"stale_reads":0.2,"seed":%d}`, s.random.Uint64N(1<<32)))
	time.Sleep(outageLength)
	s.postFaults(`{}`)
}

// reclaimEngine gives an engine notice, starts another, and ends the first.
func (s *soak) reclaimEngine() {
	s.reclaimEngineNamed(s.engines[s.random.IntN(len(s.engines))])
}

func (s *soak) reclaimEngineNamed(old string) {
	p := s.world.processes[old]
	s.replaceEngine(old)
	time.AfterFunc(noticeLength, func() { _ = p.command.Process.Signal(syscall.SIGKILL) })
}

func (s *soak) killEngine() {
	old := s.engines[s.random.IntN(len(s.engines))]
	p := s.world.processes[old]
	s.replaceEngine(old)
	_ = p.command.Process.Signal(syscall.SIGKILL)
}

func (s *soak) replaceEngine(old string) {
	s.started++
	name := fmt.Sprintf("eng%d", 100+s.started)
	domain := s.world.domainOf[old]
	cmdHostState(s.ts, false, []string{old, string(hosts.StateLeaving)})
	cmdEngine(s.ts, false, []string{name, domain, "badge-runners"})
	for i := range s.engines {
		if s.engines[i] == old {
			s.engines[i] = name
		}
	}
}

func (s *soak) postFaults(body string) {
	s.world.postPlatform(s.ts, "/standin/faults", []byte(body))
}

// publish changes a service file's deadline and publishes the folder.
func (s *soak) publish() {
	s.writeService("services", "badge-wording", 60+s.random.IntN(60))
	s.runPublish("services")
}

// race has two operators publish at once, on the same service and on another.
func (s *soak) race() {
	var operators sync.WaitGroup
	for i, dir := range []string{"operator-1", "operator-2"} {
		s.ts.Check(os.MkdirAll(s.ts.MkAbs(dir), 0o700))
		s.writeService(dir, "badge-wording", 60+s.random.IntN(60))
		s.writeService(dir, fmt.Sprintf("extra-%d", i), 60+s.random.IntN(60))
		operators.Add(1)
		go func() {
			defer operators.Done()
			s.runPublish(dir)
		}()
	}
	operators.Wait()
}

func (s *soak) writeService(dir, name string, deadline int) {
	file := s.ts.MkAbs(dir + "/" + name + ".service.json")
	text := fmt.Sprintf(`{"service":"%s","kind":"model","pool":"badge-runners","model":"badge-7b","deadline":"%ds"}`, name, deadline)
	s.ts.Check(os.WriteFile(file, []byte(text), 0o600))
}

// runPublish publishes a folder; a publish may fail while the platform does.
func (s *soak) runPublish(dir string) {
	cmd := exec.Command(filepath.Join(binaries, "cardamompier"), "publish", "--platform", s.world.platform, "--wait", "0s", dir)
	cmd.Dir = s.world.dir
	_ = cmd.Run()
}
