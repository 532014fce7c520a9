package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/membudget"
	"github.com/cardamompier/cardamompier/quarantine"
	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routes"
)

// exchange is one caller's request and its state while the forwarder serves it.
type exchange struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	cancel  context.CancelCauseFunc // ends ctx
	arrived time.Time
	waiting atomic.Bool // whether an attempt waits for the head of its answer

	table    *routes.Table
	route    *routes.Route
	account  *routes.Account // nil on public routes and when the route table has no accounts
	meta     Metadata
	deadline time.Time
	pool     string
	holder   *membudget.Holder // of the caller's connection
	body     membudget.Body
	// bodyUnread is whether the body was not read to its end, so that the connection cannot be used again.
	bodyUnread bool
	keys       []quarantine.Key // of the content; the first one is that of the whole request

	sharedPrompt  uint64   // digest of the prompt parts that other requests may share; zero if unset
	cachedOn      []string // upstreams that processed the shared prompt parts, most recent first
	cachedOnKnown bool     // whether the lookup of cachedOn succeeded
	parts         promptParts

	cost           float64 // cost charged to the client account's limit
	limitDecidedBy string  // host that decided whether the client account is within its limit
	sends          int     // attempts whose request may have reached an upstream
	possibleRuns   int     // attempts whose request an upstream may have run
	tried          []string
	sentAt         time.Time       // when the current attempt was sent
	sentBy         sentList        // the list of upstreams by which the current attempt was sent
	heardAt        time.Time       // when the current attempt was sent, or a part of its answer arrived last
	head           answerHead      // of the current attempt's answer
	answerBegun    atomic.Bool     // whether a part of the answer was sent to the caller
	inTrial        bool            // whether the request tries quarantined content again
	begunReported  bool            // whether the prompt parts were reported as harmless
	startReported  bool            // whether Config.OnStarted was called for this request
	firstByteAt    time.Time       // when the first byte of the answer was sent to the caller
	maxEventGap    time.Duration   // longest time between two writes of events to the caller
	retryReserved  bool            // whether the retry budget was already charged for the next attempt
	budget         *retry.Decision // the newest decision of the retry budget

	versioned *versionedSend                // the current attempt; nil without Config.Versions
	movable   atomic.Pointer[versionedSend] // the current attempt once it is sent, for WithdrawStreams
}

const (
	// defaultTimeout is the time limit of a request for which neither the caller nor
	// the route sets one.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes limits the size of a request body, in bytes, if the route table
	// sets no limit.
	defaultBodyBytes = 8 << 20
	// drainRetryAfter is the Retry-After time sent by a stopping host; the caller then
	// retries at another host.
	drainRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is the Retry-After time sent by a host that has no route
	// table yet. The host requests the table four times per second.
	notReadyRetryAfter = 300 * time.Millisecond
)

// deadlineError is the cause of a context that ended at a request's deadline.
type deadlineError struct{}

// Error implements error.
func (deadlineError) Error() string { return "the request's deadline has passed" }

var errDeadline = deadlineError{}

// identify decodes the request's headers and finds its route, its client account and
// its deadline. It returns an error if the request is rejected.
func (e *exchange) identify() *apierr.Error {
	e.table = e.f.Table()
	if e.table == nil {
		return apierr.New(apierr.CodeNotReady, "no routes are known yet").WithRetryAfter(notReadyRetryAfter)
	}
	meta, err := e.f.Codec.Decode(e.r.Header)
	if err != nil {
		refused := apierr.New(apierr.CodeInvalidRequest, "a header cannot be read")
		refused.Cause = err
		return refused
	}
	e.meta = meta
	e.route = e.table.Match(hostName(e.r), requestPath(e.r))
	if e.route == nil {
		return apierr.New(apierr.CodeUnknownService, "no route serves this path")
	}
	if e.table.HasAccounts() && !e.route.Public {
		if e.account = e.table.AccountOf(meta.Key); e.account == nil {
			return apierr.New(apierr.CodeUnauthenticated, "the key is not known")
		}
	}
	timeout := defaultTimeout
	if e.route.Timeout > 0 {
		timeout = e.route.Timeout
	}
	if meta.TimeLeft > 0 {
		timeout = min(timeout, meta.TimeLeft)
	}
	e.deadline = e.arrived.Add(timeout)
	if e.f.rejectsWhileDraining(e.arrived, e.deadline) {
		return e.stopRefusal()
	}
	return nil
}

// readBody reads the whole body of the request, so that the server detects a caller
// that disconnects and an attempt can be repeated.
func (e *exchange) readBody() *apierr.Error {
	limit := e.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if e.r.ContentLength > limit {
		return apierr.New(apierr.CodeRequestTooLarge, "the body is too large")
	}
	if e.r.ContentLength == 0 {
		return nil
	}
	e.holder.Begin(membudget.PhaseBody)
	defer e.holder.Begin(membudget.PhaseRunning)
	reader := deadlineReader{r: http.MaxBytesReader(e.w, e.r.Body, limit), deadline: e.deadline}
	var err error
	if e.body, err = membudget.ReadBody(reader, e.r.ContentLength, e.holder.Grow); err != nil {
		e.bodyUnread = true
		return e.bodyError(err)
	}
	return nil
}

// shedRetryAfter is the Retry-After time when the memory for callers is used up: about the time until callers that
// make no progress are shed.
const shedRetryAfter = time.Second

// bodyError returns the error for a body that was not read. No upstream has received any of it.
func (e *exchange) bodyError(err error) *apierr.Error {
	var tooLarge *http.MaxBytesError
	var exhausted *membudget.ExhaustedError
	switch {
	case errors.As(err, &tooLarge):
		return apierr.New(apierr.CodeRequestTooLarge, "the body is too large")
	case errors.As(err, &exhausted) || e.holder.ShedFor() == membudget.ShedMemory || e.holder.ShedFor() == membudget.ShedConnections:
		return apierr.New(apierr.CodeOverloaded, "the memory for callers is used up").WithRetryAfter(withJitter(shedRetryAfter)).WithCause(err)
	case e.holder.WasShed() || errors.Is(err, errDeadline):
		return apierr.New(apierr.CodeRequestTimeout, "the body did not arrive in time").WithRetryAfter(withJitter(shedRetryAfter)).WithCause(err)
	default:
		return apierr.New(apierr.CodeInvalidRequest, "the body broke off").WithCause(err)
	}
}

// deadlineReader ends with errDeadline once the request's deadline has passed: a body that arrives later is of no use.
type deadlineReader struct {
	r        io.Reader
	deadline time.Time
}

// Read implements io.Reader.
func (r deadlineReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if err == nil && time.Now().After(r.deadline) {
		return 0, errDeadline
	}
	return n, err
}

// hostName returns the host name of a request without the port.
func hostName(r *http.Request) string {
	name, port, found := strings.Cut(r.Host, ":")
	if found && strings.Contains(port, ":") {
		return r.Host // an IPv6 address
	}
	return name
}

// requestPath returns the path of the request exactly as the caller sent it, neither
// decoded nor cleaned.
func requestPath(r *http.Request) string {
	target := requestTarget(r)
	if i := strings.IndexByte(target, '?'); i >= 0 {
		target = target[:i]
	}
	return target
}

// requestTarget returns the path and query of the request (origin form) exactly as the
// caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
