package settings

import (
	"slices"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// validForwarding is a settings file with all required settings of an entry host that forwards requests.
const validForwarding = `{
  "host_id": "n1",
  "failure_domain": "kigali-a",
  "region": "kigali",
  "listen": "127.0.0.1:7600",
  "ready_listen": "127.0.0.1:7601",
  "directory_listen": "127.0.0.1:7602",
  "inner_listen": "127.0.0.1:7603",
  "metrics_listen": "127.0.0.1:7604",
  "store": "127.0.0.1:7500"
}`

// Settings files of earlier deployments name no switches for uneven upstreams; nothing is switched on for them.
func TestUnevenUpstreamsAreOffByDefault(t *testing.T) {
	s, err := ParseForwarding("s.json", []byte(validForwarding))
	if err != nil {
		t.Fatal(err)
	}
	if s.BalanceByRate || s.RefuseHopeless || len(s.RuleParts) > 0 {
		t.Errorf("got balance_by_rate %v, refuse_hopeless %v and rule_parts %q, want none", s.BalanceByRate, s.RefuseHopeless, s.RuleParts)
	}
}

// The platform fills in the list of rule parts; a value of another type stops the start with the line.
func TestRulePartsAndSwitchesAreRead(t *testing.T) {
	text := strings.Replace(validForwarding, `"store"`, `"balance_by_rate": true, "refuse_hopeless": true, "rule_parts": ["base", "health"], "store"`, 1)
	s, err := ParseForwarding("s.json", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if !s.BalanceByRate || !s.RefuseHopeless || !slices.Equal(s.RuleParts, []string{"base", "health"}) {
		t.Errorf("got balance_by_rate %v and rule_parts %q", s.BalanceByRate, s.RuleParts)
	}
	_, err = ParseForwarding("s.json", []byte(strings.Replace(text, `["base", "health"]`, `"health"`, 1)))
	var failed *Error
	if !errors.As(err, &failed) || failed.Line != 10 {
		t.Errorf("rule_parts as a text: got %v, want an *Error for line 10", err)
	}
}
