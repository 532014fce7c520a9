package gateway

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/events"
)

const (
	// servedShare is the part of a drain in which requests may end here
	// before they are handed over, in percent.
	servedShare = 50
	// lastWords is the part of a drain kept for the answers to callers whose
	// requests go on elsewhere, in percent.
	lastWords = 10
)

// Notice tells the gateway that its host will be reclaimed: it refuses new
// work, and from now on a token is copied before a caller sees it, so that
// nothing is lost whenever the host goes.
func (g *Gateway) Notice() {
	g.draining.Store(true)
	g.Keeper.Leave()
}

// Drain refuses new work and waits until the work in progress has ended.
// Requests that outlast the first part of the time that ctx leaves are handed
// to other entry hosts. It returns ctx's error when requests without a copy
// were cut.
func (g *Gateway) Drain(ctx context.Context) error {
	g.Notice()
	deadline, _ := ctx.Deadline()
	total := time.Until(deadline)
	timer := time.AfterFunc(total*(100-lastWords)/100, func() { close(g.endOfWait) })
	defer timer.Stop()
	ended := make(chan struct{})
	go func() {
		g.work.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(total * servedShare / 100):
		if left := g.Keeper.HandOver(ctx); left > 0 {
			events.DrainIncomplete.Log(g.Logger, "requests", left)
			return ctx.Err()
		}
	}
	g.Keeper.AwaitCopiesMoved(ctx)
	return nil
}
