// Package presence registers this entry host in the key-value service under a
// lease and reads the other entry hosts from a replica of their records.
//
// It is for deployments whose key-value service can handle regular lease renewals
// by every host; package membership is for deployments where it cannot.
package presence

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/replica"
	"github.com/cardamompier/cardamompier/wait"
)

// Prefix is the key prefix of the host records in the key-value service. The host id
// follows it.
const Prefix = "entry/hosts/"

const (
	// leaseTTL is the lifetime of a host's lease after a renewal, and so the time
	// for which a killed host stays registered.
	leaseTTL = 4500 * time.Millisecond
	// renewInterval is the time between two lease renewals. After a failed renewal,
	// it leaves time for two more attempts before the lease ends.
	renewInterval = 1500 * time.Millisecond
	// callTimeout bounds one call to the key-value service.
	callTimeout = 700 * time.Millisecond
	// reregistrationGrace is how long after an outage of the key-value service
	// hosts whose records are missing stay in the view, as they may register again.
	reregistrationGrace = 3 * time.Second
	// registrationGap is the mean time between the registrations of two hosts after the
	// key-value service has come back from an older copy. Each takes two writes, and the
	// service limits the writes per second of all hosts.
	registrationGap = 5 * time.Millisecond
)

// Registrations counts writes of this host's own record, by outcome.
var Registrations = metrics.New("presence_registrations_total", "Writes of the host's own record, by outcome, and rises of the era that began one.")

const (
	labelDone   = "done"
	labelFailed = "failed"
	labelEra    = "era_risen"
)

// View is an immutable snapshot of the entry hosts, sorted by id.
type View struct {
	membership.View
	// Recent is the largest number of hosts within recentWindow; zero until the records
	// of the hosts have been read. While hosts
	// join and leave, a host's share of a limit is the limit divided by Recent.
	Recent int
}

// Presence maintains this host's record in the key-value service and a view of all
// entry hosts. Create it with New.
type Presence struct {
	store  kv.Store
	self   membership.Member
	logger hclog.Logger

	view        atomic.Pointer[View]
	leaving     atomic.Bool
	elapsed     clock.Elapsed
	eraRisen    chan struct{} // has a value when the records are of a newer era
	lastRenewal atomic.Int64  // when the last successful renewal was sent, in ns of elapsed; 0 if never

	mu            sync.Mutex // serializes view updates
	hostCounts    []hostCount
	newestRecords *replica.View
}

// hostCount is the number of registered hosts at a point in time.
type hostCount struct {
	at    time.Time
	hosts int
}

// recentWindow is the period that View.Recent covers: at least the longest window
// over which limits are checked.
const recentWindow = 10 * time.Second

// New returns a Presence of the host self that updates its view from hosts, a
// replica of the records under Prefix. It measures its lease by elapsed.
func New(store kv.Store, self membership.Member, hosts *replica.Replica, elapsed clock.Elapsed, logger hclog.Logger) *Presence {
	p := &Presence{store: store, self: self, elapsed: elapsed, logger: logger, eraRisen: make(chan struct{}, 1)}
	p.view.Store(&View{View: membership.View{Members: []membership.Member{self}}})
	hosts.Subscribe(p.update)
	return p
}

// View returns the current view of the entry hosts.
func (p *Presence) View() *View { return p.view.Load() }

// leaseMargin is subtracted from leaseTTL in LeaseValid, so that calls in flight finish
// before the lease ends.
const leaseMargin = 500 * time.Millisecond

// LeaseValid reports whether this host's lease was renewed recently enough that no other
// host can have seen this host's record expire.
func (p *Presence) LeaseValid() bool {
	renewed := p.lastRenewal.Load()
	return renewed != 0 && p.elapsed()-time.Duration(renewed) < leaseTTL-leaseMargin
}

// Sharers returns the number of hosts that share a limit which each host uses a part of, by Recent. It is zero if this
// host must not use a part: it has not registered or read the records of the hosts yet, or its registration has expired
// for so long that the other hosts may share the whole limit among themselves.
func (p *Presence) Sharers() int {
	renewed := p.lastRenewal.Load()
	if renewed == 0 || p.elapsed()-time.Duration(renewed) >= leaseTTL+recentWindow-leaseMargin {
		return 0
	}
	return p.View().Recent
}

// recordRenewal records that the lease was renewed by a call that was sent at the given time of elapsed.
func (p *Presence) recordRenewal(sent time.Duration) { p.lastRenewal.Store(max(int64(sent), 1)) }

// Leave makes Run mark this host's record as leaving, so that callers are no longer
// sent to this host.
func (p *Presence) Leave() { p.leaving.Store(true) }

// update rebuilds the view from new records. After an outage it rebuilds the view
// again when reregistrationGrace ends, unless newer records have arrived.
func (p *Presence) update(v *replica.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newestRecords != nil && v.Revision.Era() > p.newestRecords.Revision.Era() {
		select {
		case p.eraRisen <- struct{}{}:
		default:
		}
	}
	p.newestRecords = v
	p.buildView(v, time.Now())
	if remaining := reregistrationGrace - time.Since(v.OutageEnded); !v.OutageEnded.IsZero() && remaining > 0 {
		time.AfterFunc(remaining, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.newestRecords == v {
				p.buildView(v, time.Now())
			}
		})
	}
}

