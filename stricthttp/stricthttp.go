// Package stricthttp makes clients reject responses that package net/http accepts although they are invalid. It imports
// none of the system's packages.
package stricthttp

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Reason is the reason why the head of a response is invalid.
type Reason string

// InvalidStatus means that HTTP does not have the status, or that the response switches to a protocol that the request
// did not ask for.
const InvalidStatus Reason = "invalid_status"

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

// transport is an http.Transport that rejects invalid responses.
type transport struct{ base *http.Transport }

// NewTransport returns a transport that sends requests by base. Its calls fail with a *HeadError if the head of a
// response is invalid.
func NewTransport(base *http.Transport) http.RoundTripper { return &transport{base: base} }

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
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { conn.Store(&got.Conn) }}
	res, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(req, res.StatusCode); err != nil {
		// Closing the body alone may leave the connection to a later request.
		_ = res.Body.Close()
		_ = (*conn.Load()).Close()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections; see http.Client.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
