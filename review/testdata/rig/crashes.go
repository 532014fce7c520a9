package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	badPath = "/cufi504/bad"
	// serverRestart is how long a crashed server is away ("some seconds").
	serverRestart = 3 * time.Second
	// badPause is the time until the user sends the bad request again.
	badPause  = 4500 * time.Millisecond
	badRounds = 4
	// allowedRetries is how often the bad request may reach servers later than contact after it has
	// crashed the third.
	allowedRetries = 3
)

// crashesAtOnce: one idempotent request crashes each server that begins to run it. The client repeats it
// once, at once and at another host, after a failure, and its user comes again some seconds later.
func crashesAtOnce(r *rig, trouble bool) (int, error) {
	r.publish(idempotent)
	var mu sync.Mutex
	var bad []run
	runs := 0
	onRun := func(at run) {
		mu.Lock()
		defer mu.Unlock()
		runs++
		if strings.HasPrefix(at.url, badPath) {
			bad = append(bad, at)
			r.log("request %s %s reaches server %s and runs", at.id, at.url, at.server)
		}
	}
	zones := []string{"colombo-a", "colombo-b", "gampaha"}
	for i, zone := range append(slices.Clone(zones), zones[0]) {
		s := &server{name: fmt.Sprint("s", i+1), zone: zone, address: freeAddress()}
		if trouble {
			s.crash = badPath
		}
		r.servers = append(r.servers, s)
		if err := r.startServer(s, serverRestart, onRun); err != nil {
			return notRun, err
		}
	}
	if err := r.startHosts(zones); err != nil {
		return notRun, err
	}
	time.Sleep(2 * contact) // all hosts are in touch, and know each other
	done := make(chan struct{})
	var others sync.WaitGroup
	for i := range r.hosts { // ordinary requests, 10 a second
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(300 * time.Millisecond):
					r.get(r.hosts[i], fmt.Sprintf("/cufi504/order-%d-%d", i, n))
				}
			}
		})
	}
	time.Sleep(contact)
	for round := range badRounds {
		for attempt := range 2 { // the client's own retry goes to another host, at once
			status := r.get(r.hosts[(round+attempt)%len(r.hosts)], badPath)
			if status == 200 || status == 503 {
				break
			}
		}
		time.Sleep(badPause)
	}
	close(done)
	others.Wait()
	return r.judgeCrashes(bad, runs)
}

// judgeCrashes applies the rule: later than contact after its third crash, the bad request reaches servers
// allowedRetries times at most. All hosts are in touch all the while.
func (r *rig) judgeCrashes(bad []run, runs int) (int, error) {
	r.mu.Lock()
	var ends []time.Time
	for _, s := range r.servers {
		ends = append(ends, s.ends...)
	}
	r.mu.Unlock()
	slices.SortFunc(ends, time.Time.Compare)
	if runs == 0 {
		return notRun, fmt.Errorf("no request ran")
	}
	late := 0
	if len(ends) >= 3 {
		for _, b := range bad {
			if b.at.After(ends[2].Add(contact)) {
				late++
			}
		}
	}
	return r.verdict(late <= allowedRetries, fmt.Sprintf(
		"the request reached servers %d times and crashed %d; %d times later than %v after the third crash, %d allowed", len(bad), len(ends), late, contact, allowedRetries)), nil
}
