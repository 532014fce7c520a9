package rollout

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestValidateRefusesUnusableOrders guards against an order that starts a roll-out of nothing or without a limit.
func TestValidateRefusesUnusableOrders(t *testing.T) {
	good := Order{Pool: "p", Target: "v2", Duration: 12 * time.Second}
	for name, c := range map[string]struct {
		change func(*Order)
		field  string
	}{
		"sound":                 {func(*Order) {}, ""},
		"short":                 {func(o *Order) { o.Duration = time.Millisecond }, ""},
		"longest names":         {func(o *Order) { o.Pool, o.Target = strings.Repeat("p", MaxName), strings.Repeat("v", MaxName) }, ""},
		"no pool":               {func(o *Order) { o.Pool = "" }, "Pool"},
		"long pool":             {func(o *Order) { o.Pool = strings.Repeat("p", MaxName+1) }, "Pool"},
		"no target":             {func(o *Order) { o.Target = "" }, "Target"},
		"long target":           {func(o *Order) { o.Target = strings.Repeat("v", 1<<20) }, "Target"},
		"target without text":   {func(o *Order) { o.Target = "v\xff" }, "Target"},
		"no duration":           {func(o *Order) { o.Duration = 0 }, "Duration"},
		"negative duration":     {func(o *Order) { o.Duration = -time.Second }, "Duration"},
		"duration without end":  {func(o *Order) { o.Duration = 1 << 62 }, "Duration"},
		"duration above limits": {func(o *Order) { o.Duration = MaxDuration + 1 }, "Duration"},
	} {
		o := good
		c.change(&o)
		err := o.Validate()
		var refused *OrderError
		if (err != nil) != (c.field != "") || err != nil && (!errors.As(err, &refused) || refused.Field != c.field) {
			t.Errorf("%s: got error %v, want field %q", name, err, c.field)
		}
		if err != nil && len(err.Error()) > 1000 {
			t.Errorf("%s: the error has %d bytes, want it to be bounded", name, len(err.Error()))
		}
	}
}

// TestCanariesConcentrate guards against a share that is spread over so many upstreams that none of them carries the
// load that it will have to carry later.
func TestCanariesConcentrate(t *testing.T) {
	for n, want := range map[int]int{0: 0, 1: 1, 4: 1, 12: 1, 13: 1, 24: 1, 25: 2, 50: 4, 100: 8} {
		ids := make([]string, n)
		for i := range ids {
			ids[i] = strings.Repeat("u", i+1)
		}
		got := Canaries("p", ids, 0.1)
		if len(got) != want {
			t.Errorf("%d upstreams: %d canaries, want %d", n, len(got), want)
		}
		for i, j := 0, len(ids)-1; i < j; i, j = i+1, j-1 {
			ids[i], ids[j] = ids[j], ids[i]
		}
		if again := Canaries("p", ids, 0.1); strings.Join(again, ",") != strings.Join(got, ",") {
			t.Errorf("%d upstreams in another order: canaries %v, want %v", n, again, got)
		}
	}
	if got := Canaries("p", []string{"a", "a", "b"}, 1); len(got) != 1 {
		t.Errorf("share 1 of 2 upstreams, one of them named twice: %v, want 1 canary", got)
	}
}
