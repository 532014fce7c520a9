package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// leader NAME WANTED-FILE ENGINES [FLAG...]: starts a leader of the engines,
// which are their names with commas; $NAME is its address.
func cmdLeader(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	name, address := args[0], freeAddress(ts)
	var engines []string
	for _, engine := range strings.Split(args[2], ",") {
		engines = append(engines, engine+"="+w.process(ts, engine).address)
	}
	flags := []string{
		"-l", address, "leader", "--host", name, "--platform", w.platform,
		"--wanted", filepath.Join(w.dir, args[1]), "--engines", strings.Join(engines, ","),
	}
	p := w.start(ts, name, "standin", append(flags, args[3:]...)...)
	p.address = address
	awaitListening(ts, p, address)
	ts.Setenv(strings.ToUpper(name), address)
}

// want FILE FROM: replaces a file in one step.
func cmdWant(ts *testscript.TestScript, _ bool, args []string) {
	next := ts.MkAbs(args[0]) + ".next"
	ts.Check(os.WriteFile(next, []byte(ts.ReadFile(args[1])), 0o600))
	ts.Check(os.Rename(next, ts.MkAbs(args[0])))
}

// pausenow NAME: sends SIGSTOP and waits until every thread has stopped; the
// signal alone returns before they have.
func cmdPauseNow(ts *testscript.TestScript, _ bool, args []string) {
	p := worldOf(ts).process(ts, args[0])
	ts.Check(p.command.Process.Signal(syscall.SIGSTOP))
	pattern := fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid)
	awaitTrue(ts, eventuallyTimeout, args[0]+" to stop", func() bool {
		threads, err := filepath.Glob(pattern)
		ts.Check(err)
		for _, thread := range threads {
			data, err := os.ReadFile(thread)
			if err == nil && !strings.Contains(string(data), ") T ") {
				return false
			}
		}
		return true
	})
}
