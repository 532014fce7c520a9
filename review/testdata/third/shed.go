package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	ordinaryPath = "/puxa403/2f"
	ordinary     = 150
	wild         = 2000
	wildChunks   = 40
	wildPause    = 150 * time.Millisecond
	wildReturn   = 500 * time.Millisecond
	pressFor     = 25 * time.Second
)

// shed: uncontrolled clients send many chunked bodies at once in very small chunks. Ordinary clients use kept channels.
func shed(rec *record, program string, trouble bool) bool {
	r := newRig(rec, program)
	for i := range 4 {
		r.addRunner(fmt.Sprintf("i-%d", i), "wuno96b", []string{"nyarugenge", "gasabo", "kicukiro", "remera"}[i], 60*time.Millisecond, 800)
	}
	r.store.set("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "ficu95.example", "prefix": "/puxa403/", "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 300,
			"priority": 2, "service": "wuno96b", "max_attempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": "wuno96b", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{},
	})
	r.addHosts(3, limits{memoryMB: 284, fds: 4100, cores: 0.4, linkMbps: 1000})
	r.awaitReady()
	time.Sleep(2 * time.Second)
	h := r.hosts[0]
	stop := time.Now().Add(pressFor)
	var running sync.WaitGroup
	var sent, served, refused, crossed, lost, dialFailed, wildOpened atomic.Int64
	ran := func(id string) bool {
		for _, rn := range r.runners {
			if rn.ran(id) > 0 {
				return true
			}
		}
		return false
	}
	for range ordinary {
		running.Add(1)
		go func() {
			defer running.Done()
			var c *channel
			for first := true; time.Now().Before(stop); first = false {
				time.Sleep(600*time.Millisecond + time.Duration(rand.Intn(900))*time.Millisecond)
				if c == nil {
					var err error
					if c, err = open(h.front, ""); err != nil {
						dialFailed.Add(1)
						continue
					}
					first = true
				}
				id := newID()
				sent.Add(1)
				rec.line("sent %s kept %v", id, !first)
				began := time.Now()
				a := c.do("POST", ordinaryPath, id, strings.Repeat("x", 600), 3*time.Second)
				took := time.Since(began)
				switch {
				case a.err == nil && a.status == 200:
					served.Add(1)
					rec.line("answered %s 200", id)
				case a.err == nil:
					refused.Add(1)
					rec.line("answered %s %d ran %v", id, a.status, ran(id))
				default:
					time.Sleep(200 * time.Millisecond) // it may reach a runner yet
					if ran(id) && !first {
						lost.Add(1)
						rec.line("LOST %s: %v after %d ms, though it ran", id, a.err, took.Milliseconds())
					} else {
						crossed.Add(1)
						rec.line("closed %s: %v after %d ms, ran %v", id, a.err, took.Milliseconds(), ran(id))
					}
				}
				if a.err != nil || strings.EqualFold(a.header.Get("Connection"), "close") {
					_ = c.conn.Close()
					c = nil
				}
			}
		}()
	}
	if trouble {
		for range wild {
			go func() {
				time.Sleep(time.Duration(rand.Intn(2000)) * time.Millisecond)
				for time.Now().Before(stop) {
					c, err := open(h.front, "127.0.0.2")
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					wildOpened.Add(1)
					dribble(c.conn, stop)
					_ = c.conn.Close()
					time.Sleep(wildReturn)
				}
			}()
		}
	}
	most := 0
	for time.Now().Before(stop) {
		time.Sleep(500 * time.Millisecond)
		most = max(most, h.residentMB())
	}
	running.Wait()
	ended := false
	select {
	case <-h.exited:
		ended = true
	default:
	}
	text := fmt.Sprintf("sent %d served %d refused %d closed unread %d LOST after it was passed on %d, dial failed %d, wild connections %d, most memory %d MB, process ended %v",
		sent.Load(), served.Load(), refused.Load(), crossed.Load(), lost.Load(), dialFailed.Load(), wildOpened.Load(), most, ended)
	rec.line("%s", text)
	fmt.Println(text)
	return lost.Load() <= 3 && !ended
}

// dribble sends a chunked body in very small chunks until it is closed.
func dribble(conn net.Conn, stop time.Time) {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, conn)
	}()
	_, err := io.WriteString(conn, head("POST", ordinaryPath, newID(), 3000, "Transfer-Encoding: chunked")+"\r\n")
	for i := 0; i < wildChunks && err == nil && time.Now().Before(stop); i++ {
		select {
		case <-gone:
			return
		case <-time.After(wildPause):
		}
		_, err = io.WriteString(conn, "1\r\na\r\n")
	}
	if err == nil {
		<-gone // just short of the end
	}
}
