package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	maxConnections = 100
	reconnectPause = 20 * time.Millisecond
)

// streamReader reads one streamed answer over at most maxConnections connections and
// records the longest gap between two tokens.
type streamReader struct {
	fleet       *fleet
	options     streamsOptions
	number      int // prefix that makes the prompt unique to this reader
	id          string
	lastEvent   string
	tokens      int
	connections int
	done        bool
	fault       string
	accepted    time.Duration // time from the request to the response headers
	longestGap  time.Duration // longest time between two tokens after the injected host failure
	last        time.Time
}

func (r *streamReader) run(ctx context.Context) {
	for turn := 0; turn < maxConnections && !r.done && r.fault == ""; turn++ {
		r.connect(ctx, r.fleet.entries[turn%len(r.fleet.entries)])
		if !r.done {
			time.Sleep(reconnectPause)
		}
	}
}

// connect requests the answer, or resumes it after the last received event, and reads until
// the answer or the connection ends.
func (r *streamReader) connect(ctx context.Context, entry string) {
	r.connections++
	asked := time.Now()
	res, err := http.DefaultClient.Do(r.request(ctx, entry))
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return
	}
	if r.id == "" {
		r.accepted = time.Since(asked)
	}
	r.id = res.Header.Get("X-Request-Id")
	scanner := bufio.NewScanner(res.Body)
	id := ""
	for scanner.Scan() && !r.done && r.fault == "" {
		name, value, _ := strings.Cut(scanner.Text(), ": ")
		switch {
		case name == "id":
			id = value
		case name == "event" && value == "error":
			r.fault = "refused"
		case name == "data":
			r.data(id, value)
		}
	}
}

func (r *streamReader) request(ctx context.Context, entry string) *http.Request {
	method, url, body := http.MethodGet, "http://"+entry+"/v1/requests/"+r.id+"/events", io.Reader(nil)
	if r.id == "" {
		prompt := fmt.Sprintf("%d tokens=%d ", r.number, r.options.tokens) + strings.Repeat("name", r.options.prompt)
		text, _ := json.Marshal(map[string]any{
			"model": fleetService, "stream": true, "messages": []map[string]string{{"role": "user", "content": prompt}},
		})
		method, url, body = http.MethodPost, "http://"+entry+"/v1/chat/completions", strings.NewReader(string(text))
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+fleetKey)
	req.Header.Set("Content-Type", "application/json")
	if r.lastEvent != "" {
		req.Header.Set("Last-Event-ID", r.lastEvent)
	}
	return req
}

// data processes the data of one event and sets fault if its token is not the next one.
func (r *streamReader) data(id, value string) {
	if value == "[DONE]" {
		r.done = true
		if r.tokens != r.options.tokens {
			r.fault = "short"
		}
		return
	}
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(value), &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return
	}
	if !strings.HasPrefix(chunk.Choices[0].Delta.Content, fmt.Sprintf("%s.%d.", r.id, r.tokens)) {
		r.fault = "mixed"
		return
	}
	if r.fleet.countGaps.Load() && !r.last.IsZero() {
		r.longestGap = max(r.longestGap, time.Since(r.last))
	}
	r.last, r.lastEvent = time.Now(), id
	r.tokens++
}
