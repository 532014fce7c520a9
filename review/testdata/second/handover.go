package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["hand-over"] = handOver }

// leaseSpan is lease_ms.
const leaseSpan = 3 * time.Second

const (
	// termGap is the time between two SIGTERMs: roll_term with gap_s = 1.0.
	termGap = time.Second
	// rollSpan is the time of one rolling restart, with its preparation.
	rollSpan = 8 * time.Second
)

// awaitCall waits for the first duty call after the given number of calls.
func (d *deployment) awaitCall(after int, timeout time.Duration) *dutyCall {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if calls := d.dutyCalls(); len(calls) > after {
			return &calls[after]
		}
	}
	return nil
}

// restart stops a host with SIGTERM and starts it again once it has ended.
func (d *deployment) restart(h *host) {
	d.record.log("%s gets SIGTERM", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	done := h.done
	go func() {
		<-done
		d.start(h)
	}()
}

// handOver restarts all machines in turn, several times, beginning with the one that holds the duties.
func handOver(d *deployment, trouble bool) int {
	m := &market{d: d, desired: map[string]int{}, running: map[string]int{}}
	d.onScale = m.order
	d.store.Put("op/config", autoscaled(1, 1))
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		d.addHost(fmt.Sprintf("front-%d", i+1), zone)
	}
	for _, h := range d.hosts {
		d.writeSettings(h, nil)
		d.start(h)
	}
	if !d.awaitReady(10*time.Second) || d.awaitCall(0, 10*time.Second) == nil {
		return 2
	}
	began := time.Now()
	for n := 1; n <= 12; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * rollSpan).Add(-rollSpan / 2)))
		before := len(d.dutyCalls())
		d.store.Put("op/config", autoscaled(n+1, 1+n%2)) // the holder orders runners anew
		acted := d.awaitCall(before, 5*time.Second)
		if acted == nil {
			d.record.log("no order after a change of the configuration")
			continue
		}
		if trouble {
			d.roll(d.leader())
		}
	}
	time.Sleep(rollSpan / 2)
	return d.checkTurns()
}

// roll restarts all machines in turn, beginning with one.
func (d *deployment) roll(first *host) {
	stopped := map[*host]bool{}
	for next := first; next != nil; {
		d.restart(next)
		stopped[next] = true
		time.Sleep(termGap)
		if next = d.leader(); stopped[next] {
			next = nil
			for _, h := range d.hosts {
				if !stopped[h] {
					next = h
				}
			}
		}
	}
}

// checkTurns checks that no holder acts again within leaseSpan after it has acted with another one between.
func (d *deployment) checkTurns() int {
	status := 0
	calls := d.dutyCalls()
	for i, c := range calls {
		for j := i - 1; j >= 0 && c.at.Sub(calls[j].at) <= leaseSpan; j-- {
			if calls[j].holder == c.holder {
				continue
			}
			for k := j - 1; k >= 0 && c.at.Sub(calls[k].at) <= leaseSpan; k-- {
				if calls[k].holder == c.holder && subjectOf(calls[k]) == subjectOf(calls[j]) && subjectOf(calls[j]) == subjectOf(c) {
					d.record.log("ONE: %s: %s, %s, %s in %v", subjectOf(c), c.holder, calls[j].holder, c.holder, c.at.Sub(calls[k].at))
					status = 1
				}
			}
		}
	}
	return status
}
