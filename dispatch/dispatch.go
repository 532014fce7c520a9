// Package dispatch carries out accepted requests at upstreams: it picks one,
// runs the attempt, and tries again where that is allowed.
//
// The choice itself is made by package routing; the caller's connection is
// the gateway's.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/journal"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
	"github.com/cardamompier/cardamompier/upstream/plainhttp"
)

const (
	maxAttempts  = 4
	retryAfter   = time.Second
	attemptPause = 20 * time.Millisecond
)

// Retries counts repeated attempts by the reason of the failed one.
var Retries = metrics.New("retries_total", "Repeated attempts, by the reason of the failed one.")

// Dispatcher sends work to upstreams.
type Dispatcher struct {
	hosts     *hosts.Poller
	logger    hclog.Logger
	transport *http.Transport
	next      atomic.Uint64

	mu     sync.Mutex
	plains map[string]*plainhttp.Client
}

// New returns a dispatcher over the hosts in the poller's list.
func New(list *hosts.Poller, logger hclog.Logger) *Dispatcher {
	return &Dispatcher{hosts: list, logger: logger, transport: enginehttp.NewTransport(), plains: map[string]*plainhttp.Client{}}
}

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

// Call sends one call to a plain service. It is sent again only when the
// service is idempotent or the upstream surely did not get it.
func (d *Dispatcher) Call(ctx context.Context, service *config.Service, call upstream.Call) (upstream.Reply, *apierr.Error) {
	failure := apierr.New(apierr.CodeNoUpstream, "no upstream is available").WithRetryAfter(retryAfter)
	tried := map[string]bool{}
	for range maxAttempts {
		host, ok := d.pick(service.Pool, tried)
		if !ok {
			return upstream.Reply{}, failure
		}
		tried[host.ID] = true
		reply, err := d.plain(host).Do(ctx, call)
		if err == nil {
			return reply, nil
		}
		events.AttemptFailed.Log(d.logger, "request", call.RequestID, "upstream", host.ID, "error", err)
		failure = failureOf(err)
		if !service.Idempotent && failure.Ran != apierr.NotRun {
			return upstream.Reply{}, failure
		}
		Retries.Inc(string(upstream.ReasonOf(err)))
	}
	return upstream.Reply{}, failure
}

// pick returns the next live host of a pool that was not tried.
func (d *Dispatcher) pick(pool string, tried map[string]bool) (hosts.Host, bool) {
	list := d.hosts.Current().Pool(pool)
	start := int(d.next.Add(1))
	for i := range list {
		host := list[(start+i)%len(list)]
		if host.State == hosts.StateLive && !tried[host.ID] {
			return host, true
		}
	}
	return hosts.Host{}, false
}

func (d *Dispatcher) plain(host hosts.Host) *plainhttp.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := host.ID + "@" + host.Address
	client, ok := d.plains[key]
	if !ok {
		client = plainhttp.NewClient(host.ID, host.Address)
		d.plains[key] = client
	}
	return client
}
