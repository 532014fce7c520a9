package soak

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/kv/kvmem"
)

const (
	// copyInterval is the time between two copies of the store.
	copyInterval = 250 * time.Millisecond
	// minCopyAge and maxCopyAge bound the age of the copy from which the store comes back, and minAway and maxAway the
	// time for which it is away.
	minCopyAge, maxCopyAge = time.Second, 9 * time.Second
	minAway, maxAway       = 300 * time.Millisecond, 6 * time.Second
	// maxRewrite is the longest time after which the operator and the upstreams write again what they wrote.
	maxRewrite = time.Second
)

// drill is the state of drills in which the store goes away and comes back from an older copy.
type drill struct {
	disturbedAt atomic.Int64 // when the store last went away or came back, in Unix ns
	away        atomic.Bool

	mu     sync.Mutex
	copies []storeCopy // in order of time
}

// storeCopy is a copy of the store and when it was taken.
type storeCopy struct {
	at   time.Time
	copy *kvmem.Copy
}

// lastDisturbed returns when the store was last away, in Unix ns.
func (d *drill) lastDisturbed() int64 {
	if d.away.Load() {
		return time.Now().UnixNano()
	}
	return d.disturbedAt.Load()
}

// add adds a copy of the store.
func (d *drill) add(store *kvmem.Store) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.away.Load() {
		d.copies = append(d.copies, storeCopy{at: time.Now(), copy: store.Copy()})
	}
}

// copyBefore returns the newest copy that was taken before a time, or the oldest one.
func (d *drill) copyBefore(at time.Time) storeCopy {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := d.copies[0]
	for _, c := range d.copies {
		if c.at.Before(at) {
			found = c
		}
	}
	return found
}

// storeGoesAway cuts all calls to the store and rejects new ones: with a status, or without an answer if silent.
func (d *deployment) storeGoesAway(silent bool) {
	d.drill.mu.Lock() // no copy is under way
	d.drill.disturbedAt.Store(time.Now().UnixNano())
	d.drill.away.Store(true)
	d.drill.mu.Unlock()
	d.trouble.silent.Store(silent)
	d.store.SetFaults(kvmem.Faults{Outage: true})
	d.server.CloseClientConnections()
}

// storeComesBack restores the store from a copy, without history, and ends storeGoesAway.
func (d *deployment) storeComesBack(c storeCopy) {
	d.store.Restore(c.copy)
	d.trouble.dropped.Store(d.store.Revision().Revision())
	d.store.SetFaults(kvmem.Faults{})
	d.trouble.silent.Store(false)
	d.drill.disturbedAt.Store(time.Now().UnixNano())
	d.drill.away.Store(false)
}

// restorePlan is what happens in one restore of the store.
type restorePlan struct {
	age, away, rewrite time.Duration
	// silent is whether calls get no answer while the store is away; invalid, whether the copy's configuration is
	// overwritten with an invalid one before the operator writes again; inGap, whether the operator begins to write a new
	// version while the store is away.
	silent, invalid, inGap bool
	fault                  int // of the invalid configuration
	// hostFaults are the faults of hosts about the time at which the store comes back. Other hosts have none.
	hostFaults []hostFault
}

// hostFault is a fault of a host that begins before the store comes back.
type hostFault struct {
	name   string
	host   int
	before time.Duration // from the fault's begin until the store comes back
	span   time.Duration
}

// hostFaultNames are the faults of hosts about a restore. A host that starts does so between the restore and the
// operator's write, if that is late enough.
var hostFaultNames = []string{"starts", "paused", "cut off", "none"}

func spanBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// drawRestore draws what happens in a restore. At least one host has no fault.
func drawRestore(random *rand.Rand, hosts int) restorePlan {
	plan := restorePlan{
		age: spanBetween(random, minCopyAge, maxCopyAge), away: spanBetween(random, minAway, maxAway), rewrite: spanBetween(random, 0, maxRewrite),
		silent: random.IntN(2) == 0, invalid: random.IntN(2) == 0, inGap: random.IntN(2) == 0,
		fault: random.IntN(2 * invalidFaults),
	}
	for _, host := range random.Perm(hosts)[1:] {
		f := hostFault{name: hostFaultNames[random.IntN(len(hostFaultNames))], host: host, before: min(plan.away, spanBetween(random, 0, 1500*time.Millisecond))}
		f.span = spanBetween(random, 500*time.Millisecond, 2500*time.Millisecond)
		if f.name == "starts" {
			f.span = max(0, f.before-spanBetween(random, 0, 100*time.Millisecond))
		}
		plan.hostFaults = append(plan.hostFaults, f)
	}
	return plan
}

// disturbHosts induces the faults of hosts and returns once the store may come back. All faults end before the wait
// group.
func (d *deployment) disturbHosts(t *testing.T, plan restorePlan, backAt time.Time, running *sync.WaitGroup) {
	for _, f := range plan.hostFaults {
		h := d.hosts[f.host]
		running.Go(func() {
			time.Sleep(time.Until(backAt.Add(-f.before)))
			switch f.name {
			case "starts":
				h.replace(t, syscall.SIGKILL, f.span)
			case "paused":
				h.mu.Lock()
				defer h.mu.Unlock()
				h.disturb()
				_ = h.command.Process.Signal(syscall.SIGSTOP)
				time.Sleep(f.span)
				h.disturb()
				_ = h.command.Process.Signal(syscall.SIGCONT)
			case "cut off":
				impairFor(h.store, rand.New(rand.NewPCG(uint64(f.span), 0)), f.span)
			}
		})
	}
	time.Sleep(time.Until(backAt))
}
