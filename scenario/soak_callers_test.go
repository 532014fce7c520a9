package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Lengths of the soak's requests.
const (
	callerAttempts = 60
	callerPause    = 100 * time.Millisecond
	shortAnswer    = 120  // tokens
	longAnswer     = 1200 // tokens
	longShare      = 0.1
	orderShare     = 0.4
)

// attempt is one answer that a caller got for an order.
type attempt struct {
	status int
	ran    string
	body   string
}

// history is what the callers and watchers saw.
type history struct {
	mu       sync.Mutex
	orders   map[string][]attempt
	chats    int
	whole    int
	resumed  int
	refused  map[string]int
	lost     []string // accepted answers that never became whole
	mixed    []string
	reverted []string
}

func (h *history) note(change func(*history)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orders == nil {
		h.orders, h.refused = map[string][]attempt{}, map[string]int{}
	}
	change(h)
}

func (s *soak) runCaller(n int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(n)+100))
	for time.Now().Before(s.deadline) {
		if random.Float64() < orderShare {
			s.placeOrder(random)
		} else {
			s.askChat(random)
		}
	}
}

// liveAddress returns the address of a random entry host that callers know.
func (s *soak) liveAddress(random *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := s.liveNames()
	return s.live[names[random.IntN(len(names))]].callers
}

var soakClient = &http.Client{Timeout: 30 * time.Second}

// placeOrder sends one order until its outcome is known, sometimes to two
// entry hosts at once.
func (s *soak) placeOrder(random *rand.Rand) {
	key := uuid.Must(uuid.NewV7()).String()
	var racing sync.WaitGroup
	if random.IntN(4) == 0 {
		address := s.liveAddress(random)
		racing.Add(1)
		go func() {
			defer racing.Done()
			s.sendOrder(address, key)
		}()
	}
	for range callerAttempts {
		last := s.sendOrder(s.liveAddress(random), key)
		if last.status == http.StatusOK || (last.status != 0 && last.ran == "unknown" && random.IntN(4) == 0) {
			break
		}
		time.Sleep(callerPause)
	}
	racing.Wait()
}

func (s *soak) sendOrder(address, key string) attempt {
	var a attempt
	req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/services/print-orders/orders", strings.NewReader(`{"n":1}`))
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Idempotency-Key", key)
	res, err := soakClient.Do(req)
	if err == nil {
		a.status = res.StatusCode
		a.body, a.ran = readRefusal(res)
	}
	s.history.note(func(h *history) {
		h.orders[key] = append(h.orders[key], a)
		h.refused["order "+strconv.Itoa(a.status)+" "+refusalType(a.body)]++
	})
	return a
}

func readRefusal(res *http.Response) (body, ran string) {
	defer func() { _ = res.Body.Close() }()
	var text strings.Builder
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		text.WriteString(scanner.Text())
	}
	var refusal struct {
		Error struct {
			Ran string `json:"ran"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(text.String()), &refusal)
	return text.String(), refusal.Error.Ran
}

func refusalType(body string) string {
	var refusal struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(body), &refusal)
	return refusal.Error.Type
}

// askChat streams one answer, reconnecting elsewhere until it is whole.
func (s *soak) askChat(random *rand.Rand) {
	want := 1 + random.IntN(shortAnswer)
	if random.Float64() < longShare {
		want = 1 + random.IntN(longAnswer)
	}
	reader := &answerReader{want: want}
	body := fmt.Sprintf(`{"model":"badge-wording","stream":true,"messages":[{"role":"user","content":"tokens=%d names"}]}`, want)
	for range callerAttempts {
		s.readStream(reader, s.liveAddress(random), body)
		if reader.done || reader.fault != "" {
			break
		}
		if reader.id != "" {
			s.history.note(func(h *history) { h.resumed++ })
		}
		time.Sleep(callerPause)
	}
	s.history.note(func(h *history) {
		switch {
		case reader.id == "":
			return
		case reader.fault != "":
			h.mixed = append(h.mixed, reader.id+": "+reader.fault)
		case !reader.done:
			h.lost = append(h.lost, fmt.Sprintf("%s at token %d of %d: %s", reader.id, reader.next, want, reader.refusal))
		default:
			h.whole++
		}
		h.chats++
	})
}

// readStream opens or resumes an answer and reads until the connection ends.
func (s *soak) readStream(r *answerReader, address, body string) {
	method, url := http.MethodPost, "http://"+address+"/v1/chat/completions"
	if r.id != "" {
		method, url, body = http.MethodGet, "http://"+address+"/v1/requests/"+r.id+"/events", ""
	}
	req, _ := http.NewRequest(method, url, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Content-Type", "application/json")
	if r.next > 0 {
		req.Header.Set("Last-Event-ID", r.lastEvent)
	}
	res, err := soakClient.Do(req)
	if err != nil {
		return
	}
	if res.StatusCode != http.StatusOK {
		r.refusal, _ = readRefusal(res)
		s.history.note(func(h *history) { h.refused["chat "+strconv.Itoa(res.StatusCode)+" "+refusalType(r.refusal)]++ })
		return
	}
	defer func() { _ = res.Body.Close() }()
	if r.id == "" {
		r.id = res.Header.Get("X-Request-Id")
	}
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() && r.fault == "" && !r.done {
		r.line(scanner.Text())
	}
}

// answerReader checks that each token names its request and index, once.
type answerReader struct {
	id    string
	want  int
	next  int
	done  bool
	event string
	// eventID is the id of the event that is read, lastEvent that of the last token.
	eventID, lastEvent string

	fault   string
	refusal string
}

func (r *answerReader) line(text string) {
	if text == "" {
		r.event = ""
	}
	if name, ok := strings.CutPrefix(text, "event: "); ok {
		r.event = name
	}
	if id, ok := strings.CutPrefix(text, "id: "); ok {
		r.eventID = id
	}
	data, ok := strings.CutPrefix(text, "data: ")
	switch {
	case !ok:
	case data == "[DONE]":
		r.finish()
	case r.event != "":
		r.refusal = r.event + " " + data
	default:
		r.token(data)
	}
}

func (r *answerReader) finish() {
	r.done = true
	if r.next != r.want {
		r.fault = fmt.Sprintf("ended after %d of %d tokens", r.next, r.want)
	}
}

func (r *answerReader) token(data string) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
		r.fault = "no chunk: " + data
		return
	}
	content := chunk.Choices[0].Delta.Content
	if content == "" {
		return
	}
	if !strings.HasPrefix(content, fmt.Sprintf("%s.%d.", r.id, r.next)) {
		r.fault = fmt.Sprintf("token %d is %q", r.next, content)
	}
	r.next++
	r.lastEvent = r.eventID
}
