package scenario

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/settings"
)

// buyer NAME DOMAIN: starts an entry host with provisioning on.
func cmdBuyer(ts *testscript.TestScript, _ bool, args []string) {
	platform := worldOf(ts).platform
	startEntry(ts, args[0], args[1], args[2:], func(s *settings.Settings) {
		s.Platform.Cloud, s.Platform.Weights = platform, platform
	})
}

// killholder DUTY: kills the entry host that took the duty last, by the logs.
func cmdKillHolder(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	holder, newest := "", uint64(0)
	for name, p := range w.processes {
		if p.inner == "" {
			continue
		}
		if fence := lastFence(ts, filepath.Join(w.dir, name+".log"), args[0]); fence > newest {
			holder, newest = name, fence
		}
	}
	p := w.process(ts, holder)
	ts.Check(p.command.Process.Signal(syscall.SIGKILL))
	<-p.exited
}

// lastFence returns the highest fencing number of a duty in a log.
func lastFence(ts *testscript.TestScript, path, duty string) uint64 {
	data, err := os.ReadFile(path)
	ts.Check(err)
	newest := uint64(0)
	for _, line := range bytes.Split(data, []byte("\n")) {
		var taken struct {
			Event int    `json:"event"`
			Duty  string `json:"duty"`
			Fence uint64 `json:"fence"`
		}
		if json.Unmarshal(line, &taken) == nil && taken.Event == events.LeaseTaken.Number && taken.Duty == duty {
			newest = max(newest, taken.Fence)
		}
	}
	return newest
}
