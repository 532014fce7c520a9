package dispatch

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

const (
	// noUpstreamTimeout bounds the wait for an available upstream while the answer has no token yet.
	noUpstreamTimeout = 3 * time.Second
	maxPause          = 250 * time.Millisecond
	// maxResumes is the number of reconnections in a row without a new token after which an
	// attempt fails.
	maxResumes = 2
)

// Recomputed counts the prompt and answer tokens that engines compute a second time after a
// generation moves or its attempt fails, labelled with how the generation continued.
var Recomputed = metrics.New("tokens_recomputed_total", "Tokens computed a second time after a generation moved or its attempt failed, by how it continued.")

// StreamMoves counts the times that a generation continues after a move, a failed attempt or a
// broken connection, labelled with how it continues.
var StreamMoves = metrics.New("stream_moves_total", "Generations that continued at another engine or after a broken connection, by how they continued.")

// The ways to continue a generation: import its KV cache at another engine, reconnect to the
// same attempt, or compute prompt and answer again.
const (
	wayCache     = "cache"
	wayResume    = "resume"
	wayRecompute = "recompute"
)

// Generation is one accepted chat request.
type Generation struct {
	Service *config.Service
	Log     *genlog.Log
	// Begun is called at the start of each attempt; it may be nil.
	Begun func()
}

// Generate runs a generation until its answer is complete, another entry host becomes the owner of
// its request, or ctx ends. On a failure or the end of ctx it writes the error to the generation's
// log.
func (d *Dispatcher) Generate(ctx context.Context, g Generation) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-g.Log.Moved():
			cancel()
		case <-ctx.Done():
		}
	}()
	r := &run{Generation: g, dispatcher: d, started: time.Now(), tried: map[string]bool{}, work: d.workOf(g)}
	defer r.endTrial()
	failure := r.runAttempts(ctx)
	switch {
	case g.Log.State() == genlog.StateMoved:
	case failure == nil:
		g.Log.Finish()
	case ctx.Err() != nil:
		g.Log.Fail(apierr.New(apierr.CodeDeadlineExceeded, "the deadline passed").WithRan(apierr.RanUnknown))
	default:
		g.Log.Fail(failure)
	}
}

// run is the state of one generation across its attempts.
type run struct {
	Generation
	dispatcher *Dispatcher
	started    time.Time
	tried      map[string]bool // ids of the hosts that failed since the last new token
	failures   int             // failed attempts whose work may have started at the engine
	work       work
	trial      *trial // the claimed trial of a request suspected of crashing upstreams, or nil
	// awaitsTrial is set while a request suspected of crashing upstreams waits for an upstream
	// without another such request.
	awaitsTrial bool
	moveTo      *moveTarget // engine that a move prepared; nil lets routing choose
}

