package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/order"
	"github.com/cardamompier/cardamompier/upstream"
)

// TestKeysByTheirAge checks what is said of keys whose record may be gone: an
// earlier request under them may have run.
func TestKeysByTheirAge(t *testing.T) {
	c := call{account: &config.Account{Name: "a"}, service: &config.Service{Name: "s"}}
	cases := []struct {
		name    string
		key     string
		created string
		code    apierr.Code
		ran     apierr.Ran
	}{
		{"no key", "", "", apierr.CodeKeyRequired, apierr.NotRun},
		{"no time", "k", "", apierr.CodeKeyRequired, apierr.NotRun},
		{"too old", "k", at(-order.KeyMaxAge - time.Minute), apierr.CodeKeyTooOld, apierr.RanUnknown},
		{"in the future", "k", at(order.MaxClockSkew + time.Minute), apierr.CodeInvalidRequest, apierr.RanUnknown},
		{"accepted", "k", at(-time.Minute), "", ""},
	}
	for _, tc := range cases {
		header := http.Header{}
		header.Set(headerIdempotent, tc.key)
		header.Set(headerKeyCreated, tc.created)
		_, refusal := orderRequest(c, upstream.Call{}, header)
		if tc.code == "" && refusal == nil {
			continue
		}
		if refusal == nil || refusal.Code != tc.code || refusal.Ran != tc.ran {
			t.Errorf("%s: %v", tc.name, refusal)
		}
	}
}

func at(d time.Duration) string { return time.Now().Add(d).UTC().Format(time.RFC3339) }

// TestTimeIsPartOfTheOrder shows that a key cannot be made younger.
func TestTimeIsPartOfTheOrder(t *testing.T) {
	if digestOf("s", upstream.Call{}, at(0)) == digestOf("s", upstream.Call{}, at(-time.Hour)) {
		t.Fatal("two times of one key have the same digest")
	}
}

// TestRefusalsOfTheLedger checks that only a ledger that knows says "not run".
func TestRefusalsOfTheLedger(t *testing.T) {
	for reason, ran := range map[order.Reason]apierr.Ran{
		order.ReasonUnavailable: apierr.NotRun, order.ReasonUnreadable: apierr.RanUnknown,
		order.ReasonUnknown: apierr.RanUnknown, order.ReasonCorrupt: apierr.RanUnknown,
	} {
		if got := refusalOfLedger(&order.Error{Reason: reason}); got.Ran != ran || got.Code != apierr.CodePlatformUnavailable {
			t.Errorf("%s: %v", reason, got)
		}
	}
}
