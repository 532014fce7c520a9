package gateway

import (
	"encoding/json"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/genlog"
)

// eventWriter encodes the chunks of one answer as server-sent events. The methods
// encode and failure reuse the buffer and so overwrite the events returned before.
type eventWriter struct {
	log    *genlog.Log
	prefix []byte // fixed start of the data of a token event, up to the delta object
	buffer []byte
}

func newEventWriter(log *genlog.Log) *eventWriter {
	head, _ := json.Marshal(struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
	}{log.RequestID, "chat.completion.chunk", time.Now().Unix(), log.Service})
	prefix := append([]byte("\ndata: "), head[:len(head)-1]...)
	return &eventWriter{log: log, prefix: append(prefix, `,"choices":[{"index":0,"delta":`...)}
}

// encode returns the events of a chunk. The first token of the chunk has the index from.
func (e *eventWriter) encode(chunk genlog.Chunk, from int) []byte {
	e.buffer = e.buffer[:0]
	for i := range chunk.Len() {
		e.event(from+i, chunk.BranchEpoch())
		e.buffer = append(e.buffer, `{"content":`...)
		e.buffer = appendJSONString(e.buffer, chunk.Token(i))
		e.buffer = append(e.buffer, "},\"finish_reason\":null}]}\n\n"...)
	}
	switch chunk.State {
	case genlog.StateDone:
		e.event(from+chunk.Len(), chunk.BranchEpoch())
		e.buffer = append(e.buffer, "{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"...)
	case genlog.StateFailed:
		e.named("error", apierr.BodyFor(chunk.Failed, e.log.RequestID))
	}
	return e.buffer
}

// failure returns the error event that ends an incomplete answer.
func (e *eventWriter) failure(err *apierr.Error) []byte {
	e.buffer = e.buffer[:0]
	e.named("error", apierr.BodyFor(err, e.log.RequestID))
	return e.buffer
}

// movedBody is the data of a moved event: the entry hosts at which the caller can resume the
// answer.
type movedBody struct {
	RequestID string `json:"request_id"`
	Addresses
}

// moved returns the events of the last call of encode, followed by the event that directs the
// caller to other entry hosts.
func (e *eventWriter) moved(addresses Addresses) []byte {
	e.named("moved", movedBody{RequestID: e.log.RequestID, Addresses: addresses})
	return e.buffer
}

// named appends an event with an event name and body as JSON.
func (e *eventWriter) named(name string, body any) {
	data, _ := json.Marshal(body)
	e.buffer = append(e.buffer, "event: "...)
	e.buffer = append(e.buffer, name...)
	e.buffer = append(e.buffer, "\ndata: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
}

// event appends the start of a token event: its id and the fixed prefix of its data.
func (e *eventWriter) event(id int, branch uint64) {
	e.buffer = append(e.buffer, "id: "...)
	if branch != 0 {
		e.buffer = strconv.AppendUint(e.buffer, branch, 10)
		e.buffer = append(e.buffer, branchSeparator...)
	}
	e.buffer = strconv.AppendInt(e.buffer, int64(id), 10)
	e.buffer = append(e.buffer, e.prefix...)
}

const hexDigits = "0123456789abcdef"

// appendJSONString appends text to out as a JSON string. Bytes that are not valid UTF-8 become the
// replacement character U+FFFD, as in encoding/json.
func appendJSONString(out, text []byte) []byte {
	out = append(out, '"')
	for i := 0; i < len(text); {
		c := text[i]
		switch {
		case c == '"' || c == '\\':
			out = append(out, '\\', c)
		case c < 0x20 || c == 0x7f:
			out = append(out, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&0xf])
		case c < utf8.RuneSelf:
			out = append(out, c)
		default:
			r, size := utf8.DecodeRune(text[i:])
			out = utf8.AppendRune(out, r)
			i += size
			continue
		}
		i++
	}
	return append(out, '"')
}