// runAttempts makes attempts until one completes the answer, and returns nil then. It returns an
// error when ctx ends, the request is quarantined, no upstream is available before the first
// token, or too many attempts fail.
func (r *run) runAttempts(ctx context.Context) *apierr.Error {
	if r.resumeLastAttempt(ctx) {
		return nil
	}
	failure := apierr.New(apierr.CodeNoUpstream, "no upstream is available").WithRetryAfter(retryAfter)
	for pause := attemptPause; ; pause = min(2*pause, maxPause) {
		if refusal := r.quarantined(); refusal != nil {
			return refusal
		}
		host, chosen := r.choose()
		if !chosen && !r.awaitsTrial && r.Log.Count() == 0 && time.Since(r.started) > noUpstreamTimeout {
			return failure
		}
		if chosen {
			before := r.Log.Count()
			err := r.attempt(ctx, host)
			if err == nil {
				return nil
			}
			if r.moveTo != nil {
				pause = attemptPause
				continue
			}
			failure = failureOf(err)
			if ctx.Err() != nil {
				return failure
			}
			failures := r.recordAttemptFailure(host, err, r.Log.Count() > before)
			if failures > 0 {
				failure = failure.WithRan(apierr.RanUnknown)
			}
			if failures > maxAttempts {
				return failure
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return failure
		}
	}
}

// recordAttemptFailure logs and counts a failed attempt. It returns how many of the generation's
// failed attempts may have started work at their upstream.
func (r *run) recordAttemptFailure(host hosts.Host, err error, progressed bool) int {
	events.AttemptFailed.Log(r.dispatcher.logger, "request", r.Log.RequestID, "upstream", host.ID, "error", err)
	Retries.Inc(string(upstream.ReasonOf(err)))
	r.dispatcher.recordFailure(r.Service.Pool, host, err)
	r.reportCrash(host, err)
	if progressed {
		clear(r.tried)
	}
	r.tried[host.ID] = true
	var failed *upstream.Error
	if !errors.As(err, &failed) || !failed.NotRun() {
		r.failures++
	}
	if upstream.ReasonOf(err) == upstream.ReasonLeaving {
		r.dispatcher.attempts.markLeaving(host.ID)
		r.dispatcher.hosts.MarkLeaving(host.ID)
	}
	return r.failures
}

// choose returns the host of the next attempt, and false when no attempt may start now.
func (r *run) choose() (hosts.Host, bool) {
	r.endTrial()
	r.awaitsTrial = false
	if r.moveTo != nil {
		return r.moveTo.host, true
	}
	host, ok := r.dispatcher.pickNotLeaving(r.Service.Pool, r.tried, "", r.work.request)
	if !ok {
		clear(r.tried)
	}
	if !ok || !r.claimTrial(host) { // claimTrial may wait for the key-value service
		return host, false
	}
	return host, r.dispatcher.hosts.StillUsable(context.Background(), host) && r.retryAllowed(host)
}

// failureOf returns the caller's error for a failed attempt. It reports "not run" only when the
// upstream error proves that the work did not start.
func failureOf(err error) *apierr.Error {
	failure := apierr.New(apierr.CodeUpstreamFailed, "the upstream failed").WithRetryAfter(retryAfter).WithCause(err)
	var failed *upstream.Error
	if errors.As(err, &failed) && failed.NotRun() {
		return failure
	}
	return failure.WithRan(apierr.RanUnknown)
}

// resumeLastAttempt reconnects to the attempt that the request's previous owner started, if any,
// and reports whether that attempt completes the answer.
func (r *run) resumeLastAttempt(ctx context.Context) bool {
	last := r.Log.Attempt()
	if last.Number == 0 {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	host := hosts.Host{ID: last.Host, Address: last.Address}
	stream, err := r.reopen(ctx, host, last)
	if err == nil {
		StreamMoves.Inc(wayResume)
		err = r.follow(ctx, cancel, host, last, stream)
	}
	if err != nil && r.moveTo == nil && r.Log.PreviousOwnerMayBeAhead() {
		r.Log.RecordBranch()
	}
	return err == nil
}

// reopen reconnects to an attempt at its engine and resumes at the first token that the generation
// log does not contain.
func (r *run) reopen(ctx context.Context, host hosts.Host, a genlog.Attempt) (upstream.TokenStream, error) {
	for try := 0; ; try++ {
		stream, err := r.dispatcher.engine(host).Resume(ctx, a.StreamID, r.Log.Count())
		if err == nil || try == maxResumes || ctx.Err() != nil || upstream.ReasonOf(err) == upstream.ReasonNoStream {
			return stream, err
		}
		time.Sleep(attemptPause)
	}
}

// attempt runs the generation at one engine, which continues after the text generated so far.
func (r *run) attempt(ctx context.Context, host hosts.Host) error {
	planned := r.moveTo
	r.moveTo = nil
	streamID := r.streamID()
	if planned != nil {
		streamID = planned.streamID
	}
	number := r.Log.BeginAttempt(host.ID, host.Address, streamID)
	if r.Begun != nil {
		r.Begun()
	}
	prior, count := r.Log.Text()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := r.dispatcher.engine(host).Generate(ctx, upstream.GenerateRequest{
		StreamID: streamID, RequestID: r.Log.RequestID,
		Model: r.Service.Model, Adapter: r.Service.Adapter,
		Prompt: r.Log.Prompt, Prior: prior, PriorTokens: count,
		MaxTokens: r.Log.MaxTokens, Priority: r.work.priority(),
	})
	if err != nil {
		return err
	}
	r.countMove(planned, number, count)
	return r.follow(ctx, cancel, host, r.Log.Attempt(), stream)
}

// countMove counts a move or a retry and the tokens that its new attempt computes a second time.
func (r *run) countMove(planned *moveTarget, number uint64, count int) {
	switch {
	case planned != nil && planned.way == wayCache:
		StreamMoves.Inc(wayCache)
		Recomputed.Add(wayCache, int64(count-planned.exported))
	case planned != nil || number > 1:
		StreamMoves.Inc(wayRecompute)
		Recomputed.Add(wayRecompute, int64(count+promptTokens(r.Log.Prompt)))
	}
}

// bytesPerToken is the usual length of a prompt token in bytes.
const bytesPerToken = 4

func promptTokens(prompt string) int { return len(prompt) / bytesPerToken }

// streamID returns the stream id of the next attempt: request id, owner epoch and attempt number.
func (r *run) streamID() string {
	return r.Log.RequestID + "." + strconv.FormatUint(r.Log.Epoch, 10) + "." +
		strconv.FormatUint(r.Log.Attempt().Number+1, 10)
}

// follow appends an attempt's tokens to the generation log and reconnects after a broken
// connection. It returns nil when the answer is complete, and an error when the attempt fails or
// moves to another engine. cancel must be the cancel function of ctx; a move calls it to end the
// stream.
func (r *run) follow(
	ctx context.Context, cancel context.CancelFunc, host hosts.Host, a genlog.Attempt, stream upstream.TokenStream,
) error {
	entry := r.dispatcher.attempts.add(r, host, a, cancel)
	defer r.dispatcher.attempts.remove(entry)
	meter := r.startMeter(host)
	complete := false
	defer func() { meter.stop(complete) }()
	for resumes := 0; ; {
		read, err := r.copyTokens(a.Number, stream, meter)
		_ = stream.Close()
		if err == nil {
			complete = true
			r.clearSuspect()
			return nil
		}
		if r.moveTo = entry.target.Load(); r.moveTo != nil {
			go r.dispatcher.cancelAttempt(host, a.StreamID)
			return err
		}
		if read > 0 {
			resumes = 0
		}
		resumes++
		if ctx.Err() != nil || resumes > maxResumes || upstream.ReasonOf(err) != upstream.ReasonBroken {
			return err
		}
		next, resumeErr := r.reopen(ctx, host, a)
		if resumeErr != nil {
			return err
		}
		StreamMoves.Inc(wayResume)
		events.StreamResumed.Log(r.dispatcher.logger, "request", r.Log.RequestID, "upstream", host.ID, "error", err)
		stream = next
	}
}

// copyTokens appends a stream's tokens to the generation log. It returns the number of new
// tokens, and a nil error at the end of the stream.
func (r *run) copyTokens(attempt uint64, stream upstream.TokenStream, m *meter) (read int, err error) {
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return read, err
		}
		m.token()
		r.countTrialToken()
		if r.Log.Append(attempt, token.Index, token.Text) {
			read++
			m.pool.generated.Add(1)
		}
	}
}

func (d *Dispatcher) engine(host hosts.Host) upstream.Engine {
	return enginehttp.NewClient(host.ID, host.Address, d.transport, d.replies)
}
