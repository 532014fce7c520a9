package coordinator

import (
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/rollout"
)

// TestOutcomeOutlastsRestore guards against a roll-out that begins anew after its outcome was published, because the store
// has come back from a copy: the order has another version there, or was lost and written again; and the record and the
// status are those of an earlier phase, or are gone.
func TestOutcomeOutlastsRestore(t *testing.T) {
	for name, test := range map[string]struct {
		outcome  rollout.Phase
		recorded bool   // whether the copy has the record of an earlier phase
		revision uint64 // of the order after the restore, in the new era
		started  int    // number of hosts that start after the restore
	}{
		"rolled back, order in the copy":                    {outcome: rollout.PhaseRolledBack, recorded: true, revision: 5},
		"rolled back, order written again":                  {outcome: rollout.PhaseRolledBack, revision: 3},
		"complete, order in the copy":                       {outcome: rollout.PhaseComplete, recorded: true, revision: 5},
		"complete, order written once again":                {outcome: rollout.PhaseComplete, revision: 9},
		"rolled back, order in the copy, hosts started":     {outcome: rollout.PhaseRolledBack, recorded: true, revision: 5, started: 3},
		"rolled back, order written again, hosts started":   {outcome: rollout.PhaseRolledBack, revision: 3, started: 3},
		"complete, order written once again, hosts started": {outcome: rollout.PhaseComplete, revision: 9, started: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 4)
			if test.outcome == rollout.PhaseRolledBack {
				f.listVersions("v1")
			}
			older := f.store.Copy()
			f.order("v2", 6*time.Second, 5)
			if test.recorded {
				f.await(t, 4*time.Second, 5, rollout.PhaseCanary)
				older = f.store.Copy()
			}
			f.await(t, 9*time.Second, 5, test.outcome)
			time.Sleep(time.Second) // until the hosts know that the outcome is published
			f.listVersions("v1", "v2")
			f.store.Restore(older)
			for _, h := range f.hosts[:test.started] {
				h.kill()
				f.start(h)
			}
			revision := uint64(kv.VersionOf(f.store.Era(), test.revision))
			f.order("v2", 6*time.Second, revision)
			f.await(t, 8*time.Second, revision, test.outcome)
			time.Sleep(time.Second) // until the hosts know that the outcome is published
			for _, h := range f.hosts {
				for _, s := range h.agent.Status() {
					if s.Phase != test.outcome {
						t.Errorf("host %s is in phase %s after the restore, want %s", h.name, s.Phase, test.outcome)
					}
				}
			}
		})
	}
}

// TestRunningRolloutOutlastsRestore guards against a roll-out that does not end because the record of its coordinator has
// been lost with the restore of an older copy, and against requests that return to the old versions after the promotion.
func TestRunningRolloutOutlastsRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	older := f.store.Copy()
	f.order("v2", 8*time.Second, 5)
	f.await(t, 7*time.Second, 5, rollout.PhasePromoting)
	time.Sleep(2 * directiveInterval) // until the hosts apply the phase
	f.store.Restore(older)
	revision := uint64(kv.VersionOf(f.store.Era(), 3))
	f.order("v2", 8*time.Second, revision)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		phase, r := f.phase()
		if phase == string(rollout.PhaseCanary) {
			t.Fatalf("the status went back to %s of revision %d", phase, r)
		}
		if phase == string(rollout.PhaseComplete) && r == revision {
			return
		}
	}
	phase, r := f.phase()
	t.Errorf("the status is %q of revision %d, want %s of %d", phase, r, rollout.PhaseComplete, revision)
}
