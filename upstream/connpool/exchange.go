package connpool

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Stage is how far an exchange proceeded before it failed.
type Stage string

// The stages at which an exchange can fail.
const (
	// StageConnect means that no connection was established and nothing was sent.
	StageConnect Stage = "connect"
	// StageUnsent means that the connection failed before any byte was written.
	StageUnsent Stage = "unsent"
	// StageSent means that bytes may have been sent, so the upstream may have run the request.
	StageSent Stage = "sent"
)

// Error describes a failed exchange, that is, a request without a usable response.
type Error struct {
	Address string
	Stage   Stage
	Cause   error
}

// Error returns the address, the stage and the cause as one line.
func (e *Error) Error() string {
	return "exchange with " + e.Address + " failed at stage " + string(e.Stage) + ": " + e.Cause.Error()
}

// Unwrap returns the cause of the failed exchange.
func (e *Error) Unwrap() error { return e.Cause }

const (
	// maxMismatched is how many responses to other requests an exchange skips.
	maxMismatched = 3
	// maxMismatchedBytes bounds the body of a response to another request, in bytes.
	maxMismatchedBytes = 1 << 20
)

// Answer is an upstream's HTTP response. Its body is read from the connection, so
// callers must call Close.
type Answer struct {
	*http.Response
	pool     *Pool
	conn     *Conn
	stop     func() bool
	sent     <-chan struct{}
	reusable bool // whether the connection can be reused after the body has been read
	closed   atomic.Bool
}

// writeTracker records whether Write was called on the underlying writer.
type writeTracker struct {
	io.Writer
	started atomic.Bool
}

// Write records the call and writes p to the underlying writer.
func (w *writeTracker) Write(p []byte) (int, error) {
	w.started.Store(true)
	return w.Writer.Write(p)
}

// Call is a request for Exchange. All fields are required.
type Call struct {
	Address string
	Request *http.Request
	// ID identifies the request.
	ID string
	// Check is called when a connection is open, before any byte is written. If it returns
	// an error, nothing is sent.
	Check func() error
	// Matches reports whether a response with the given header belongs to the request.
	Matches func(http.Header) bool
}

// Exchange sends a request and reads the head of its response. The connection is closed
// as soon as ctx is done, even while the body is being read. Errors are of type *Error.
func (p *Pool) Exchange(ctx context.Context, call Call) (*Answer, error) {
	address, req := call.Address, call.Request
	conn, err := p.Get(ctx, address, call.ID)
	if err != nil {
		return nil, &Error{Address: address, Stage: StageConnect, Cause: err}
	}
	if err := call.Check(); err != nil {
		p.put(conn)
		return nil, &Error{Address: address, Stage: StageUnsent, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	writer := &writeTracker{Writer: conn}
	sent := make(chan struct{})
	writeErr := make(chan error, 1)
	go func() { // an upstream may respond before it has read the whole request body
		defer close(sent)
		buffered := bufio.NewWriter(writer)
		err := req.Write(buffered)
		if err == nil {
			err = buffered.Flush()
		}
		writeErr <- err
	}()
	res, err := conn.readResponse(req, call.Matches)
	if err != nil {
		stop()
		_ = conn.Close()
		<-sent
		stage := StageSent
		if !writer.started.Load() {
			stage = StageUnsent
		}
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{Address: address, Stage: stage, Cause: err}
	}
	a := &Answer{Response: res, pool: p, conn: conn, stop: stop, sent: sent}
	conn.idleLimit = idleLimit(res.Header)
	a.reusable = !res.Close && res.ProtoAtLeast(1, 1) && a.Framed() && conn.idleLimit > 0
	return a, nil
}

// readResponse reads responses until one belongs to the request, and skips up to
// maxMismatched responses to other requests.
func (c *Conn) readResponse(req *http.Request, matches func(http.Header) bool) (*http.Response, error) {
	for mismatched, informational := 0, 0; ; {
		res, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		switch {
		case res.StatusCode < http.StatusOK:
			if informational++; informational > maxInformational {
				return nil, headError(HeadInformationalOnly)
			}
			continue
		case matches(res.Header):
			return res, nil
		}
		if mismatched++; mismatched > maxMismatched {
			return nil, headError(HeadMismatchedOnly)
		}
		if err := discardMismatched(res.Body); err != nil {
			return nil, err
		}
	}
}

// discardMismatched reads and discards the body of a response to another request. It
// returns an error if the body has maxMismatchedBytes or more.
func discardMismatched(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxMismatchedBytes))
	if err == nil && n == maxMismatchedBytes {
		return headError(HeadMismatchedOnly)
	}
	return err
}

// Framed reports whether the response states its own end, by a length or in chunks. The end
// of any other response is the end of its connection.
func (a *Answer) Framed() bool { return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 }

// CloseRejected is Close for a response with which the upstream rejected the request with the
// given id.
func (a *Answer) CloseRejected(id string, complete bool) {
	a.conn.rejected = append(a.conn.rejected, id)
	a.Close(complete && len(a.conn.rejected) < maxRejected)
}

// Close ends the exchange. complete reports whether the body was read to its end. If
// complete is false, Close closes the connection instead of returning it to the pool.
func (a *Answer) Close(complete bool) {
	if a.closed.Swap(true) {
		return
	}
	connOpen := a.stop()
	requestWritten := false
	select {
	case <-a.sent:
		requestWritten = true
	default:
	}
	if complete && connOpen && requestWritten && a.reusable && a.conn.reader.Buffered() == 0 {
		a.pool.put(a.conn)
		return
	}
	_ = a.conn.Close()
}

// idleLimit returns how long the connection may stay idle: idleShare of the timeout in
// the upstream's Keep-Alive header, defaultIdle without a timeout there, and 0,
// which prevents reuse, if the timeout is invalid or negative.
func idleLimit(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(float64(seconds) * idleShare * float64(time.Second))
	}
	return defaultIdle
}
