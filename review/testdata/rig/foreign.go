package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime      = 2 * time.Second
	serveOn        = 4 * time.Second // after the report; drain_ms and a little longer
	foreignClients = 30
	foreignGap     = time.Second
	streamEvents   = 20
)

// foreignRecord: a server reports that it drains, serves on and exits. Meanwhile another writer writes a record
// under its id that lacks most fields and says that it is ready.
func foreignRecord(r *rig, trouble bool) (int, error) {
	r.publish(stream)
	var mu sync.Mutex
	var arrived []run
	onRun := func(at run) {
		mu.Lock()
		defer mu.Unlock()
		arrived = append(arrived, at)
		r.log("request %s reaches server %s and runs", at.id, at.server)
	}
	zones := []string{"colombo-a", "colombo-b", "gampaha"}
	for i, zone := range []string{"colombo-a", "colombo-b", "gampaha", "kalutara"} {
		s := &server{name: fmt.Sprint("s", i+1), zone: zone, address: freeAddress(), events: streamEvents}
		r.servers = append(r.servers, s)
		if err := r.startServer(s, serverRestart, onRun); err != nil {
			return notRun, err
		}
	}
	if err := r.startHosts(zones); err != nil {
		return notRun, err
	}
	time.Sleep(2 * contact)
	done := make(chan struct{})
	var clients sync.WaitGroup
	cut := 0
	for i := range foreignClients {
		clients.Go(func() {
			time.Sleep(rand.N(time.Second))
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				if r.post(r.hosts[rand.N(len(r.hosts))], "/cufi504/proof", fmt.Sprintf("proof %d of client %d", n, i)) == 0 {
					mu.Lock()
					cut++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(contact)
	leaving := r.servers[0]
	id := strings.TrimPrefix(leaving.key, "servers/")
	confirmed := r.drain(leaving)
	foreign := time.NewTicker(foreignGap)
	defer foreign.Stop()
	for exit := time.After(serveOn); ; {
		select {
		case <-foreign.C:
			if trouble {
				r.store.put(leaving.key, map[string]any{"service": service, "address": leaving.address, "zone": leaving.zone, "state": "ready"})
				r.log("another writer writes a record without born, seq, slots, version and cold_left_ms under %s", leaving.key)
			}
			continue
		case <-exit:
		}
		break
	}
	_ = leaving.command.Process.Signal(syscall.SIGTERM)
	time.Sleep(contact)
	close(done)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(arrived) == 0 {
		return notRun, errors.New("no request ran")
	}
	late, newest := 0, time.Duration(0)
	for _, a := range arrived {
		if after := a.at.Sub(confirmed); a.server == id && after > drainTime {
			late++
			newest = max(newest, after)
		}
	}
	return r.verdict(late == 0, fmt.Sprintf("%d requests reached the server later than %v after the store had confirmed that it drains, the last one after %v; %d answers were cut when it exited",
		late, drainTime, newest.Round(time.Millisecond), cut)), nil
}
