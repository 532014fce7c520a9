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
		d.noteFailure(service.Pool, host, err)
		failure = failureOf(err)
		if !service.Idempotent && failure.Ran != apierr.NotRun {
			return upstream.Reply{}, failure
		}
		Retries.Inc(string(upstream.ReasonOf(err)))
	}
	return upstream.Reply{}, failure
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
