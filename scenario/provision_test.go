package scenario

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/settings"
	"github.com/cardamompier/cardamompier/standin/platform"
)

// buyer NAME DOMAIN: starts an entry host with provisioning on.
func cmdBuyer(ts *testscript.TestScript, _ bool, args []string) {
	services := worldOf(ts).platform
	startEntry(ts, args[0], args[1], args[2:], func(s *settings.Settings) {
		s.Platform.Cloud, s.Platform.Weights = services, services
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

// bought N: waits until N hosts were ever started and are there, and that the
// rounds which begin after that start no more.
func cmdBought(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	var state platform.CloudState
	awaitTrue(ts, eventuallyTimeout, args[0]+" hosts", func() bool {
		w.getPlatform(ts, platform.PathCloud, &state)
		return state.Started == want && state.Present == want
	})
	reads := state.Reads
	awaitTrue(ts, eventuallyTimeout, "two more rounds", func() bool {
		w.getPlatform(ts, platform.PathCloud, &state)
		return state.Reads >= reads+2
	})
	if state.Started != want || state.Present != want {
		ts.Fatalf("%d hosts were started for %d, and %d are there", state.Started, want, state.Present)
	}
}

// reclaim: takes the reclaimable hosts of a failure domain that has some,
// without notice.
func cmdReclaim(ts *testscript.TestScript, _ bool, _ []string) {
	w := worldOf(ts)
	var instances []cloud.Instance
	w.getPlatform(ts, "/v1/cloud/instances", &instances)
	i := slices.IndexFunc(instances, func(i cloud.Instance) bool { return i.Reclaimable })
	if i < 0 {
		ts.Fatalf("no host is reclaimable")
	}
	body, err := json.Marshal(platform.Reclaim{FailureDomain: instances[i].FailureDomain})
	ts.Check(err)
	w.postPlatform(ts, platform.PathReclaim, body)
}

func (w *world) getPlatform(ts *testscript.TestScript, path string, out any) {
	_, text, err := request(http.MethodGet, w.platform+path, "", "", "")
	ts.Check(err)
	ts.Check(json.Unmarshal([]byte(text), out))
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
