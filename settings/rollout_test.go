package settings

import (
	"encoding/json"
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
)

const forwardingSettings = `{
  "host_id": "n1", "failure_domain": "a", "region": "r", "listen": "127.0.0.1:7600", "ready_listen": "127.0.0.1:7601",
  "directory_listen": "127.0.0.1:7602", "inner_listen": "127.0.0.1:7603", "metrics_listen": "127.0.0.1:7604", "store": "127.0.0.1:7500"
}`

// TestRolloutBounds guards against roll-outs that run without bounds, or with bounds that allow everything.
func TestRolloutBounds(t *testing.T) {
	for name, test := range map[string]struct{ rollout, field string }{
		"absent":         {`{}`, ""},
		"complete":       {`{"share": 0.1, "slack": 50, "rollback_ms": 5000}`, ""},
		"no share":       {`{"slack": 50, "rollback_ms": 5000}`, "rollout.share"},
		"share above 1":  {`{"share": 1.5, "slack": 50, "rollback_ms": 5000}`, "rollout.share"},
		"negative slack": {`{"share": 0.1, "slack": -1, "rollback_ms": 5000}`, "rollout.slack"},
		"no rollback":    {`{"share": 0.1, "slack": 50}`, "rollout.rollback_ms"},
	} {
		t.Run(name, func(t *testing.T) {
			data := strings.Replace(forwardingSettings, `"host_id"`, `"rollout": `+test.rollout+`, "host_id"`, 1)
			_, err := ParseForwarding("s.json", []byte(data))
			var failed *Error
			switch {
			case test.field == "" && err != nil:
				t.Fatal(err)
			case test.field != "" && (!errors.As(err, &failed) || failed.Field != test.field):
				t.Fatalf("got error %v, want one for %s", err, test.field)
			}
		})
	}
}

// TestDeployTemplate guards against a template that is no valid JSON with or without roll-outs.
func TestDeployTemplate(t *testing.T) {
	data, err := os.ReadFile("../deploy/settings.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	section := regexp.MustCompile(`(?s)\{\{#[^}]*\}\}(.*?)\{\{/[^}]*\}\}`)
	value := regexp.MustCompile(`"?\{\{[^}]*\}\}"?(:\{\{[^}]*\}\}")?`)
	for content, wants := range map[string]bool{"": false, "$1": true} {
		filled := value.ReplaceAllString(section.ReplaceAllString(string(data), content), "1")
		var settings map[string]any
		if err := json.Unmarshal([]byte(filled), &settings); err != nil {
			t.Fatalf("not valid JSON: %v\n%s", err, filled)
		}
		if _, has := settings["rollout"]; has != wants {
			t.Errorf("the field rollout is present: %v, want %v", has, wants)
		}
	}
}
