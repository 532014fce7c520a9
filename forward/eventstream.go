package forward

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// eventPasser passes on whole events and knows the id of the last one.
type eventPasser struct {
	e *exchange
	// dedupe leaves out events that were passed on before and refuses a gap:
	// the stream may be put together from several upstreams.
	dedupe       bool
	lastID       int64
	lastAt       time.Time // when the last event was passed on
	callerFailed bool
}

// cutError is the cause of a stream that ended within an event.
type cutError struct{}

// Error implements error.
func (cutError) Error() string { return "the stream ended within an event" }

// gapError is the cause of a stream whose events do not follow each other.
type gapError struct{ last, next int64 }

// Error implements error.
func (e *gapError) Error() string {
	return "event " + strconv.FormatInt(e.next, 10) + " came after event " + strconv.FormatInt(e.last, 10)
}

// oversizeError is the cause of a stream whose next event does not end.
type oversizeError struct{}

// Error implements error.
func (oversizeError) Error() string { return "an event of the stream is too large" }

// eventBytes bounds one event of a stream; those of known upstreams are under
// 1 KiB.
const eventBytes = 32 << 10

// copy passes events on until the stream ends; first is called before the
// first one.
func (p *eventPasser) copy(a io.Reader, first func()) error {
	buffer := make([]byte, 0, streamBuffer)
	searched := 0 // bytes at the start of the buffer that hold no end of an event
	for {
		if len(buffer) >= eventBytes {
			return oversizeError{}
		}
		if len(buffer) == cap(buffer) {
			buffer = slices.Grow(buffer, len(buffer))
		}
		n, err := a.Read(buffer[len(buffer):min(cap(buffer), eventBytes)])
		buffer = buffer[:len(buffer)+n]
		overlap := max(0, searched-len(boundaryCRLF)+1)
		if whole := wholeEvents(buffer[overlap:]); whole > 0 {
			whole += overlap
			if err := p.pass(buffer[:whole], first); err != nil {
				return err
			}
			buffer = append(buffer[:0], buffer[whole:]...)
		}
		searched = len(buffer)
		if errors.Is(err, io.EOF) {
			if len(buffer) > 0 {
				return cutError{}
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// pass writes whole events to the caller.
func (p *eventPasser) pass(events []byte, first func()) error {
	var out []byte
	for len(events) > 0 {
		end := nextEvent(events)
		id, ok := eventID(events[:end])
		switch {
		case ok && p.dedupe && id <= p.lastID:
		case ok && p.dedupe && p.lastID > 0 && id != p.lastID+1:
			return &gapError{last: p.lastID, next: id}
		default:
			out = append(out, events[:end]...)
		}
		if ok {
			p.lastID = max(p.lastID, id)
		}
		events = events[end:]
	}
	if len(out) == 0 {
		return nil
	}
	now := time.Now()
	if !p.lastAt.IsZero() {
		p.e.pause = max(p.e.pause, now.Sub(p.lastAt))
	}
	p.lastAt = now
	first()
	if _, err := p.e.w.Write(out); err != nil {
		p.callerFailed = true
		return err
	}
	if err := http.NewResponseController(p.e.w).Flush(); err != nil {
		p.callerFailed = true
		return err
	}
	return nil
}

var (
	boundary     = []byte("\n\n")
	boundaryCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// wholeEvents returns the length of the whole events at the start of a buffer.
func wholeEvents(buffer []byte) int {
	end := 0
	if i := bytes.LastIndex(buffer, boundary); i >= 0 {
		end = i + len(boundary)
	}
	if i := bytes.LastIndex(buffer, boundaryCRLF); i >= 0 {
		end = max(end, i+len(boundaryCRLF))
	}
	return end
}

// nextEvent returns the length of the first event.
func nextEvent(events []byte) int {
	end := len(events)
	if i := bytes.Index(events, boundary); i >= 0 {
		end = i + len(boundary)
	}
	if i := bytes.Index(events, boundaryCRLF); i >= 0 {
		end = min(end, i+len(boundaryCRLF))
	}
	return end
}

// eventID returns the number of an event; ok is false where it has none.
func eventID(event []byte) (id int64, ok bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idField); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
