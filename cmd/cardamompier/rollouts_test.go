package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/rollout"
	"github.com/cardamompier/cardamompier/rollout/agent"
)

// TestRollouts guards against a table or a JSON output that hides a roll-out's phase, and against an endpoint that
// does not answer but counts as one without roll-outs.
func TestRollouts(t *testing.T) {
	shown := []agent.Status{
		{Host: "n1", Pool: "desk", Target: "v2", Phase: rollout.PhaseCanary, Open: true, Evidence: []agent.Evidence{{Version: "v1", Route: "r", Ended: 90}, {Version: "v2", Route: "r", Ended: 10, Failed: 3}}},
		{Host: "n1", Pool: "shop", Target: "v3", DirectiveAgeMS: -1},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/debug/vars" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"rollouts": shown, "cmdline": []string{"x"}})
	}))
	defer server.Close()
	run := func(address string, asJSON bool) (int, string) {
		var out bytes.Buffer
		s := &session{options: options{first: address, json: asJSON, timeout: 5 * time.Second}, out: &out, errOut: &out}
		return runRollouts(s), out.String()
	}
	address := server.Listener.Addr().String()
	code, out := run(address, false)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if code != 0 || len(lines) != 3 || strings.Join(strings.Fields(lines[1]), " ") != "n1 desk v2 canary 0.00 10 3 0 open" ||
		strings.Join(strings.Fields(lines[2]), " ") != "n1 shop v3 ordered 0.00 0 0 0 no directive yet" {
		t.Errorf("exit code %d, output:\n%s", code, out)
	}
	var printed []agent.Status
	if code, out = run(address, true); code != 0 || json.Unmarshal([]byte(out), &printed) != nil || len(printed) != 2 || printed[0].Evidence[1].Failed != 3 {
		t.Errorf("exit code %d, JSON output:\n%s", code, out)
	}
	server.Close()
	if code, out = run(address, false); code != exitFailed {
		t.Errorf("exit code %d without an endpoint, output:\n%s", code, out)
	}
}
