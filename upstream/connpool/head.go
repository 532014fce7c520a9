package connpool

import (
	"bufio"
	"bytes"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/stricthttp"
	"github.com/cardamompier/cardamompier/upstream"
)

const (
	// maxHeadBytes bounds the head of a response: its status line and headers. It is the
	// size of a connection's read buffer, so that a head without an end uses no more
	// memory than any other. The heads of known upstreams are under 1 KiB.
	maxHeadBytes = 8 << 10
	// maxHeadLines bounds the number of lines of a response head, because each parsed
	// header uses about 100 bytes of memory in addition to its text.
	maxHeadLines = 128
	// headTimeout bounds the time from the first to the last byte of a response head.
	// It allows for a lost packet, which TCP retransmits within 1 s.
	headTimeout = 2 * time.Second
	// maxInformational is how many informational (1xx) responses may precede a response.
	maxInformational = 4
)

// HeadReason is the reason why the head of a response was rejected. Its values are
// labels of upstream.MalformedHeads.
type HeadReason string

// The reasons for which the head of a response is rejected.
const (
	// HeadNotHTTP means that the bytes do not start with "HTTP/".
	HeadNotHTTP HeadReason = "no_answer"
	// HeadTooLong means that the head exceeds maxHeadBytes.
	HeadTooLong HeadReason = "too_long"
	// HeadTooManyLines means that the head exceeds maxHeadLines.
	HeadTooManyLines HeadReason = "too_many_lines"
	// HeadTooSlow means that the head did not end within headTimeout.
	HeadTooSlow HeadReason = "too_slow"
	// HeadInformationalOnly means that more than maxInformational 1xx responses arrived.
	HeadInformationalOnly HeadReason = "informational_only"
	// HeadMismatchedOnly means that too many responses to other requests arrived, or one
	// that was too long.
	HeadMismatchedOnly HeadReason = "strays_only"
	// HeadInvalidStatus means that HTTP does not have the status, or that the upstream switches protocols unasked.
	HeadInvalidStatus HeadReason = "invalid_status"
	// HeadInvalidField means that a line of the head does not begin with a valid name of a field.
	HeadInvalidField HeadReason = "invalid_field_name"
)

// HeadError is the cause of a failed exchange in which the upstream sent bytes, but
// no valid response to the request.
type HeadError struct{ Reason HeadReason }

// Error returns the reason for which the response head was rejected.
func (e *HeadError) Error() string { return "response head rejected: " + string(e.Reason) }

// Whole reports whether the upstream sent a whole head, though not a valid one. It was running then.
func (e *HeadError) Whole() bool {
	return e.Reason == HeadInvalidStatus || e.Reason == HeadInvalidField
}

// headError counts a rejected response head and returns its error.
func headError(reason HeadReason) error {
	upstream.MalformedHeads.Inc(string(reason))
	return &HeadError{Reason: reason}
}

// protocolPrefix is the start of every HTTP response.
var protocolPrefix = []byte("HTTP/")

// readHead reads the head of the next response. It parses the head only once the whole
// head is buffered, so that the size and the duration of the read are bounded whatever
// the upstream sends.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	size, err := c.awaitHead()
	if err != nil {
		return nil, err
	}
	head, err := c.reader.Peek(size)
	if err != nil {
		return nil, err
	}
	if err := stricthttp.CheckFieldLines(head); err != nil {
		return nil, invalidHead(err)
	}
	res, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, err
	}
	if err := stricthttp.CheckStatus(req, res.StatusCode); err != nil {
		return nil, invalidHead(err)
	}
	return res, nil
}

// invalidHead maps the error of a check of package stricthttp to a HeadError.
func invalidHead(err error) error {
	var invalid *stricthttp.HeadError
	if !errors.As(err, &invalid) {
		return err
	}
	return headError(HeadReason(invalid.Reason))
}

// awaitHead waits until the read buffer holds a whole response head and returns its size in
// bytes. It returns an error if the head exceeds a limit on size, lines or time.
func (c *Conn) awaitHead() (size int, err error) {
	deadlineSet := false
	for searched := 0; ; {
		data, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return 0, err
		}
		if n := min(len(data), len(protocolPrefix)); !bytes.Equal(data[:n], protocolPrefix[:n]) {
			return 0, headError(HeadNotHTTP)
		}
		if end, ok := headEnd(data, searched); ok {
			if bytes.Count(data[:end], []byte("\n")) > maxHeadLines {
				return 0, headError(HeadTooManyLines)
			}
			if deadlineSet {
				return end, c.SetReadDeadline(time.Time{})
			}
			return end, nil
		}
		if searched = len(data); searched > 0 && !deadlineSet {
			deadlineSet = true
			if err := c.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
				return 0, err
			}
		}
		if _, err := c.reader.Peek(searched + 1); err != nil {
			return 0, headReadError(err, deadlineSet)
		}
	}
}

// headReadError maps a full read buffer and an expired head deadline to a HeadError and
// returns any other read error unchanged.
func headReadError(err error, deadlineSet bool) error {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return headError(HeadTooLong)
	case deadlineSet && errors.As(err, &timeout) && timeout.Timeout():
		return headError(HeadTooSlow)
	default:
		return err
	}
}

// headEnd returns the length of the response head at the start of data, and false if
// the head does not end in data. An earlier call found no end in the first searched bytes.
func headEnd(data []byte, searched int) (end int, ok bool) {
	for pos := max(0, searched-2); ; {
		i := bytes.IndexByte(data[pos:], '\n')
		if i < 0 {
			return 0, false
		}
		pos += i + 1
		switch rest := data[pos:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return pos + 1, true
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return pos + 2, true
		}
	}
}
