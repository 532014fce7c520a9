package inner

import (
	"context"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/membudget"
	"github.com/cardamompier/cardamompier/metrics"
)

// Error codes that the server sends without a handler's Failure.
const (
	codeUnknownKind = "unknown_kind"
	codeBadBody     = "bad_body"
	codeInternal    = "internal"
)

// maxConcurrentCalls is the largest number of handlers that run at the same time
// for one connection.
const maxConcurrentCalls = 256

// Bytes counts the bytes of messages sent and received, by direction.
var Bytes = metrics.New("inner_bytes_total", "Bytes of messages between entry hosts, by direction.")

// Messages counts the messages sent and received, by direction.
var Messages = metrics.New("inner_messages_total", "Messages between entry hosts, by direction.")

// Values of the direction label of Bytes and Messages.
const (
	labelSent     = "sent"
	labelReceived = "received"
)

// rawHandler handles a message with an encoded body and returns the response.
type rawHandler func(ctx context.Context, body cbor.RawMessage) (any, error)

// Server handles the messages of other entry hosts. All handlers must be
// registered before the server serves its first connection.
type Server struct {
	handlers map[MessageKind]rawHandler
	logger   hclog.Logger
	mu       sync.Mutex
	conns    map[*websocket.Conn]struct{}
	closed   bool
}

// NewServer returns a Server without handlers.
func NewServer() *Server {
	return &Server{handlers: map[MessageKind]rawHandler{}, logger: hclog.NewNullLogger(), conns: map[*websocket.Conn]struct{}{}}
}

// SetLogger sets the logger. It must be called before the server serves its first
// connection.
func (s *Server) SetLogger(logger hclog.Logger) { s.logger = logger }

// Register sets the handler for messages of the given kind. A handler returns a
// *Failure to send its own error code to the caller.
func Register[Req, Resp any](s *Server, kind MessageKind, handle func(context.Context, Req) (Resp, error)) {
	s.handlers[kind] = func(ctx context.Context, body cbor.RawMessage) (any, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, &Failure{Code: codeBadBody}
		}
		return handle(ctx, req)
	}
}

// ServeHTTP implements http.Handler. It accepts a WebSocket connection and serves it
// until it closes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	if !s.track(conn) {
		_ = conn.CloseNow()
		return
	}
	defer s.untrack(conn)
	conn.SetReadLimit(maxMessageSize)
	s.readLoop(conn, membudget.FromContext(r.Context()))
}

// readLoop reads messages from conn and runs their handlers, each in its own
// goroutine, until conn closes or a message is malformed. The messages are charged to holder until they are handled.
func (s *Server) readLoop(conn *websocket.Conn, holder *membudget.Holder) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	slots := make(chan struct{}, maxConcurrentCalls)
	for {
		data, charged, err := readMessage(ctx, conn, holder)
		if err != nil {
			holder.Shrink(charged)
			return
		}
		Bytes.Add(labelReceived, int64(len(data)))
		Messages.Inc(labelReceived)
		var message envelope
		if cbor.Unmarshal(data, &message) != nil {
			_ = conn.Close(websocket.StatusInvalidFramePayloadData, codeBadBody)
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() {
				holder.Shrink(charged)
				<-slots
			}()
			s.handle(ctx, conn, message)
		}()
	}
}

// readMessage reads one message. charged is what it charged to holder, also if it fails.
func readMessage(ctx context.Context, conn *websocket.Conn, holder *membudget.Holder) (data []byte, charged int64, err error) {
	_, reader, err := conn.Reader(ctx)
	if err != nil {
		return nil, 0, err
	}
	body, err := membudget.ReadBody(reader, -1, func(n int64) error {
		n *= messageCost
		if err := holder.Grow(n); err != nil {
			return err
		}
		charged += n
		return nil
	})
	return body.Join(), charged, err
}

// messageCost is the memory for each byte of a message: its blocks, which are joined to be decoded.
const messageCost = 2

// handle runs the handler of a message and, if the message is a call, sends the
// response.
func (s *Server) handle(ctx context.Context, conn *websocket.Conn, message envelope) {
	response := envelope{Call: message.Call, Answer: true}
	result, err := s.dispatch(ctx, message)
	if err == nil && message.Call != 0 {
		response.Body, err = cbor.Marshal(result)
	}
	if err != nil {
		response.Failure = codeOf(err)
	}
	if message.Call != 0 {
		_ = write(ctx, conn, response)
	}
}

// Panics counts the handlers that panicked, by the number of the message kind.
var Panics = metrics.New("inner_handler_panics_total", "Handlers of messages between entry hosts that ended by a panic, by the number of the message.")

// dispatch runs the handler of a message. If the handler panics, dispatch logs the
// panic and returns a Failure, so that only this call fails and the process
// does not stop.
func (s *Server) dispatch(ctx context.Context, message envelope) (result any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			Panics.Inc(strconv.Itoa(int(message.Kind)))
			events.InnerPanic.Log(s.logger, "kind", int(message.Kind), "bytes", len(message.Body), "cause", cause, "stack", string(debug.Stack()))
			result, err = nil, &Failure{Code: codeInternal}
		}
	}()
	handle, ok := s.handlers[message.Kind]
	if !ok {
		return nil, &Failure{Code: codeUnknownKind}
	}
	return handle(ctx, message.Body)
}

// Handle handles one message and returns the encoded response. It is for transports
// other than WebSocket connections. If the handler fails, the error has type
// *Failure.
func (s *Server) Handle(ctx context.Context, kind MessageKind, body []byte) ([]byte, error) {
	result, err := s.dispatch(ctx, envelope{Kind: kind, Body: body})
	if err != nil {
		return nil, &Failure{Code: codeOf(err)}
	}
	return cbor.Marshal(result)
}

// codeOf returns the error code of the Failure in err's chain, or codeInternal.
func codeOf(err error) string {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Code
	}
	return codeInternal
}

// write encodes a message and writes it to conn.
func write(ctx context.Context, conn *websocket.Conn, message envelope) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	Bytes.Add(labelSent, int64(len(data)))
	Messages.Inc(labelSent)
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// track adds conn to the open connections. It returns false if the server is closed.
func (s *Server) track(conn *websocket.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[conn] = struct{}{}
	}
	return !s.closed
}

// untrack closes conn and removes it from the open connections.
func (s *Server) untrack(conn *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.CloseNow()
}

// Close closes all connections and rejects new ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.CloseNow()
	}
}
