package callerlimits

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/cardamompier/cardamompier/settings"
	"github.com/cardamompier/cardamompier/standin/platform"
)

const (
	// chatMemoryMB bounds the resident memory of the chat front end, in MiB: the memory of the smallest hosts.
	chatMemoryMB = 160
	// chatBodyLimit is the size limit of a body of the chat front end.
	chatBodyLimit = 4 << 20
)

// chatHost is an entry host with the chat front end.
type chatHost struct {
	*process
	listen, inner string
}

// startChat starts a platform stand-in and a chat front end, and waits until it answers.
func startChat(t *testing.T) *chatHost {
	t.Helper()
	server := httptest.NewServer(platform.New(nil).Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	h := &chatHost{listen: freePort(t), inner: freePort(t)}
	data, err := json.Marshal(settings.Settings{
		HostID: "n0", FailureDomain: "a", Listen: h.listen, InnerListen: h.inner,
		Platform: settings.Platform{KeyValue: server.URL, HostList: server.URL},
	}.WithDefaults())
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	h.process = startProcess(t, file+".log", descriptors, "--settings", file)
	await(t, answerTimeout, "the chat front end answers", func() bool { return answers(h.listen, "/v1/addresses") })
	return h
}

// chatShort returns a sender of a conversation that stops short of its end.
func chatShort(framing, piece string, bytes int) func(net.Conn, string) error {
	return func(conn net.Conn, head string) error { return start(conn, head+framing, piece, bytes) }
}

// TestChatCallersBeyondLimits guards against the end of a chat front end by its callers, for lack of memory or
// descriptors.
func TestChatCallersBeyondLimits(t *testing.T) {
	text := chunk(4096)
	kinds := []kind{
		headKinds[1], headKinds[2], headKinds[4], headKinds[7],
		{"conversations short of their end in chunks", 60, chatShort(chunkedEnd, text, chatBodyLimit)},
		{"conversations short of their announced length", 60, chatShort(fmt.Sprintf("Content-Length: %d\r\n\r\n", chatBodyLimit), "x", chatBodyLimit-1)},
		{"conversations over the limit", 60, chatShort(chunkedEnd, text, 4*chatBodyLimit)},
	}
	for _, l := range []struct {
		name, path string
		address    func(*chatHost) string
		kinds      []kind
	}{
		{"callers", "/v1/chat/completions", func(h *chatHost) string { return h.listen }, kinds},
		{"inner", "/inner", func(h *chatHost) string { return h.inner }, kinds[:4]},
	} {
		for _, k := range l.kinds {
			t.Run(l.name+"/"+k.name, func(t *testing.T) {
				h := startChat(t)
				head := "POST " + l.path + " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
				c := k.play(t, l.address(h), head)
				defer c.close()
				h.check(t, chatMemoryMB)
				await(t, answerTimeout, "an ordinary request is answered", func() bool { return answers(h.listen, "/v1/addresses") })
				h.check(t, chatMemoryMB)
			})
		}
	}
}
