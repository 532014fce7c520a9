package scenario

import (
	"net/http"
	"strings"
	"time"
)

// joinWait bounds the wait for a new entry host to find the others; a host
// that starts in an outage goes on without.
const joinWait = 3 * time.Second

// awaitJoined waits until an entry host says that it joined, or joinWait is over.
func awaitJoined(p *process) {
	for deadline := time.Now().Add(joinWait); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		_, text, err := request(http.MethodGet, "http://"+p.inner+"/status", "", "", "")
		if err == nil && strings.Contains(text, `"joined":true`) {
			return
		}
	}
}
