package callerlimits

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// program is the path of the built cardamompierd binary.
var program string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "cardamompier-callerlimits")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		program = filepath.Join(dir, "cardamompierd")
		build := exec.Command("go", "build", "-o", program, "../cmd/cardamompierd")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			panic(err)
		}
		return m.Run()
	}())
}

// firstPort and portCount define a port range below the ephemeral ports of outgoing connections.
const firstPort, portCount = 10000, 20000

// nextPort counts the ports that freePort has tried.
var nextPort atomic.Int64

// freePort returns an unused loopback address. The IP address is derived from the process ID, and each port is tried
// once.
func freePort(t *testing.T) string {
	t.Helper()
	syscall.ForkLock.RLock() // a process forked now would hold the listener open until its exec
	defer syscall.ForkLock.RUnlock()
	pid := os.Getpid()
	for range portCount {
		address := fmt.Sprintf("127.%d.%d.1:%d", 1+pid>>8&0x7f, pid&0xff, firstPort+nextPort.Add(1)%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port on the loopback address")
	return ""
}

// process is an entry host's process.
type process struct {
	command  *exec.Cmd
	exited   chan struct{}
	log      string
	mostOpen atomic.Int64 // most open descriptors that were seen
}

// startProcess starts the program with a limit of open descriptors, and ends it when the test ends.
func startProcess(t *testing.T, log string, descriptors int, args ...string) *process {
	t.Helper()
	file, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	cmd := exec.Command("sh", append([]string{"-c", script, program}, args...)...)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{command: cmd, exited: make(chan struct{}), log: log}
	go func() {
		_ = cmd.Wait()
		_ = file.Close()
		close(p.exited)
	}()
	watched := make(chan struct{})
	go p.watchDescriptors(watched)
	t.Cleanup(func() {
		close(watched)
		_ = cmd.Process.Kill()
		<-p.exited
	})
	return p
}

// watchDescriptors records the most open descriptors of the process until done is closed.
func (p *process) watchDescriptors(done chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			p.mostOpen.Store(max(p.mostOpen.Load(), int64(p.openDescriptors())))
		}
	}
}

// openDescriptors returns the number of open descriptors of the process; 0 if it has ended.
func (p *process) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// lives reports whether the process has not ended.
func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// memory returns a size from the status of the process, in KiB: VmHWM is the largest resident size so far, VmRSS the
// present one.
func (p *process) memory(t *testing.T, name string) int64 {
	t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Fatalf("status of the process: %v", err)
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+":"); ok {
			kib, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kib
		}
	}
	t.Fatalf("the status of the process has no %s", name)
	return 0
}

// check checks that the process lives and that its memory and descriptors are within their bounds.
func (p *process) check(t *testing.T, memoryMB int) {
	t.Helper()
	if !p.lives() {
		t.Fatalf("the process has ended: %v", p.command.ProcessState)
	}
	peak, resident := p.memory(t, "VmHWM"), p.memory(t, "VmRSS")
	t.Logf("VmHWM %d KiB, VmRSS %d KiB, most descriptors %d", peak, resident, p.mostOpen.Load())
	if bound := int64(memoryMB) << 10; peak > bound || resident > bound {
		t.Errorf("resident memory was up to %d KiB and is %d KiB, bound %d KiB", peak, resident, bound)
	}
	if open := p.mostOpen.Load(); open > openBound {
		t.Errorf("%d descriptors were open, bound %d", open, openBound)
	}
}

// await polls a condition every 20 ms and fails the test if it does not hold within the limit.
func await(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition does not hold within %v: %s", limit, what)
		}
	}
}
