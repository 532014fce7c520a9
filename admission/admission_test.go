package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamompier/cardamompier/admission"
)

var epoch = time.Unix(1_000_000, 0)

// TestHostsTogetherKeepTheLimit lets hosts ask one granter at random times
// and spend what they get.
func TestHostsTogetherKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admission.Limits{RequestsPerSecond: rapid.Float64Range(1, 500).Draw(t, "limit")}
		granter := admission.NewGranter()
		var hosts []*admission.Limiter
		for range rapid.IntRange(1, 6).Draw(t, "hosts") {
			hosts = append(hosts, admission.NewLimiter())
		}
		now, admitted := epoch, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			host := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			verdict, wait := host.Admit("a", limits, now)
			switch verdict {
			case admission.Admitted:
				admitted++
			case admission.Limited:
				if wait <= 0 {
					t.Fatal("a refusal without a time to come again")
				}
			case admission.Empty:
				if req, ok := host.Need("a", now); ok {
					host.Granted("a", granter.Grant(req, limits, true, now), now, now)
				}
			}
		}
		most := limits.RequestsPerSecond*now.Sub(epoch).Seconds() + max(1, limits.RequestsPerSecond/20)
		if float64(admitted) > most {
			t.Fatalf("%d admitted, at most %.1f allowed", admitted, most)
		}
	})
}

func TestNewGranterWaitsForTheOldOnesGrants(t *testing.T) {
	granter, limits := admission.NewGranter(), admission.Limits{RequestsPerSecond: 100}
	req := admission.GrantRequest{Account: "a", Requests: 5}
	for at := time.Duration(0); at < time.Second; at += 50 * time.Millisecond {
		if grant := granter.Grant(req, limits, false, epoch.Add(at)); grant.Requests != 0 || grant.WaitMS == 0 {
			t.Fatalf("granted %+v after %v", grant, at)
		}
	}
	granter.Grant(req, limits, false, epoch.Add(1100*time.Millisecond))
	if grant := granter.Grant(req, limits, false, epoch.Add(1200*time.Millisecond)); grant.Requests == 0 {
		t.Fatal("nothing granted after the tenure began")
	}
}

func TestFirstRequestOfASettledGranterIsAdmitted(t *testing.T) {
	for _, rate := range []float64{0.5, 5, 500} {
		granter, host := admission.NewGranter(), admission.NewLimiter()
		limits := admission.Limits{RequestsPerSecond: rate}
		req, _ := host.Need("a", epoch)
		host.Granted("a", granter.Grant(req, limits, true, epoch), epoch, epoch)
		if verdict, _ := host.Admit("a", limits, epoch); verdict != admission.Admitted {
			t.Errorf("verdict %d at %v requests a second", verdict, rate)
		}
	}
}

func TestTokensOverTheLimitStopAdmission(t *testing.T) {
	granter, limits := admission.NewGranter(), admission.Limits{TokensPerSecond: 100}
	host := admission.NewLimiter()
	ask := func(now time.Time) {
		if req, ok := host.Need("a", now); ok {
			host.Granted("a", granter.Grant(req, limits, true, now), now, now)
		}
	}
	ask(epoch)
	host.Used("a", 250)
	ask(epoch.Add(time.Second))
	if verdict, _ := host.Admit("a", limits, epoch.Add(time.Second+time.Millisecond)); verdict != admission.Limited {
		t.Fatalf("verdict %d with 250 tokens used against 100 a second", verdict)
	}
	ask(epoch.Add(4 * time.Second))
	if verdict, _ := host.Admit("a", limits, epoch.Add(4*time.Second+time.Millisecond)); verdict != admission.Admitted {
		t.Fatalf("verdict %d once the debt is filled", verdict)
	}
}

func TestUnreachableGranterLeavesAnEqualShare(t *testing.T) {
	limits := admission.Limits{RequestsPerSecond: 90}
	host, admitted := admission.NewLimiter(), 0
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		verdict, _ := host.Admit("a", limits, now)
		switch verdict {
		case admission.Admitted:
			admitted++
		case admission.Empty:
			if req, ok := host.Need("a", now); ok {
				host.Unreachable(req, limits, 9, now)
			}
		}
	}
	if admitted < 60 || admitted > 101 {
		t.Fatalf("%d admitted in 10 s of a share of 10 a second", admitted)
	}
}
