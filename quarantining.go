package cardamompier

import (
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/quarantine"
)

// trialRolePrefix is the prefix of the rendezvous hashing key that selects the host that
// tries quarantined content again.
const trialRolePrefix = "quarantine/"

// trackCrashes creates the tracker of crash evidence. It travels with the load digests, and its
// verdicts are kept in the key-value service.
func (f *ForwardServer) trackCrashes() {
	f.crashes = quarantine.NewTracker(f.runsTrial, f.quarantineChanged)
	f.persister = &quarantine.Persister{
		Tracker: f.crashes, Store: f.store, Logger: f.logger.Named("quarantine"),
		Alone: func() bool { return len(f.hosts().Members) < 2 },
	}
}

// runsTrial reports whether this host tries quarantined content with the given first key again.
func (f *ForwardServer) runsTrial(key quarantine.Key) bool {
	chosen := f.hosts().Chosen(trialRolePrefix+key.String(), 1)
	return len(chosen) > 0 && chosen[0].ID == f.settings.HostID
}

// quarantineChanged logs a change of the quarantined content and withdraws requests with it.
func (f *ForwardServer) quarantineChanged(change string, set quarantine.Set) {
	events.QuarantineSet.Log(f.logger, "change", change, "keys", set.Keys, "crashes", set.Crashes, "age_ms", time.Since(set.At).Milliseconds(),
		"trial_in_ms", time.Until(set.Until()).Milliseconds())
	if change != quarantine.ChangeLifted {
		f.forwarder.Withdraw(set)
	}
}
