package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
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

// memory returns the resident memory of a process and its peak, in MiB.
func memory(pid int) (now, peak float64) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			now = kb / 1024
		case "VmHWM:":
			peak = kb / 1024
		}
	}
	return now, peak
}

const (
	// memoryMB is memory_mb of the smallest machine of haatbazaar-grown.
	memoryMB = 144
	// unreadable is the number of entries that cannot be read.
	unreadable = 40
	// maxValue is value_bytes of the store.
	maxValue = 1 << 20
	// watchMemory is how often the platform looks at the memory of a process.
	watchMemory = 50 * time.Millisecond
)

// enforceMemory kills each process that exceeds memory_mb and starts it again, as the platform does, until ctx ends.
func (d *deployment) enforceMemory(ctx context.Context, kills map[string]int) {
	for ctx.Err() == nil {
		time.Sleep(watchMemory)
		for _, h := range d.hosts {
			now, _ := memory(h.cmd.Process.Pid)
			select {
			case <-h.done:
				d.start(h)
				continue
			default:
			}
			if now > memoryMB {
				d.record.log("%s holds %.0f MiB, more than %d: it is killed", h.name, now, memoryMB)
				kills[h.name]++
				_ = h.cmd.Process.Kill()
				<-h.done
				time.Sleep(200 * time.Millisecond)
				d.start(h)
			}
		}
	}
}

// unreadableEntries writes entries of another writer that cannot be read, and restarts the machines in turn.
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
		d.writeSettings(h, func(s map[string]any) {
			s["memory_mb"], s["max_descriptors"], s["cores"], s["link_mbps"] = memoryMB, 3075, 0.144, 10.0
		})
		d.start(h)
	}
	if !d.awaitReady(10 * time.Second) {
		return 2
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	kills := map[string]int{}
	var watching sync.WaitGroup
	watching.Go(func() { d.enforceMemory(ctx, kills) })
	d.orders("before", 20)
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
	time.Sleep(4 * time.Second)
	d.orders("with the entries", 20)
	for range 4 {
		for _, h := range d.hosts {
			d.record.log("%s gets SIGTERM and starts again", h.name)
			_ = h.cmd.Process.Signal(syscall.SIGTERM)
			time.Sleep(5 * time.Second)
			d.orders("5 s after the SIGTERM of "+h.name, 10)
		}
	}
	time.Sleep(10 * time.Second)
	served := d.orders("10 s after the last of these", 30)
	cancel()
	watching.Wait()
	d.record.log("kills over memory_mb: %v", kills)
	often := 0
	for _, k := range kills {
		if k >= 3 {
			often++
		}
	}
	if often >= 2 {
		d.record.log("FAULT: processes of %d machines ended three times or more over memory_mb; %d of 30 orders were served at the end", often, served)
		return 1
	}
	return 0
}

// orders sends orders to all hosts in turn and returns how many were served.
func (d *deployment) orders(when string, n int) int {
	statuses := map[int]int{}
	for k := range n {
		status, _ := order(d.hosts[k%len(d.hosts)].listen, fmt.Sprintf("%d-%d", time.Now().UnixNano(), k))
		statuses[status]++
	}
	d.record.log("orders %s: answers by status (0: none): %v", when, statuses)
	return statuses[http.StatusOK]
}
