package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = crowd }

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

// ordinary sends one ordinary request and reports whether it was served.
func ordinary(address, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(conn, "POST /s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "+id+"\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody")
	if err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

func crowd(d *deployment, trouble bool) int {
	n, _ := strconv.Atoi(os.Getenv("N"))
	mode := os.Getenv("MODE")
	size, _ := strconv.Atoi(os.Getenv("SIZE"))
	mb, _ := strconv.Atoi(os.Getenv("MB"))
	d.store.Put("op/config", plainConfig())
	r := d.startRunner("i-1", "llm", "zone-a")
	r.events = 3
	h := d.addHost("front-1", "zone-a")
	d.writeSettings(h, func(s map[string]any) { s["memory_mb"] = mb; s["max_descriptors"] = 3075 })
	d.start(h)
	if !d.awaitReady(10 * time.Second) {
		return 2
	}
	time.Sleep(3 * time.Second)
	code, err := ordinary(h.listen, "before")
	d.record.log("ordinary before: %d %v", code, err)
	prefix := strings.Repeat("a:1,", 3850) + "b:1"
	var open atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(25 * time.Second)
	for i := range n {
		if !trouble {
			break
		}
		all.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i%200))}}
				conn, err := dialer.Dial("tcp", h.listen)
				if err != nil {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				open.Add(1)
				head := fmt.Sprintf("POST /s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: c%d-%d\r\nAuthorization: Bearer key\r\nToken-Count: 5,5\r\n", i, k)
				switch mode {
				case "prompt":
					io.WriteString(conn, head+"Prompt-Prefix: "+prefix+"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
				case "plain":
					io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
				case "large":
					io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x\r\n", size)+strings.Repeat("x", size-10))
				}
				conn.SetReadDeadline(end)
				io.Copy(io.Discard, conn)
				conn.Close()
				open.Add(-1)
				if os.Getenv("ONCE") != "" {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		if i%100 == 99 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	for time.Now().Before(end) {
		now, peak := memory(h.cmd.Process.Pid)
		code, err := ordinary(h.listen, fmt.Sprint("during-", time.Now().UnixNano()))
		d.record.log("open %d, resident %.0f MiB, peak %.0f MiB, ordinary %d %v", open.Load(), now, peak, code, err)
		time.Sleep(time.Second)
	}
	all.Wait()
	code, err = ordinary(h.listen, "after")
	_, peak := memory(h.cmd.Process.Pid)
	d.record.log("ordinary after: %d %v, peak %.0f", code, err, peak)
	return 0
}
