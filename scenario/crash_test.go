package scenario

import (
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// running COUNT NAME...: checks how many of the processes have not exited.
func cmdRunning(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	running := 0
	for _, name := range args[1:] {
		select {
		case <-worldOf(ts).process(ts, name).exited:
		default:
			running++
		}
	}
	if running != want {
		ts.Fatalf("%d of %d processes are running, want %d", running, len(args)-1, want)
	}
}
