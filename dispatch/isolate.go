package dispatch

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/gossip"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/quarantine"
	"github.com/cardamompier/cardamompier/upstream"
)

const (
	evidencePrefix = "crash/"
	trialPrefix    = "trial/"
	trialLease     = 30 * time.Second
	claimTimeout   = 500 * time.Millisecond
)

// Verdicts counts the changes of quarantine verdicts on requests whose upstream died, by the new
// verdict.
var Verdicts = metrics.New("crash_verdicts_total", "Changes of the verdict on a request whose upstream died, by the new verdict.")

// Isolation shares evidence of requests that crash upstreams between entry hosts, and grants
// trials. In a trial a request suspected of crashing upstreams runs as the only such request at
// its upstream, which a key in the key-value service ensures. Use NewIsolation.
type Isolation struct {
	evidence    quarantine.EvidenceSet
	table       *gossip.Table
	store       kv.Store
	logger      hclog.Logger
	localTrials sync.Map // ids of the upstreams at which this entry host runs a trial
}

// NewIsolation returns an isolation that shares evidence with other entry hosts through table.
func NewIsolation(table *gossip.Table, store kv.Store, logger hclog.Logger) *Isolation {
	i := &Isolation{table: table, store: store, logger: logger}
	table.SubscribePrefix(evidencePrefix, func(item gossip.Item) {
		var e quarantine.Evidence
		if cbor.Unmarshal(item.Value, &e) != nil {
			return
		}
		i.addEvidence(e)
		time.AfterFunc(quarantine.Expiry, func() {
			table.Remove(item.Name)
			i.evidence.RemoveExpired(time.Now())
		})
	})
	return i
}

// addEvidence stores evidence, counts a change of verdict, and returns the resulting verdict.
func (i *Isolation) addEvidence(e quarantine.Evidence) quarantine.Verdict {
	before, after := i.evidence.Add(e)
	if after != before {
		Verdicts.Inc(string(after))
	}
	return after
}

// report stores evidence and publishes it to the other entry hosts.
func (i *Isolation) report(e quarantine.Evidence) {
	verdict := i.addEvidence(e)
	events.CrashEvidence.Log(i.logger, "digest", strconv.FormatUint(e.Digest, 16), "upstream", e.Upstream, "verdict", verdict)
	if value, err := cbor.Marshal(e); err == nil {
		name := evidencePrefix + strconv.FormatUint(e.Digest, 16) + "/" + e.Upstream
		i.table.Set(name, uint64(e.At.UnixNano()), value)
	}
}

// trial is the right of one suspected request to run at an upstream without other suspected
// requests there.
type trial struct {
	upstream string
	lease    kv.LeaseID // lease of the trial's key in the key-value service; 0 without a key
	tokens   int        // received since the trial started
}

// claimTrial claims the trial at an upstream. It returns nil when another suspected request holds
// it. While the key-value service does not answer, the claim covers this entry host only.
func (i *Isolation) claimTrial(upstreamID string) *trial {
	if _, taken := i.localTrials.LoadOrStore(upstreamID, true); taken {
		return nil
	}
	t := &trial{upstream: upstreamID}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	lease, err := i.store.Grant(ctx, trialLease)
	if err != nil {
		return t
	}
	t.lease = lease
	_, err = i.store.CompareAndSwap(ctx, kv.Write{Key: trialPrefix + upstreamID, Value: []byte{1}, Lease: lease})
	if kv.ReasonOf(err) == kv.ReasonConflict {
		i.releaseTrial(t)
		return nil
	}
	return t
}

func (i *Isolation) releaseTrial(t *trial) {
	i.localTrials.Delete(t.upstream)
	if t.lease == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		_ = i.store.Revoke(ctx, t.lease)
	}()
}

// quarantined returns the refusal of a request that is known to crash upstreams, and nil for any
// other request.
func (r *run) quarantined() *apierr.Error {
	if r.dispatcher.isolation.evidence.Verdict(time.Now(), r.Log.Digest) != quarantine.VerdictQuarantined {
		return nil
	}
	refusal := apierr.New(apierr.CodeQuarantined, "requests with this content crashed the upstreams that ran them")
	if r.Log.Attempt().Number > 0 {
		refusal = refusal.WithRan(apierr.RanUnknown)
	}
	return refusal
}

// claimTrial reports whether the request may run at host now. A request suspected of crashing
// upstreams must first claim the trial there.
func (r *run) claimTrial(host hosts.Host) bool {
	i := r.dispatcher.isolation
	if i.evidence.Verdict(time.Now(), r.Log.Digest) == quarantine.VerdictClear {
		return true
	}
	r.trial = i.claimTrial(host.ID)
	r.awaitsTrial = r.trial == nil
	r.work.request.Blocks = nil // without prompt blocks, routing spreads suspected requests by load
	return r.trial != nil
}

// countTrialToken counts a token that a suspected request received. After quarantine.TrialTokens
// tokens the request is cleared of the suspicion.
func (r *run) countTrialToken() {
	if r.trial == nil {
		return
	}
	if r.trial.tokens++; r.trial.tokens >= quarantine.TrialTokens {
		r.clearSuspect()
	}
}

// clearSuspect ends a running trial as passed and publishes that the request is clear.
func (r *run) clearSuspect() {
	if r.trial != nil {
		r.dispatcher.isolation.report(quarantine.Evidence{Digest: r.Log.Digest, At: time.Now(), Cleared: true})
		r.endTrial()
	}
}

func (r *run) endTrial() {
	if r.trial != nil {
		r.dispatcher.isolation.releaseTrial(r.trial)
		r.trial = nil
	}
}

// reportCrash publishes evidence that an upstream died while it ran the request. The loss of an
// upstream that announced that it is leaving, or that the host list marks as leaving, is no
// evidence.
func (r *run) reportCrash(host hosts.Host, err error) {
	if upstream.ReasonOf(err) != upstream.ReasonBroken || r.dispatcher.attempts.reportedLeaving(host.ID) {
		return
	}
	if _, live := r.dispatcher.hosts.Current().Live(host.Pool, host.ID); live {
		e := quarantine.Evidence{Digest: r.Log.Digest, Upstream: host.ID, At: time.Now(), Trial: r.trial != nil}
		r.dispatcher.isolation.report(e)
	}
}
