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
	"github.com/cardamompier/cardamompier/metrics"
)

// Failure codes that the server itself sends.
const (
	codeUnknownKind = "unknown_kind"
	codeBadBody     = "bad_body"
	codeInternal    = "internal"
)

// maxConcurrentCalls bounds the handlers that run at once for one connection.
const maxConcurrentCalls = 256

// Bytes counts the bytes of messages sent and received, by direction.
var Bytes = metrics.New("inner_bytes_total", "Bytes of messages between entry hosts, by direction.")

// Messages counts the messages sent and received, by direction.
var Messages = metrics.New("inner_messages_total", "Messages between entry hosts, by direction.")

const (
	labelSent     = "sent"
	labelReceived = "received"
)

type rawHandler func(ctx context.Context, body cbor.RawMessage) (any, error)

// Server answers the messages of other entry hosts. Handlers are registered
// before it serves.
type Server struct {
	handlers map[Kind]rawHandler
	logger   hclog.Logger
	mu       sync.Mutex
	open     map[*websocket.Conn]struct{}
	closed   bool
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{handlers: map[Kind]rawHandler{}, logger: hclog.NewNullLogger(), open: map[*websocket.Conn]struct{}{}}
}

// LogTo sets the logger. It is called before the server serves.
func (s *Server) LogTo(logger hclog.Logger) { s.logger = logger }

// Register sets the handler of a kind of message. A handler returns *Failure
// to send a code of its own.
func Register[Req, Resp any](s *Server, kind Kind, handle func(context.Context, Req) (Resp, error)) {
	s.handlers[kind] = func(ctx context.Context, body cbor.RawMessage) (any, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, &Failure{Code: codeBadBody}
		}
		return handle(ctx, req)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	if !s.track(conn) {
		_ = conn.CloseNow()
		return
	}
	defer s.forget(conn)
	conn.SetReadLimit(maxMessageSize)
	s.readLoop(conn)
}

func (s *Server) readLoop(conn *websocket.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	slots := make(chan struct{}, maxConcurrentCalls)
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
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
			defer func() { <-slots }()
			s.handle(ctx, conn, message)
		}()
	}
}

func (s *Server) handle(ctx context.Context, conn *websocket.Conn, message envelope) {
	answer := envelope{Call: message.Call, Answer: true}
	result, err := s.dispatch(ctx, message)
	if err == nil && message.Call != 0 {
		answer.Body, err = cbor.Marshal(result)
	}
	if err != nil {
		answer.Failure = codeOf(err)
	}
	if message.Call != 0 {
		_ = write(ctx, conn, answer)
	}
}

// Panics counts handlers that ended by a panic, by the number of their message.
var Panics = metrics.New("inner_handler_panics_total", "Handlers of messages between entry hosts that ended by a panic, by the number of the message.")

// dispatch runs the handler of a message. One that panics fails its caller's
// call only: the host serves others.
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

// Answer handles one message and returns the encoded answer, for transports
// other than the WebSocket connections. It returns *Failure.
func (s *Server) Answer(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	result, err := s.dispatch(ctx, envelope{Kind: kind, Body: body})
	if err != nil {
		return nil, &Failure{Code: codeOf(err)}
	}
	return cbor.Marshal(result)
}

func codeOf(err error) string {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Code
	}
	return codeInternal
}

func write(ctx context.Context, conn *websocket.Conn, message envelope) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	Bytes.Add(labelSent, int64(len(data)))
	Messages.Inc(labelSent)
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func (s *Server) track(conn *websocket.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.open[conn] = struct{}{}
	}
	return !s.closed
}

func (s *Server) forget(conn *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
	_ = conn.CloseNow()
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		_ = conn.CloseNow()
	}
}
