package inner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/stricthttp"
)

const (
	dialTimeout = time.Second
	// redialPause is how long calls fail with the error of the last failed dial
	// before the client dials again.
	redialPause = 50 * time.Millisecond
	// silentSpan is how long a connection may deliver nothing while a call on it waits for
	// its response. A call that times out later closes the connection.
	silentSpan = time.Second
	// silentRedialPause replaces redialPause for a host whose connection went silent and
	// that does not complete a new one: it may be suspended, and handles all dials of that
	// time once it continues.
	silentRedialPause = 500 * time.Millisecond
	// idleTimeout is how long a connection stays open without a new call or message
	// from this host.
	idleTimeout = 30 * time.Second
)

// dialer sends the opening handshakes.
var dialer = &http.Client{Transport: stricthttp.NewDefaultTransport()}

// Replaced counts connections to other entry hosts that this host closed to open new ones, by reason.
var Replaced = metrics.New("inner_connections_replaced_total", "Connections to other entry hosts that this host closed to open new ones, by reason.")

// labelSilent is the reason of a connection that delivered nothing while calls waited.
const labelSilent = "silent"

// Transport sends messages to other entry hosts by address. Client implements it
// with WebSocket connections.
type Transport interface {
	// Call sends a message, waits for the response and decodes it into resp. If
	// resp is nil, Call discards the response.
	Call(ctx context.Context, address string, kind MessageKind, req, resp any) error
	// Send sends a message without waiting for a response.
	Send(ctx context.Context, address string, kind MessageKind, message any) error
}

var _ Transport = (*Client)(nil)

// Client calls other entry hosts. It has at most one connection per address. It
// opens the connection on the first call, and again on the next call after the
// connection broke or was closed as idle.
type Client struct {
	mu    sync.Mutex
	peers map[string]*peer
}

// NewClient returns a Client without open connections.
func NewClient() *Client { return &Client{peers: map[string]*peer{}} }

// peer is the state of the connection to one address.
type peer struct {
	address string
	dialing chan struct{} // semaphore of size 1, held while dialing

	mu           sync.Mutex
	conn         *websocket.Conn
	lastCallID   uint64
	pending      map[uint64]chan envelope // response channels of pending calls, by call ID
	idleTimer    *time.Timer              // closes conn when it is idle
	waitingSince time.Time                // first call on conn since its last message; zero if there was none
	wentSilent   bool                     // whether the last connection was closed because it delivered nothing
	dialErr      error                    // error of the last failed dial
	dialFailedAt time.Time
}

// Call sends a message, waits for the response and decodes it into resp. If resp
// is nil, Call discards the response. Errors have type *Error.
func (c *Client) Call(ctx context.Context, address string, kind MessageKind, req, resp any) error {
	p := c.peer(address)
	fail := func(reason Reason, cause error) error {
		return &Error{Peer: address, Kind: kind, Reason: reason, Cause: cause}
	}
	conn, err := p.connect(ctx)
	if err != nil {
		return fail(ReasonConnect, err)
	}
	body, err := cbor.Marshal(req)
	if err != nil {
		return fail(ReasonCodec, err)
	}
	callID, responses := p.addCall()
	defer p.removeCall(callID)
	if err := write(ctx, conn, envelope{Call: callID, Kind: kind, Body: body}); err != nil {
		p.closeConn(conn)
		return fail(ReasonBroken, err)
	}
	select {
	case response, ok := <-responses:
		if !ok {
			return fail(ReasonBroken, nil)
		}
		return decodeResponse(response, address, kind, resp)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.closeIfSilent(conn)
		}
		return fail(ReasonTimeout, ctx.Err())
	}
}

// Send sends a message without waiting for a response. It returns an *Error if the
// message was not written completely to the connection. A nil error does not mean
// that the message arrived.
func (c *Client) Send(ctx context.Context, address string, kind MessageKind, message any) error {
	p := c.peer(address)
	conn, err := p.connect(ctx)
	if err != nil {
		return &Error{Peer: address, Kind: kind, Reason: ReasonConnect, Cause: err}
	}
	body, err := cbor.Marshal(message)
	if err != nil {
		return &Error{Peer: address, Kind: kind, Reason: ReasonCodec, Cause: err}
	}
	if err := write(ctx, conn, envelope{Kind: kind, Body: body}); err != nil {
		p.closeConn(conn)
		return &Error{Peer: address, Kind: kind, Reason: ReasonBroken, Cause: err}
	}
	return nil
}

// Disconnect closes the connection to address. Pending calls on it fail.
func (c *Client) Disconnect(address string) {
	c.mu.Lock()
	p, ok := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if ok {
		p.close()
	}
}

// Close closes all connections. Pending calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	peers := c.peers
	c.peers = map[string]*peer{}
	c.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
}

