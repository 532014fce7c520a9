package connpool

import (
	"bufio"
	"bytes"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/metrics"
)

const (
	// headBytes bounds the head of an answer. It is the size of a connection's
	// read buffer, so that a head without end takes no more memory than any
	// other. The heads of known upstreams are under 1 KiB.
	headBytes = 8 << 10
	// headLines bounds the lines of a head: each header takes about 100 bytes
	// beside its text.
	headLines = 128
	// headTime bounds the time from the first byte of a head to its end: a lost
	// packet is sent again within a second.
	headTime = 2 * time.Second
	// maxInformational is how many informational answers may come before an answer.
	maxInformational = 4
)

// Malformed counts heads of answers that were given up, by reason.
var Malformed = metrics.New("upstream_malformed_heads_total", "Heads of upstreams' answers that were given up, by reason.")

// HeadReason says why the head of an answer was given up; also the labels of
// Malformed.
type HeadReason string

// The reasons.
const (
	HeadNoAnswer      HeadReason = "no_answer"
	HeadTooLong       HeadReason = "too_long"
	HeadTooManyLines  HeadReason = "too_many_lines"
	HeadTooSlow       HeadReason = "too_slow"
	HeadInformational HeadReason = "informational_only"
	HeadStrays        HeadReason = "strays_only"
)

// HeadError is the cause of an exchange whose connection carried bytes that
// are no answer to its request.
type HeadError struct{ Reason HeadReason }

// Error implements error.
func (e *HeadError) Error() string { return "no head of an answer came: " + string(e.Reason) }

func headError(reason HeadReason) error {
	Malformed.Inc(string(reason))
	return &HeadError{Reason: reason}
}

// protocolPrefix begins each answer.
var protocolPrefix = []byte("HTTP/")

// readHead reads the head of the next answer. The whole head is in the buffer
// before it is parsed, so that neither its size nor its duration is the
// upstream's to choose.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	if err := c.awaitHead(); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, req)
}

// awaitHead waits until the buffer holds a whole head.
func (c *Conn) awaitHead() error {
	timed := false
	for searched := 0; ; {
		data, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return err
		}
		if known := min(len(data), len(protocolPrefix)); !bytes.Equal(data[:known], protocolPrefix[:known]) {
			return headError(HeadNoAnswer)
		}
		if end, ok := headEnd(data, searched); ok {
			if bytes.Count(data[:end], []byte("\n")) > headLines {
				return headError(HeadTooManyLines)
			}
			if timed {
				return c.SetReadDeadline(time.Time{})
			}
			return nil
		}
		if searched = len(data); searched > 0 && !timed {
			timed = true
			if err := c.SetReadDeadline(time.Now().Add(headTime)); err != nil {
				return err
			}
		}
		if _, err := c.reader.Peek(searched + 1); err != nil {
			return headFailure(err, timed)
		}
	}
}

// headFailure classifies a failed read of a head.
func headFailure(err error, timed bool) error {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return headError(HeadTooLong)
	case timed && errors.As(err, &timeout) && timeout.Timeout():
		return headError(HeadTooSlow)
	default:
		return err
	}
}

// headEnd returns the length of the head at the start of data. searched bytes
// were seen before and hold no end.
func headEnd(data []byte, searched int) (end int, ok bool) {
	for at := max(0, searched-2); ; {
		i := bytes.IndexByte(data[at:], '\n')
		if i < 0 {
			return 0, false
		}
		at += i + 1
		switch rest := data[at:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1, true
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2, true
		}
	}
}
