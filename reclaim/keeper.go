// Package reclaim keeps accepted requests alive while hosts are reclaimed:
// each request has one owner that carries it out, a holder in another failure
// domain with a copy of it, and an epoch that grows when the owner changes.
//
// The log, the copy and their rules are package genlog's; work at upstreams
// is package dispatch's.
package reclaim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
)

// Copies counts what happened to copies of requests, by event.
var Copies = metrics.New("request_copies_total", "Copies of accepted requests at holders, by event.")

// CopyBytes counts the bytes of text sent to holders.
var CopyBytes = metrics.New("request_copy_bytes_total", "Bytes of text copied to holders, by kind of message.")

// TakeOvers counts changes of the owner, by reason.
var TakeOvers = metrics.New("take_overs_total", "Requests taken over from another entry host, by reason.")

// Labels of the counters.
const (
	labelPlaced     = "placed"
	labelReplaced   = "replaced"
	labelUncopied   = "uncopied"
	labelFenced     = "fenced"
	labelSendFailed = "send_failed"
	labelReleased   = "released"
	labelCreate     = "create"
	labelAppend     = "append"
	labelCaller     = "caller"
	labelOrphan     = "orphan"
	labelLost       = "lost"
)

const (
	flushInterval   = 5 * time.Millisecond
	renewInterval   = genlog.LeaseTTL / 4
	replaceInterval = 100 * time.Millisecond
	sweepInterval   = 250 * time.Millisecond
	// clockMargin is the part of a lease that an owner leaves unused.
	clockMargin = genlog.LeaseTTL / 5
	callTimeout = 400 * time.Millisecond
	// orphanGrace is added to a lease before a holder takes over unasked.
	orphanGrace = time.Second
	// maxPlaceTries bounds the members that are asked to hold a new copy.
	maxPlaceTries = 3
	// firstLookups are the members that are asked whether a key was used
	// before, maxLookups those that are asked for a request that was accepted.
	firstLookups     = 8
	maxLookups       = 32
	maxOrphansAtOnce = 64
	notReadyWait     = time.Second
	// firstViewWait bounds the wait of a new host for its view of the others.
	firstViewWait = 2 * time.Second
)

// Members is the part of package membership that a Keeper needs.
type Members interface {
	View() *membership.View
	Self() membership.Member
}

// Parts are what a Keeper is made of.
type Parts struct {
	Members Members
	Client  *inner.Client
	Logs    *genlog.Store
	Holder  *genlog.Holder
	// Run carries a request out until its log ends or moves.
	Run    func(log *genlog.Log)
	Logger hclog.Logger
}

// Keeper owns, copies, finds and takes over requests. Use New.
type Keeper struct {
	Parts
	leaving atomic.Bool
	kick    chan struct{}

	mu      sync.Mutex
	copying map[string]*copying // requests that are owned here
	busy    map[string]bool     // holders with a call in flight, by address
	mirrors map[string]*genlog.Log
	taking  map[string]bool // take-overs in progress
}

// New returns a keeper and registers its messages at server.
func New(parts Parts, server *inner.Server) *Keeper {
	k := &Keeper{
		Parts: parts, kick: make(chan struct{}, 1),
		copying: map[string]*copying{}, busy: map[string]bool{},
		mirrors: map[string]*genlog.Log{}, taking: map[string]bool{},
	}
	k.register(server)
	return k
}

// Run copies progress and takes over orphans until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	flush, sweep := time.NewTicker(flushInterval), time.NewTicker(sweepInterval)
	defer flush.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-flush.C:
			k.flush(ctx)
		case <-k.kick:
			k.flush(ctx)
		case <-sweep.C:
			k.sweep(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Kick copies progress at once.
func (k *Keeper) Kick() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// Accept makes this host the owner of a new request: it returns once the
// request is copied to a holder. A keyed request that another host runs
// already is joined: the log follows that run.
func (k *Keeper) Accept(ctx context.Context, record genlog.Record, keyed bool) (*genlog.Log, *apierr.Error) {
	if keyed {
		log, refusal := k.joinOrClaim(ctx, record)
		if log != nil || refusal != nil {
			return log, refusal
		}
	}
	log := genlog.NewLog(record)
	if refusal := k.place(ctx, log, true); refusal != nil {
		if keyed {
			k.withdraw(ctx, record.RequestID)
		}
		return nil, refusal
	}
	return k.start(log), nil
}

// place copies a request to a holder. Where a copy is not required the
// request goes on without one until a holder is found.
func (k *Keeper) place(ctx context.Context, log *genlog.Log, required bool) *apierr.Error {
	entry := &copying{log: log}
	view := k.awaitView(ctx)
	candidates := genlog.Holders(log.RequestID, k.Members.Self(), view.Members)
	// A host that is alone goes on without copies, but not one that has not
	// looked yet.
	required = required && (len(candidates) > 0 || view.ReadAt.IsZero())
	placed := k.placeAt(ctx, entry, candidates)
	if !placed && !required {
		// Without another host there is nowhere to copy to; flush tries again.
		Copies.Inc(labelUncopied)
		entry.failed = true
	} else if !placed {
		return apierr.New(apierr.CodeNotReady, "the request could not be copied to another host").WithRetryAfter(notReadyWait)
	}
	if placed {
		Copies.Inc(labelPlaced)
	}
	k.mu.Lock()
	k.copying[log.RequestID] = entry
	k.mu.Unlock()
	return nil
}

// awaitView returns the members; a host that has just started waits for its
// first view of the others.
func (k *Keeper) awaitView(ctx context.Context) *membership.View {
	for limit := time.Now().Add(firstViewWait); ; {
		view := k.Members.View()
		if !view.ReadAt.IsZero() || time.Now().After(limit) || ctx.Err() != nil {
			return view
		}
		time.Sleep(flushInterval)
	}
}

// placeAt creates the copy at the first candidate that takes it.
func (k *Keeper) placeAt(ctx context.Context, entry *copying, candidates []membership.Member) bool {
	for _, m := range candidates[:min(maxPlaceTries, len(candidates))] {
		sent := time.Now()
		c := entry.log.CopyFor(k.owner())
		c.Released = entry.isReleased()
		CopyBytes.Add(labelCreate, int64(len(c.Text)+len(c.Record.Prompt)))
		var ack genlog.Ack
		if err := k.call(ctx, m.InnerAddress, inner.KindJournalCreate, c, &ack); err != nil {
			continue
		}
		if ack.Status == genlog.AckFenced {
			k.fenced(entry.log)
			return false
		}
		entry.placed(m, ack)
		entry.log.Copied(sent.Add(genlog.LeaseTTL - clockMargin))
		entry.log.Acknowledge(ack, sent.Add(genlog.LeaseTTL-clockMargin))
		return true
	}
	return false
}

// start carries an owned request out apart from its callers.
func (k *Keeper) start(log *genlog.Log) *genlog.Log {
	kept, created := k.Logs.Create(log)
	if !created {
		return kept
	}
	if k.leaving.Load() {
		log.CopyFirst()
	}
	go func() {
		k.Parts.Run(log)
		k.Kick()
		k.Logs.Expire(log)
	}()
	return log
}

func (k *Keeper) owner() genlog.Owner {
	self := k.Members.Self()
	return genlog.Owner{ID: self.ID, InnerAddress: self.InnerAddress}
}

func (k *Keeper) call(ctx context.Context, address string, kind inner.Kind, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Client.Call(ctx, address, kind, req, resp)
}
