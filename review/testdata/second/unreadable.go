package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["unreadable"] = unreadableEntries }

// PutBytes writes a key as another writer.
func (s *store) PutBytes(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, value, 0)
	s.notify()
}

const (
	// unreadable is the number of entries that cannot be read.
	unreadable = 100
	// maxValue is value_bytes of the store.
	maxValue = 1 << 20
	// downTime is the time after which the processes start again: kill_all with down_s = 1.4.
	downTime = 1400 * time.Millisecond
	// recovery is recovery_s.
	recovery = 12 * time.Second
	// lateOrders is the number of orders after recovery, and lateGap the time between two of them.
	lateOrders, lateGap = 60, 200 * time.Millisecond
)

// unreadableEntries writes entries of another writer that cannot be read. Then all processes are killed, as the final
// fault of a day, and start again.
func unreadableEntries(d *deployment, trouble bool) int {
	config := plainConfig()
	route := config["routes"].([]any)[0].(map[string]any)
	route["prefix"], route["kind"], route["max_attempts"], route["timeout_ms"] = "/o/", "non_idempotent", 1, 3000
	d.store.Put("op/config", config)
	r := d.startRunner("i-1", "llm", "zone-a")
	r.work = 20 * time.Millisecond
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		d.addHost(fmt.Sprintf("front-%d", i+1), zone)
	}
	for _, h := range d.hosts {
		d.writeSettings(h, nil)
		d.start(h)
	}
	if !d.awaitReady(10 * time.Second) {
		return 2
	}
	time.Sleep(3 * time.Second)
	for i := range unreadable {
		if !trouble {
			break
		}
		value := make([]byte, maxValue)
		for k := 0; k < maxValue; k += 8 {
			binary.LittleEndian.PutUint64(value[k:], rand.Uint64())
		}
		d.store.PutBytes(fmt.Sprintf("servers/x-%d", i), value)
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		d.record.log("another writer has written %d entries of %d random bytes under servers/", unreadable, maxValue)
	}
	time.Sleep(4 * time.Second)
	const early = 30
	before := d.orders("before the final fault", early, 100*time.Millisecond)
	config["version"], route["timeout_ms"] = 2, 3500
	d.store.Put("op/config", config)
	d.record.log("a configuration is acknowledged; all processes are killed, and start again after %v", downTime)
	for _, h := range d.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, h := range d.hosts {
		<-h.done
	}
	time.Sleep(downTime)
	for _, h := range d.hosts {
		d.start(h)
	}
	time.Sleep(recovery)
	served := d.orders(fmt.Sprintf("later than %v after the machines are back", recovery), lateOrders, lateGap)
	for _, h := range d.hosts {
		res, err := http.Get("http://" + h.ready + "/cardamompier/ready")
		if err == nil {
			_ = res.Body.Close()
			d.record.log("%s answers %d at its ready address", h.name, res.StatusCode)
		}
	}
	if 4*before < early {
		return 2 // the rule asks for a quarter before the final fault
	}
	if 4*served < lateOrders {
		d.record.log("RECOVER: %d of %d orders were served, before the final fault %d of %d", served, lateOrders, before, early)
		return 1
	}
	return 0
}

// orders sends orders to all hosts in turn and returns how many were served.
func (d *deployment) orders(when string, n int, gap time.Duration) int {
	statuses := map[int]int{}
	for k := range n {
		status, _ := order(d.hosts[k%len(d.hosts)].listen, fmt.Sprintf("%d-%d", time.Now().UnixNano(), k))
		statuses[status]++
		time.Sleep(gap)
	}
	d.record.log("orders %s: answers by status (0: none): %v", when, statuses)
	return statuses[http.StatusOK]
}
