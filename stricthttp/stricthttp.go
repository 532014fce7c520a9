// Package stricthttp makes clients reject responses that package net/http accepts although they are invalid. It imports
// none of the system's packages.
package stricthttp

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Reason is the reason why the head of a response is invalid.
type Reason string

// The reasons why the head of a response is invalid.
const (
	// InvalidStatus means that HTTP does not have the status, or that the response switches to a protocol that the request
	// did not ask for.
	InvalidStatus Reason = "invalid_status"
	// InvalidFieldName means that the name of a field has a blank or another character that names do not have, or that a
	// line has no name. Such a field may be meant as the one that frames the body.
	InvalidFieldName Reason = "invalid_field_name"
)

// HeadError is the error of a response with an invalid head. The server may have run the request.
type HeadError struct{ Reason Reason }

// Error returns the reason why the head is invalid.
func (e *HeadError) Error() string { return "invalid response head: " + string(e.Reason) }

// CheckStatus returns a *HeadError if a response to req has an invalid status. A status from 600 on is not
// rejected: clients handle it as a server error (RFC 9110, section 15).
func CheckStatus(req *http.Request, status int) error {
	switch {
	case status < http.StatusContinue:
		return &HeadError{Reason: InvalidStatus}
	case status == http.StatusSwitchingProtocols && req.Header.Get("Upgrade") == "":
		return &HeadError{Reason: InvalidStatus}
	default:
		return nil
	}
}

// CheckFieldLines returns a *HeadError if a line in the head of a response, after its status line, does not begin with
// the name of a field. That includes folded lines, which cannot be told from fields with a blank before the name.
func CheckFieldLines(head []byte) error {
	_, lines, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(lines) {
		if line[0] == '\n' || line[0] == '\r' && len(line) == 2 {
			return nil
		}
		if name, _, found := bytes.Cut(line, []byte(":")); !found || !isToken(string(name)) {
			return &HeadError{Reason: InvalidFieldName}
		}
	}
	return nil
}

// checkFieldNames returns a *HeadError if the header of a response has an invalid name of a field.
func checkFieldNames(header http.Header) error {
	for name := range header {
		if !isToken(name) {
			return &HeadError{Reason: InvalidFieldName}
		}
	}
	return nil
}

// isToken reports whether text is a token (RFC 9110, section 5.6.2), as names of fields are.
func isToken(text string) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

// tokenBytes holds true for the bytes of which tokens consist.
var tokenBytes = func() (is [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		is[c] = true
	}
	return is
}()

// transport is an http.Transport that rejects invalid responses.
type transport struct{ base *http.Transport }

// NewTransport returns a transport that sends requests by base, whose connections become Conns; base must not be in use.
// Its calls fail with a *HeadError if the head of a response is invalid.
func NewTransport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &transport{base: base}
}

// NewDefaultTransport returns NewTransport of a transport with the settings of http.DefaultTransport.
func NewDefaultTransport() http.RoundTripper {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		base = &http.Transport{}
	}
	return NewTransport(base.Clone())
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{
		GotConn:        func(got httptrace.GotConnInfo) { conn.Store(&got.Conn) },
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkFieldNames(http.Header(header)) },
	}
	res, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	err = CheckStatus(req, res.StatusCode)
	if err == nil {
		err = checkFieldNames(res.Header)
	}
	if err != nil {
		// Closing the body alone may leave the connection to a later request.
		_ = res.Body.Close()
		if used := conn.Load(); used != nil {
			_ = (*used).Close()
		}
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections; see http.Client.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
