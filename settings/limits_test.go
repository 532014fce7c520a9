package settings

import (
	"errors"
	"strings"
	"testing"
)

// forwardingWithMemory is a settings file that limits the memory of the process.
const forwardingWithMemory = `{
"host_id": "n1", "failure_domain": "a", "region": "r", "listen": "127.0.0.1:1", "ready_listen": "127.0.0.1:2",
"directory_listen": "127.0.0.1:3", "inner_listen": "127.0.0.1:4", "metrics_listen": "127.0.0.1:5", "store": "127.0.0.1:6",
"memory_mb": 144
}`

// TestLimitsOfCallers guards against limits that no request fits in, which would make a host refuse everything.
func TestLimitsOfCallers(t *testing.T) {
	for fields, want := range map[string]string{
		`"caller_memory_share": 0.01`: "caller_memory_share", `"caller_memory_share": 0.9`: "caller_memory_share", `"caller_memory_share": -1`: "caller_memory_share",
		`"max_descriptors": 10`: "max_descriptors", `"max_descriptors": -1`: "max_descriptors", `"caller_silence_seconds": -1`: "caller_silence_seconds",
		`"cores": -1`: "cores", `"link_mbps": -1`: "link_mbps", `"max_descriptors": 1024, "caller_memory_share": 0.3, "caller_silence_seconds": 4`: "",
	} {
		_, err := ParseForwarding("s.json", []byte(strings.Replace(forwardingWithMemory, `"memory_mb"`, fields+`, "memory_mb"`, 1)))
		var failed *Error
		if errors.As(err, &failed); (err == nil) != (want == "") || err != nil && failed.Field != want {
			t.Errorf("%s: got %v, want an error of field %q", fields, err, want)
		}
	}
	_, err := ParseForwarding("s.json", []byte(strings.Replace(forwardingWithMemory, "144", "-1", 1)))
	var failed *Error
	if !errors.As(err, &failed) || failed.Field != "memory_mb" {
		t.Errorf("negative memory: got %v", err)
	}
}

// TestMemoryForCallers guards against a host whose callers are not limited because its memory is not set, and against
// one that cannot take the largest body.
func TestMemoryForCallers(t *testing.T) {
	for _, c := range []struct {
		memoryMB int64
		share    float64
		want     int64
	}{{0, 0, 40 << 20}, {144, 0, 36 << 20}, {144, 0.5, 72 << 20}, {16, 0, 12 << 20}} {
		if got := (Forwarding{MemoryMB: c.memoryMB, CallerMemoryShare: c.share}).CallerBytes(); got != c.want {
			t.Errorf("memory %d MiB, share %v: callers may hold %d bytes, want %d", c.memoryMB, c.share, got, c.want)
		}
	}
	if got := (Settings{}).CallerBytes(); got != 40<<20 {
		t.Errorf("chat front end: callers may hold %d bytes, want 40 MiB", got)
	}
}