// buildView builds and stores a view of the records. Hosts whose records vanished
// around an outage of the key-value service stay in the view for reregistrationGrace.
func (p *Presence) buildView(v *replica.View, now time.Time) {
	known := map[string]membership.Member{}
	for key, entry := range v.Entries {
		m, err := decodeMember(key, entry.Value)
		if err != nil {
			events.MemberUnreadable.Log(p.logger, "key", key, "revision", uint64(entry.Version), "error", err)
			continue
		}
		known[m.ID] = m
	}
	if !v.OutageEnded.IsZero() && now.Sub(v.OutageEnded) < reregistrationGrace {
		for _, m := range p.View().Members {
			if _, ok := known[m.ID]; !ok {
				known[m.ID] = m
			}
		}
	}
	hosts := make([]membership.Member, 0, len(known))
	for _, id := range slices.Sorted(maps.Keys(known)) {
		hosts = append(hosts, known[id])
	}
	p.hostCounts = append(p.hostCounts, hostCount{at: now, hosts: len(hosts)})
	recent := 0
	for i, c := range p.hostCounts {
		// A host count applies until the next one, so it is ignored only if the next
		// count is older than recentWindow.
		if i+1 < len(p.hostCounts) && now.Sub(p.hostCounts[i+1].at) > recentWindow {
			continue
		}
		recent = max(recent, c.hosts)
	}
	if drop := len(p.hostCounts) - maxHostCounts; drop > 0 {
		p.hostCounts = slices.Delete(p.hostCounts, 0, drop)
	}
	events.MembersChanged.Log(p.logger, "hosts", len(hosts), "revision", uint64(v.Revision))
	p.view.Store(&View{View: membership.View{Members: hosts, Strong: membership.StrongOf(hosts)}, Recent: max(recent, 1)})
}

// maxHostCounts bounds the number of host counts kept for View.Recent.
const maxHostCounts = 64

// Run registers this host and renews its lease until ctx ends, then revokes the lease,
// which removes the host's record.
func (p *Presence) Run(ctx context.Context) {
	var lease kv.LeaseID
	var version kv.Version
	markedLeaving := false
	for ctx.Err() == nil {
		if lease == 0 || markedLeaving != p.leaving.Load() {
			leaving := p.leaving.Load()
			sent := p.elapsed()
			if lease, version = p.register(ctx, lease, version, leaving); lease != 0 {
				p.recordRenewal(sent)
			}
			markedLeaving = leaving && lease != 0
		} else if !p.renew(ctx, lease) {
			lease, version = 0, 0
			continue
		}
		p.awaitRenewal(ctx)
	}
	if lease != 0 {
		_ = p.call(context.WithoutCancel(ctx), func(ctx context.Context) error { return p.store.Revoke(ctx, lease) })
	}
}

// awaitRenewal waits until the lease is to be renewed. After a rise of the era the lease is
// gone, so that the wait ends within registrationGap times the number of hosts, and at most
// renewInterval.
func (p *Presence) awaitRenewal(ctx context.Context) {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.eraRisen:
		Registrations.Inc(labelEra)
		spread := registrationGap * time.Duration(max(1, len(p.View().Members)))
		wait.For(ctx, rand.N(min(spread, renewInterval)))
	case <-ctx.Done():
	}
}

// renew renews the lease. It returns false if the lease has ended, and true on other
// errors.
func (p *Presence) renew(ctx context.Context, lease kv.LeaseID) bool {
	sent := p.elapsed()
	err := p.call(ctx, func(ctx context.Context) error { return p.store.KeepAlive(ctx, lease) })
	if err == nil {
		p.recordRenewal(sent)
	}
	return kv.ReasonOf(err) != kv.ReasonLeaseExpired
}

// register writes this host's record under the given lease, or under a new lease if
// lease is 0. It returns the lease and the record's version, or zeros on failure.
func (p *Presence) register(ctx context.Context, lease kv.LeaseID, version kv.Version, leaving bool) (kv.LeaseID, kv.Version) {
	fail := func(err error) (kv.LeaseID, kv.Version) {
		Registrations.Inc(labelFailed)
		events.RegisterFailed.Log(p.logger, "error", err)
		return 0, 0
	}
	if lease == 0 {
		err := p.call(ctx, func(ctx context.Context) (err error) {
			lease, err = p.store.Grant(ctx, leaseTTL)
			return err
		})
		if err != nil {
			return fail(err)
		}
	}
	record := p.self
	record.Leaving = leaving
	value, err := json.Marshal(record)
	if err != nil {
		return fail(err)
	}
	key := Prefix + p.self.ID
	if version == 0 { // a record of this host's previous process may still exist
		version = p.listedVersion(key)
	}
	write := func(expect kv.Version) (written kv.Version, err error) {
		err = p.call(ctx, func(ctx context.Context) (err error) {
			written, err = p.store.CompareAndSwap(ctx, kv.Write{Key: key, Value: value, Expect: expect, Lease: lease})
			return err
		})
		return written, err
	}
	written, err := write(version)
	if kv.ReasonOf(err) == kv.ReasonConflict {
		err = p.call(ctx, func(ctx context.Context) error {
			entry, err := p.store.Get(ctx, key)
			version = entry.Version
			return err
		})
		if err == nil || kv.ReasonOf(err) == kv.ReasonNotFound {
			written, err = write(version)
		}
	}
	if err != nil {
		return fail(err)
	}
	Registrations.Inc(labelDone)
	return lease, written
}

// listedVersion returns the version of a record in the newest replica view; 0 if
// that view does not contain the record.
func (p *Presence) listedVersion(key string) kv.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newestRecords == nil {
		return 0
	}
	return p.newestRecords.Entries[key].Version
}

// call makes one call to the key-value service, bounded by callTimeout.
func (p *Presence) call(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, purpose), callTimeout)
	defer cancel()
	return do(ctx)
}

// purpose gives a host's registration calls the highest priority in the call budget,
// since callers are not sent to a host without a record.
var purpose = kv.Purpose{Name: "presence", Priority: kv.PrioritySafety}
