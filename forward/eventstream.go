package forward

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
	"unicode"

	"github.com/go-faster/errors"
)

// eventRelay relays whole events of a stream to the caller and records the id of the
// last one.
type eventRelay struct {
	e *exchange
	// dedupe drops events that were already relayed and rejects a gap between event
	// ids. It is set if another upstream may continue the stream.
	dedupe            bool
	lastID            int64
	lastWriteAt       time.Time // when events were last written to the caller
	callerWriteFailed bool
	received          int // events received from the current upstream
}

// truncatedEventError is returned for a stream that ends within an event.
type truncatedEventError struct{}

// Error implements error.
func (truncatedEventError) Error() string { return "the upstream's stream ended within an event" }

// malformedEventError is returned for bytes that are no event of a stream that another upstream may
// continue, such as the text of an error.
type malformedEventError struct{}

// Error implements error.
func (malformedEventError) Error() string {
	return "the upstream's stream contains bytes that are no event with an id"
}

// emptyStreamError is returned for a stream without any event that does not state its own end.
// An upstream that crashes as it begins to answer ends such a stream in the same way.
type emptyStreamError struct{}

// Error implements error.
func (emptyStreamError) Error() string { return "the upstream's stream ended without an event" }

// eventGapError is returned for a stream whose event ids are not consecutive.
type eventGapError struct{ last, next int64 }

// Error implements error.
func (e *eventGapError) Error() string {
	return "event " + strconv.FormatInt(e.next, 10) + " follows event " + strconv.FormatInt(e.last, 10)
}

// oversizeEventError is returned for a stream with an event that does not end within
// maxEventBytes bytes.
type oversizeEventError struct{}

// Error implements error.
func (oversizeEventError) Error() string {
	return "an event of the upstream's stream exceeds the size limit"
}

// maxEventBytes limits the size of one event of a stream. Events of known upstreams
// are smaller than 1 KiB.
const maxEventBytes = 32 << 10

// copy relays events until the stream ends. It calls beginAnswer before it
// writes events to the caller.
func (p *eventRelay) copy(body io.Reader, beginAnswer func()) error {
	p.received = 0
	// The events that are relayed are copied from the buffer, so that it counts twice.
	_ = p.e.chargeAnswer(2 * streamReadSize)
	buffer := make([]byte, 0, streamReadSize)
	searchedLen := 0 // length of the buffer's prefix that contains no end of an event
	for {
		if len(buffer) >= maxEventBytes {
			return oversizeEventError{}
		}
		if len(buffer) == cap(buffer) {
			_ = p.e.chargeAnswer(2 * int64(len(buffer)))
			buffer = slices.Grow(buffer, len(buffer))
		}
		n, err := body.Read(buffer[len(buffer):min(cap(buffer), maxEventBytes)])
		buffer = buffer[:len(buffer)+n]
		overlap := max(0, searchedLen-len(eventEndCRLF)+1)
		if completeLen := completeEventsLen(buffer[overlap:]); completeLen > 0 {
			completeLen += overlap
			if err := p.writeEvents(buffer[:completeLen], beginAnswer); err != nil {
				return err
			}
			buffer = append(buffer[:0], buffer[completeLen:]...)
		}
		searchedLen = len(buffer)
		if errors.Is(err, io.EOF) {
			if len(buffer) > 0 {
				return truncatedEventError{}
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeEvents writes whole events to the caller and flushes them. Those before an event that cannot be
// relayed are written too, as their ids count as relayed.
func (p *eventRelay) writeEvents(events []byte, beginAnswer func()) error {
	out, invalid := p.relayable(events)
	if err := p.write(out, beginAnswer); err != nil {
		return err
	}
	return invalid
}

// relayable returns the events that are to be relayed, up to the first one that cannot be, and the error of
// that one.
func (p *eventRelay) relayable(events []byte) (out []byte, err error) {
	for len(events) > 0 {
		end := firstEventLen(events)
		id, ok := eventID(events[:end])
		p.received++
		switch {
		case p.dedupe && !wellFormed(events[:end]):
			return out, malformedEventError{}
		case ok && p.dedupe && id <= p.lastID:
		case ok && p.dedupe && p.lastID > 0 && id != p.lastID+1:
			return out, &eventGapError{last: p.lastID, next: id}
		default:
			out = append(out, events[:end]...)
		}
		if ok {
			p.lastID = max(p.lastID, id)
		}
		events = events[end:]
	}
	return out, nil
}

// write writes events to the caller and flushes them.
func (p *eventRelay) write(out []byte, beginAnswer func()) error {
	if len(out) == 0 {
		return nil
	}
	now := time.Now()
	if !p.lastWriteAt.IsZero() {
		p.e.maxEventGap = max(p.e.maxEventGap, now.Sub(p.lastWriteAt))
	}
	p.lastWriteAt, p.e.heardAt = now, now
	beginAnswer()
	if now.Sub(p.e.firstByteAt) >= answeredAfter {
		p.e.reportBegun(p.e.firstByteAt)
	}
	if _, err := p.e.w.Write(out); err != nil {
		p.callerWriteFailed = true
		return err
	}
	if err := http.NewResponseController(p.e.w).Flush(); err != nil {
		p.callerWriteFailed = true
		return err
	}
	return nil
}

var (
	eventEndLF   = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// completeEventsLen returns the length in bytes of the complete events at the start of
// a buffer.
func completeEventsLen(buffer []byte) int {
	end := 0
	if i := bytes.LastIndex(buffer, eventEndLF); i >= 0 {
		end = i + len(eventEndLF)
	}
	if i := bytes.LastIndex(buffer, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}

// firstEventLen returns the length in bytes of the first event in a buffer.
func firstEventLen(events []byte) int {
	end := len(events)
	if i := bytes.Index(events, eventEndLF); i >= 0 {
		end = i + len(eventEndLF)
	}
	if i := bytes.Index(events, eventEndCRLF); i >= 0 {
		end = min(end, i+len(eventEndCRLF))
	}
	return end
}

// wellFormed reports whether each line of an event begins with a field name, and the event has one id. A
// block of comments, whose lines begin with a colon, is well-formed too.
func wellFormed(event []byte) bool {
	ids, fields := 0, 0
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || bytes.ContainsFunc(name, isNoFieldName) {
			return false
		}
		if len(name) > 0 {
			fields++
		}
		if bytes.HasPrefix(line, idField) {
			ids++
		}
	}
	return ids == min(fields, 1)
}

func isNoFieldName(r rune) bool {
	return !unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '-' && r != '_'
}

// eventID returns the number in the "id:" line of an event. ok is false if there is no
// such line or it holds no number.
func eventID(event []byte) (id int64, ok bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idField); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