// decodeResponse decodes the body of a response into resp, or returns the failure
// that the response reports as *Error.
func decodeResponse(response envelope, address string, kind MessageKind, resp any) error {
	if response.Failure == codeUnknownKind {
		return &Error{Peer: address, Kind: kind, Reason: ReasonUnknownKind}
	}
	if response.Failure != "" {
		return &Error{Peer: address, Kind: kind, Reason: ReasonHandler, Code: response.Failure}
	}
	if resp == nil {
		return nil
	}
	if err := cbor.Unmarshal(response.Body, resp); err != nil {
		return &Error{Peer: address, Kind: kind, Reason: ReasonCodec, Cause: err}
	}
	return nil
}

// peer returns the state of the connection to address, and creates it if needed.
func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = &peer{address: address, dialing: make(chan struct{}, 1), pending: map[uint64]chan envelope{}}
		c.peers[address] = p
	}
	return p
}

// connect returns the open connection, or dials one. Only one caller dials at a
// time; the others wait for the dial or until ctx is done.
func (p *peer) connect(ctx context.Context) (*websocket.Conn, error) {
	if conn := p.openConn(); conn != nil {
		return conn, nil
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn := p.openConn(); conn != nil {
		return conn, nil
	}
	if err := p.recentDialError(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, res, err := websocket.Dial(ctx, "ws://"+p.address+Path, &websocket.DialOptions{HTTPClient: dialer})
	if err != nil {
		p.recordDialError(err)
		return nil, err
	}
	if res.Body != nil {
		_ = res.Body.Close()
	}
	conn.SetReadLimit(maxMessageSize)
	p.mu.Lock()
	p.conn = conn
	p.waitingSince, p.wentSilent = time.Time{}, false
	p.idleTimer = time.AfterFunc(idleTimeout, func() { p.closeIfIdle(conn) })
	p.mu.Unlock()
	go p.readLoop(conn)
	return conn, nil
}

// recordDialError stores the error and the time of a failed dial.
func (p *peer) recordDialError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialErr, p.dialFailedAt = err, time.Now()
}

// recentDialError returns the error of a dial that failed within redialPause (or
// silentRedialPause), or nil. It prevents the calls that waited for the failed dial from dialing one
// after the other.
func (p *peer) recentDialError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	pause := redialPause
	if p.wentSilent {
		pause = silentRedialPause
	}
	if time.Since(p.dialFailedAt) > pause {
		return nil
	}
	return p.dialErr
}

// openConn returns the open connection and restarts its idle timer. It returns nil
// if no connection is open.
func (p *peer) openConn() *websocket.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.idleTimer.Reset(idleTimeout)
	}
	return p.conn
}

// closeIfIdle closes conn if no call is pending, and restarts the idle timer
// otherwise.
func (p *peer) closeIfIdle(conn *websocket.Conn) {
	p.mu.Lock()
	busy := len(p.pending) > 0
	if busy {
		p.idleTimer.Reset(idleTimeout)
	}
	p.mu.Unlock()
	if !busy {
		p.closeConn(conn)
	}
}

// closeIfSilent closes conn if it has delivered nothing for silentSpan although calls
// waited. A connection may stop delivering without a reset.
func (p *peer) closeIfSilent(conn *websocket.Conn) {
	p.mu.Lock()
	silent := p.conn == conn && !p.waitingSince.IsZero() && time.Since(p.waitingSince) >= silentSpan
	if silent {
		p.wentSilent = true
	}
	p.mu.Unlock()
	if silent {
		Replaced.Inc(labelSilent)
		p.closeConn(conn)
	}
}

// readLoop reads responses from conn and delivers them to the pending calls until
// conn breaks or a response is malformed.
func (p *peer) readLoop(conn *websocket.Conn) {
	defer p.closeConn(conn)
	for {
		_, data, err := conn.Read(context.Background())
		if err != nil {
			return
		}
		Bytes.Add(labelReceived, int64(len(data)))
		Messages.Inc(labelReceived)
		var response envelope
		if cbor.Unmarshal(data, &response) != nil {
			return
		}
		p.deliver(response)
	}
}

// deliver passes a response to its pending call. It ignores the response if the
// call is no longer pending.
func (p *peer) deliver(response envelope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingSince = time.Time{}
	if responses, ok := p.pending[response.Call]; ok {
		responses <- response
		delete(p.pending, response.Call)
	}
}

// addCall registers a pending call. It returns the call's ID and the channel on
// which its response arrives. The channel is closed if the connection breaks.
func (p *peer) addCall() (uint64, <-chan envelope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCallID++
	if p.waitingSince.IsZero() {
		p.waitingSince = time.Now()
	}
	responses := make(chan envelope, 1)
	p.pending[p.lastCallID] = responses
	return p.lastCallID, responses
}

// removeCall removes a pending call. It has no effect if the call has a response.
func (p *peer) removeCall(callID uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, callID)
}

// closeConn closes conn. If conn is still the connection of p, closeConn also
// fails all pending calls.
func (p *peer) closeConn(conn *websocket.Conn) {
	_ = conn.CloseNow()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return
	}
	p.conn = nil
	p.idleTimer.Stop()
	for callID, responses := range p.pending {
		close(responses)
		delete(p.pending, callID)
	}
}

// close closes the connection, if one is open.
func (p *peer) close() {
	if conn := p.openConn(); conn != nil {
		p.closeConn(conn)
	}
}
