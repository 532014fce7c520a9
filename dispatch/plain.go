package dispatch

import (
	"context"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/plainhttp"
)

// CallPlain sends one call to a plain service, which is an HTTP service that generates no tokens.
// CallPlain retries only when the service is idempotent or the upstream certainly did not receive
// the call.
func (d *Dispatcher) CallPlain(ctx context.Context, service *config.Service, call upstream.Call) (upstream.Reply, *apierr.Error) {
	failure := apierr.New(apierr.CodeNoUpstream, "no upstream is available").WithRetryAfter(retryAfter)
	tried := map[string]bool{}
	mayHaveRun := false // at any of the attempts so far
	for range maxAttempts {
		host, ok := d.pick(service.Pool, tried)
		if !ok {
			return upstream.Reply{}, failure
		}
		tried[host.ID] = true
		reply, err := d.plainClient(host).Do(ctx, call)
		if err == nil {
			return reply, nil
		}
		events.AttemptFailed.Log(d.logger, "request", call.RequestID, "upstream", host.ID, "error", err)
		d.recordFailure(service.Pool, host, err)
		if failure = failureOf(err); mayHaveRun {
			failure = failure.WithRan(apierr.RanUnknown)
		}
		mayHaveRun = failure.Ran != apierr.NotRun
		if !service.Idempotent && failure.Ran != apierr.NotRun {
			return upstream.Reply{}, failure
		}
		Retries.Inc(string(upstream.ReasonOf(err)))
	}
	return upstream.Reply{}, failure
}

// plainClient returns the client of a host, and creates it at the first call.
func (d *Dispatcher) plainClient(host hosts.Host) *plainhttp.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := host.ID + "@" + host.Address
	client, ok := d.plainClients[key]
	if !ok {
		client = plainhttp.NewClient(host.ID, host.Address, d.replies)
		d.plainClients[key] = client
	}
	return client
}
