package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["stale-order"] = staleOrder }

const (
	// cutLength is the length of the cut: node_cut with for_s = 12.0.
	cutLength = 12 * time.Second
	// freezeSlack is freeze_slack_ms.
	freezeSlack = 300 * time.Millisecond
	// startup is startup_s of the service.
	startup = 4 * time.Second
)

// market starts the runners of one service that are ordered.
type market struct {
	d       *deployment
	mu      sync.Mutex
	desired map[string]int
	running map[string]int
	next    int
}

func (m *market) order(service, zone string, desired int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.desired[zone] = desired
	for m.running[zone] < desired {
		m.running[zone]++
		m.next++
		id := fmt.Sprintf("i-%d", m.next)
		address := freePort()
		time.AfterFunc(startup, func() {
			m.d.record.log("runner %s of %s in %s is ready", id, service, zone)
			m.d.store.Put("servers/"+id, map[string]any{
				"service": service, "address": address, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
				"cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
			})
		})
	}
}

func autoscaled(version, least int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r", "host": "h.example", "prefix": "/r/", "kind": "stream", "timeout_ms": 10000, "slo_ms": 1000, "priority": 1,
			"service": "llm", "max_attempts": 2, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 400,
		}},
		"services": []any{map[string]any{
			"name": "llm", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
			"engine":    map[string]any{"slots": 64, "kv_capacity": 583624, "models": []any{map[string]any{"name": "m"}}},
			"autoscale": map[string]any{"min": least, "max": 6, "startup_s": startup.Seconds(), "zone_prices": map[string]any{"zone-a": 1.0, "zone-b": 1.0, "zone-c": 1.0}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t", "api_keys": []string{"key"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 231251, "burst": 231251}},
	}
}

// leader returns the host that has sent the newest duty call.
func (d *deployment) leader() *host {
	calls := d.dutyCalls()
	if len(calls) == 0 {
		return nil
	}
	for _, h := range d.hosts {
		if h.name == calls[len(calls)-1].holder {
			return h
		}
	}
	return nil
}

// staleOrder cuts the machine that holds the duties off from the platform while runners that it has ordered start.
func staleOrder(d *deployment, trouble bool) int {
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
	if !d.awaitReady(10 * time.Second) {
		d.record.log("the hosts are not ready")
		return 2
	}
	deadline := time.Now().Add(20 * time.Second)
	for d.leader() == nil {
		if time.Now().After(deadline) {
			d.record.log("no host has taken the duties")
			return 2
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	cut := d.leader()
	var healedAt time.Time
	if trouble {
		d.record.log("%s is cut off from the store and the API for %v", cut.name, cutLength)
		cut.storeLink.Cut()
		cut.apiLink.Cut()
	}
	time.Sleep(cutLength)
	if trouble {
		d.record.log("the links of %s are whole again", cut.name)
		cut.storeLink.Heal()
		cut.apiLink.Heal()
		healedAt = time.Now()
	}
	time.Sleep(15 * time.Second)
	return d.checkEpochs(healedAt)
}

// subjectOf returns the duty and the subject of a call.
func subjectOf(c dutyCall) string {
	if c.op != "scale" {
		return c.op
	}
	return fmt.Sprint(c.op, " ", c.body["service"], " ", c.body["zone"])
}

// checkEpochs checks that no call has a lower epoch number than an earlier one for its duty and subject, but for calls
// within freezeSlack after the links have healed.
func (d *deployment) checkEpochs(healedAt time.Time) int {
	status := 0
	highest := map[string]uint64{}
	for _, c := range d.dutyCalls() {
		subject := subjectOf(c)
		if c.epoch < highest[subject] {
			text, _ := json.Marshal(c.body)
			excused := !healedAt.IsZero() && c.at.After(healedAt) && c.at.Sub(healedAt) <= freezeSlack
			d.record.log("ONE: %s: a call of %s with epoch number %d after one with %d, %v after the links healed (excused: %v): %s",
				subject, c.holder, c.epoch, highest[subject], c.at.Sub(healedAt).Round(time.Millisecond), excused, text)
			if !excused {
				status = 1
			}
		}
		highest[subject] = max(highest[subject], c.epoch)
	}
	return status
}

// plainConfig is a configuration without orders of runners.
func plainConfig() map[string]any {
	config := autoscaled(1, 1)
	delete(config["services"].([]any)[0].(map[string]any), "autoscale")
	config["routes"].([]any)[0].(map[string]any)["prefix"] = "/s/"
	return config
}
