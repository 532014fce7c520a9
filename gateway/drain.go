package gateway

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/events"
)

const (
	// finishPercent is the percentage of the drain time in which requests may finish at this host
	// before it hands them over to other entry hosts.
	finishPercent = 50
	// replyPercent is the percentage of the drain time, at its end, that is reserved for replies to
	// callers whose requests continue at other entry hosts.
	replyPercent = 10
)

// PrepareForReclaim prepares the gateway for the loss of its host after a reclaim notice. It rejects
// new work and copies every further token to another entry host before the caller receives the
// token, so that no token is lost whenever the host stops.
func (g *Gateway) PrepareForReclaim() {
	g.draining.Store(true)
	g.Requests.BeginDrain()
}

// Drain rejects new work and waits until the requests in progress end. After finishPercent
// percent of the time until the deadline of ctx, it hands the remaining requests over to other entry
// hosts. It returns the error of ctx when requests without a copy at another host are lost.
func (g *Gateway) Drain(ctx context.Context) error {
	g.PrepareForReclaim()
	deadline, _ := ctx.Deadline()
	total := time.Until(deadline)
	timer := time.AfterFunc(total*(100-replyPercent)/100, func() { close(g.stopWaiting) })
	defer timer.Stop()
	ended := make(chan struct{})
	go func() {
		g.work.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(total * finishPercent / 100):
		if left := g.Requests.HandOver(ctx); left > 0 {
			events.DrainIncomplete.Log(g.Logger, "requests", left)
			return ctx.Err()
		}
	}
	g.Requests.MoveHeldCopies(ctx)
	return nil
}
