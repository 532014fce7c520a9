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

// Stage says how far a failed exchange got.
type Stage string

// The stages of an exchange.
const (
	// StageConnect: there was no connection; nothing was sent.
	StageConnect Stage = "connect"
	// StageUnsent: the connection failed before a byte was written.
	StageUnsent Stage = "unsent"
	// StageSent: a byte may have left; the request may have run.
	StageSent Stage = "sent"
)

// Error is a failed exchange.
type Error struct {
	Address string
	Stage   Stage
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	return "exchange with " + e.Address + ": " + string(e.Stage) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

const (
	// maxStrays is how many answers to other requests are passed over.
	maxStrays = 3
	// strayBytes bounds the body of such an answer, in bytes.
	strayBytes = 1 << 20
)

// Answer is an upstream's answer. Its body is read from the connection; Close
// must be called.
type Answer struct {
	*http.Response
	pool   *Pool
	conn   *Conn
	stop   func() bool
	sent   <-chan struct{}
	reused bool // the connection can be used again once the body has ended
	closed atomic.Bool
}

// countingWriter notes whether a write was begun.
type countingWriter struct {
	io.Writer
	begun atomic.Bool
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.begun.Store(true)
	return w.Writer.Write(p)
}

// Exchange sends a request and reads the head of its answer. ours says whether
// an answer belongs to the request. The connection is closed as soon as ctx
// ends, also while the body is read. It returns *Error.
func (p *Pool) Exchange(ctx context.Context, address string, req *http.Request, ours func(http.Header) bool) (*Answer, error) {
	conn, err := p.Get(ctx, address)
	if err != nil {
		return nil, &Error{Address: address, Stage: StageConnect, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	writer := &countingWriter{Writer: conn}
	sent := make(chan struct{})
	failed := make(chan error, 1)
	go func() { // an upstream may answer before it has read the whole body
		defer close(sent)
		buffered := bufio.NewWriter(writer)
		err := req.Write(buffered)
		if err == nil {
			err = buffered.Flush()
		}
		failed <- err
	}()
	res, err := conn.readAnswer(req, ours)
	if err != nil {
		stop()
		_ = conn.Close()
		<-sent
		stage := StageSent
		if !writer.begun.Load() {
			stage = StageUnsent
		}
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{Address: address, Stage: stage, Cause: err}
	}
	a := &Answer{Response: res, pool: p, conn: conn, stop: stop, sent: sent}
	conn.idleSpan = idleSpan(res.Header)
	a.reused = !res.Close && res.ProtoAtLeast(1, 1) && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0) && conn.idleSpan > 0
	return a, nil
}

// readAnswer reads answers until one belongs to the request.
func (c *Conn) readAnswer(req *http.Request, ours func(http.Header) bool) (*http.Response, error) {
	for strays, informational := 0, 0; ; {
		res, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		switch {
		case res.StatusCode < http.StatusOK:
			if informational++; informational > maxInformational {
				return nil, headError(HeadInformational)
			}
			continue
		case ours(res.Header):
			return res, nil
		}
		if strays++; strays > maxStrays {
			return nil, headError(HeadStrays)
		}
		if err := discardStray(res.Body); err != nil {
			return nil, err
		}
	}
}

// discardStray reads the body of an answer to another request to its end.
func discardStray(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, strayBytes))
	if err == nil && n == strayBytes {
		return headError(HeadStrays)
	}
	return err
}

// Close ends the exchange. complete says that the body was read to its end;
// only then the connection may be used again.
func (a *Answer) Close(complete bool) {
	if a.closed.Swap(true) {
		return
	}
	alive := a.stop()
	written := false
	select {
	case <-a.sent:
		written = true
	default:
	}
	if complete && alive && written && a.reused && a.conn.reader.Buffered() == 0 {
		a.pool.put(a.conn)
		return
	}
	_ = a.conn.Close()
}

// idleSpan returns how long the connection may be idle before the upstream
// closes it, less a margin.
func idleSpan(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(float64(seconds) * idleMargin * float64(time.Second))
	}
	return defaultIdle
}
