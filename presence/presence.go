// Package presence registers this entry host in the key-value service under a
// lease and knows the others by a replica of their records.
//
// It serves deployments whose key-value service carries a renewal per host;
// package membership serves those where it does not.
package presence

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/replica"
	"github.com/cardamompier/cardamompier/wait"
)

// Prefix is where the records are stored, one by host id.
const Prefix = "entry/hosts/"

const (
	// leaseTTL is how long a host that was killed stays listed.
	leaseTTL = 4500 * time.Millisecond
	// renewInterval leaves two more tries before the lease ends.
	renewInterval = 1500 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 700 * time.Millisecond
	// returnSpan is how long after an outage of the service missing records
	// are still taken for hosts that have not registered again.
	returnSpan = 3 * time.Second
)

// Registrations counts writes of the own record, by outcome.
var Registrations = metrics.New("presence_registrations_total", "Writes of the host's own record, by outcome.")

const (
	labelDone   = "done"
	labelFailed = "failed"
)

// View is an immutable view of the entry hosts in order of their ids.
type View struct {
	membership.View
	// Recent is the largest number of hosts in the last spans; shares of
	// limits are divided by it while hosts come and go.
	Recent int
}

// Presence keeps this host's record and the view of the others. Use New.
type Presence struct {
	store  kv.Store
	self   membership.Member
	logger hclog.Logger

	view    atomic.Pointer[View]
	leaving atomic.Bool
	renewed atomic.Int64 // unix ns of the sending of the last renewal that succeeded

	mu     sync.Mutex // orders updates
	counts []count
	newest *replica.View
}

// count is the number of hosts at a time.
type count struct {
	at    time.Time
	hosts int
}

// recentSpan covers the longest window over which limits are checked.
const recentSpan = 10 * time.Second

// New returns a presence that follows the replica of Prefix.
func New(store kv.Store, self membership.Member, hosts *replica.Replica, logger hclog.Logger) *Presence {
	p := &Presence{store: store, self: self, logger: logger}
	p.view.Store(&View{View: membership.View{Members: []membership.Member{self}}, Recent: 1})
	hosts.Subscribe(p.update)
	return p
}

// View returns the newest view.
func (p *Presence) View() *View { return p.view.Load() }

// validMargin of a lease is left to calls on their way.
const validMargin = 500 * time.Millisecond

// Valid says that no other host can have found this one gone: its lease was
// renewed a short while ago.
func (p *Presence) Valid() bool {
	return time.Since(time.Unix(0, p.renewed.Load())) < leaseTTL-validMargin
}

// Leave marks the own record, so that callers are not sent here any more.
func (p *Presence) Leave() { p.leaving.Store(true) }

// update takes new records.
func (p *Presence) update(v *replica.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newest = v
	p.build(v, time.Now())
	if left := returnSpan - time.Since(v.OutageEnded); !v.OutageEnded.IsZero() && left > 0 {
		time.AfterFunc(left, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.newest == v {
				p.build(v, time.Now())
			}
		})
	}
}

// build makes a view of the records. Records that vanished around an outage of
// the service are kept until their hosts had time to return.
func (p *Presence) build(v *replica.View, now time.Time) {
	known := map[string]membership.Member{}
	for key, entry := range v.Entries {
		var m membership.Member
		if err := json.Unmarshal(entry.Value, &m); err != nil || Prefix+m.ID != key {
			events.MemberUnreadable.Log(p.logger, "key", key, "revision", uint64(entry.Version), "error", err)
			continue
		}
		known[m.ID] = m
	}
	if !v.OutageEnded.IsZero() && now.Sub(v.OutageEnded) < returnSpan {
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
	p.counts = append(p.counts, count{at: now, hosts: len(hosts)})
	recent := 0
	for i, c := range p.counts {
		// A count holds until the next one was taken.
		if i+1 < len(p.counts) && now.Sub(p.counts[i+1].at) > recentSpan {
			continue
		}
		recent = max(recent, c.hosts)
	}
	if drop := len(p.counts) - maxCounts; drop > 0 {
		p.counts = slices.Delete(p.counts, 0, drop)
	}
	events.MembersChanged.Log(p.logger, "hosts", len(hosts), "revision", uint64(v.Revision))
	p.view.Store(&View{View: membership.View{Members: hosts, Strong: membership.StrongOf(hosts)}, Recent: max(recent, 1)})
}

// maxCounts bounds the remembered counts.
const maxCounts = 64

// Run keeps the own record until ctx ends, then removes it.
func (p *Presence) Run(ctx context.Context) {
	var lease kv.LeaseID
	var version kv.Version
	left := false
	for ctx.Err() == nil {
		if lease == 0 || left != p.leaving.Load() {
			leaving := p.leaving.Load()
			sent := time.Now()
			if lease, version = p.register(ctx, lease, version, leaving); lease != 0 {
				p.renewed.Store(sent.UnixNano())
			}
			left = leaving && lease != 0
		} else if !p.renew(ctx, lease) {
			lease, version = 0, 0
			continue
		}
		wait.For(ctx, renewInterval)
	}
	if lease != 0 {
		_ = p.call(context.WithoutCancel(ctx), func(ctx context.Context) error { return p.store.Revoke(ctx, lease) })
	}
}

// renew renews the lease; false where it has ended.
func (p *Presence) renew(ctx context.Context, lease kv.LeaseID) bool {
	sent := time.Now()
	err := p.call(ctx, func(ctx context.Context) error { return p.store.KeepAlive(ctx, lease) })
	if err == nil {
		p.renewed.Store(sent.UnixNano())
	}
	return kv.ReasonOf(err) != kv.ReasonLeaseExpired
}

// register writes the own record under a lease.
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
	if version == 0 { // the record of this host's last process may still be there
		version = p.listed(key)
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

// listed returns the version of a record as far as the newest list knows; 0 for
// none.
func (p *Presence) listed(key string) kv.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newest == nil {
		return 0
	}
	return p.newest.Entries[key].Version
}

func (p *Presence) call(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, purpose), callTimeout)
	defer cancel()
	return do(ctx)
}

// purpose has the priority of safety: a host that is not listed gets no callers.
var purpose = kv.Purpose{Name: "presence", Priority: kv.PrioritySafety}
