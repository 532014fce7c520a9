package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/journal"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

// Generation is one accepted chat request.
type Generation struct {
	Service   *config.Service
	Prompt    string
	MaxTokens int
	Log       *journal.Log
}

// Generate runs a generation to its end and writes it to its log.
func (d *Dispatcher) Generate(ctx context.Context, g Generation) {
	failure := apierr.New(apierr.CodeNoUpstream, "no upstream is available").WithRetryAfter(retryAfter)
	tried := map[string]bool{}
	for attempt := range maxAttempts {
		host, ok := d.pick(g.Service.Pool, tried)
		if !ok {
			break
		}
		tried[host.ID] = true
		err := d.attempt(ctx, g, host)
		if err == nil {
			g.Log.Finish()
			return
		}
		events.AttemptFailed.Log(d.logger, "request", g.Log.RequestID, "upstream", host.ID, "attempt", attempt, "error", err)
		if ctx.Err() != nil {
			failure = apierr.New(apierr.CodeDeadlineExceeded, "the deadline passed").WithRan(apierr.RanUnknown)
			break
		}
		Retries.Inc(string(upstream.ReasonOf(err)))
		failure = failureOf(err)
		time.Sleep(attemptPause)
	}
	g.Log.Fail(failure)
}

func failureOf(err error) *apierr.Error {
	failure := apierr.New(apierr.CodeUpstreamFailed, "the upstream failed").WithRetryAfter(retryAfter).WithCause(err)
	var failed *upstream.Error
	if errors.As(err, &failed) && failed.NotRun() {
		return failure
	}
	return failure.WithRan(apierr.RanUnknown)
}

// attempt runs the generation at one engine, continuing after the text so far.
func (d *Dispatcher) attempt(ctx context.Context, g Generation, host hosts.Host) error {
	engine := enginehttp.NewClient(host.ID, host.Address, d.transport)
	prior, count := g.Log.Prior()
	stream, err := engine.Generate(ctx, upstream.GenerateRequest{
		StreamID: uuid.NewString(), RequestID: g.Log.RequestID,
		Model: g.Service.Model, Adapter: g.Service.Adapter,
		Prompt: g.Prompt, Prior: prior, PriorTokens: count,
		MaxTokens: g.MaxTokens, Priority: upstream.PriorityNormal,
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		g.Log.Append(token.Index, token.Text)
	}
}
