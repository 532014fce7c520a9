// Package reclaim preserves accepted requests when their hosts fail or are reclaimed. Each request
// has one owner, the entry host that runs it; a holder, a host in another failure domain that
// stores a copy; and an epoch, a number that increases with each change of owner.
//
// Package genlog implements the logs and copies, and package dispatch sends requests to upstreams.
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

// Copies counts events on request copies, such as placements, replacements and failed sends.
var Copies = metrics.New("request_copies_total", "Events on the copies of accepted requests that other hosts hold, by event.")

// CopyBytes counts the bytes of text sent to copy holders, by kind of message.
var CopyBytes = metrics.New("request_copy_bytes_total", "Bytes of request and answer text copied to other hosts, by kind of message.")

// TakeOvers counts requests that this host has taken over from another owner, and requests that
// were lost, by reason.
var TakeOvers = metrics.New("take_overs_total", "Requests taken over from another entry host, and requests lost, by reason.")

// Label values of the Copies, CopyBytes and TakeOvers counters.
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
	// clockMargin is the time by which an owner shortens its lease, so that the lease ends at the
	// owner before it ends at the copy holder.
	clockMargin = genlog.LeaseTTL / 5
	callTimeout = 400 * time.Millisecond
	// orphanGrace is the time between the expiry of an owner's lease and a take-over by the copy
	// holder. A caller's read triggers a take-over as soon as the lease has expired.
	orphanGrace = time.Second
	// maxPlaceTries is the number of members that are tried in turn for a new copy.
	maxPlaceTries = 3
	// keyLookups is the number of members queried for an earlier use of an idempotency key, and
	// maxLookups the number queried for an accepted request.
	keyLookups       = 8
	maxLookups       = 32
	maxOrphansAtOnce = 64
	retryAfterDelay  = time.Second
	// firstViewWait bounds the wait of a newly started host for its first membership view.
	firstViewWait = 2 * time.Second
)

// Members provides the current membership view and this host's own record.
type Members interface {
	View() *membership.View
	Self() membership.Member
}

// Config holds the dependencies of a Keeper. All fields are required.
type Config struct {
	Members Members
	Client  *inner.Client
	Logs    *genlog.Store
	Holder  *genlog.Holder
	// Run executes a request until its log ends or moves to another owner.
	Run    func(log *genlog.Log)
	Logger hclog.Logger
}

// Keeper manages request ownership on one host: it runs accepted requests, copies them to other
// hosts, finds them, and takes over requests of failed owners. New creates it.
type Keeper struct {
	Config
	leaving        atomic.Bool
	flushRequested chan struct{}

	mu           sync.Mutex
	replications map[string]*replication // requests that this host owns, by request id
	inFlight     map[string]bool         // addresses of copy holders with a call in flight
	mirrors      map[string]*genlog.Log
	takingOver   map[string]bool // ids of the requests being taken over
}

// New returns a Keeper and registers its message handlers with server.
func New(cfg Config, server *inner.Server) *Keeper {
	k := &Keeper{
		Config: cfg, flushRequested: make(chan struct{}, 1),
		replications: map[string]*replication{}, inFlight: map[string]bool{},
		mirrors: map[string]*genlog.Log{}, takingOver: map[string]bool{},
	}
	k.register(server)
	return k
}

// Run copies request progress to other hosts, and takes over requests whose owners have failed,
// until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	flush, sweep := time.NewTicker(flushInterval), time.NewTicker(sweepInterval)
	defer flush.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-flush.C:
			k.flush(ctx)
		case <-k.flushRequested:
			k.flush(ctx)
		case <-sweep.C:
			k.sweep(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// FlushNow triggers an immediate copy of pending request progress to other hosts. It does not
// block.
func (k *Keeper) FlushNow() {
	select {
	case k.flushRequested <- struct{}{}:
	default:
	}
}

// Accept makes this host the owner of a new request and returns its log once another host holds a
// copy. If keyed is true and a run with the same idempotency key exists, it returns that run's log.
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

// place copies a request to another host. If required is false and no host accepts the copy, the
// request runs without one and flush retries.
func (k *Keeper) place(ctx context.Context, log *genlog.Log, required bool) *apierr.Error {
	entry := &replication{log: log}
	view := k.awaitView(ctx)
	candidates := genlog.Holders(log.RequestID, k.Members.Self(), view.Members)
	// The only member of a cluster runs requests without copies, but not before it has read its
	// first membership view: until then, an empty list does not mean that there are no others.
	required = required && (len(candidates) > 0 || view.ReadAt.IsZero())
	placed := k.placeAt(ctx, entry, candidates)
	if !placed && !required {
		// No other host holds a copy yet; the failed flag makes flush retry the placement.
		Copies.Inc(labelUncopied)
		entry.failed = true
	} else if !placed {
		return apierr.New(apierr.CodeNotReady, "the request could not be copied to another host").WithRetryAfter(retryAfterDelay)
	}
	if placed {
		Copies.Inc(labelPlaced)
	}
	k.mu.Lock()
	k.replications[log.RequestID] = entry
	k.mu.Unlock()
	return nil
}

// awaitView returns the membership view. On a newly started host it waits for the first view, for
// at most firstViewWait.
func (k *Keeper) awaitView(ctx context.Context) *membership.View {
	for limit := time.Now().Add(firstViewWait); ; {
		view := k.Members.View()
		if !view.ReadAt.IsZero() || time.Now().After(limit) || ctx.Err() != nil {
			return view
		}
		time.Sleep(flushInterval)
	}
}

// placeAt creates a copy of a request at the first candidate that accepts it, and tries at most
// maxPlaceTries. It returns false if none accepts, or if the request has a newer owner.
func (k *Keeper) placeAt(ctx context.Context, entry *replication, candidates []membership.Member) bool {
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
			k.fence(entry.log)
			return false
		}
		entry.recordPlacement(m, ack)
		entry.log.SetCopyLease(sent.Add(genlog.LeaseTTL - clockMargin))
		entry.log.Acknowledge(ack, sent.Add(genlog.LeaseTTL-clockMargin))
		return true
	}
	return false
}

// start runs an owned request in its own goroutine, independent of its callers. It returns the
// existing log if the request already runs here.
func (k *Keeper) start(log *genlog.Log) *genlog.Log {
	existing, created := k.Logs.Create(log)
	if !created {
		return existing
	}
	if k.leaving.Load() {
		log.RequireAckBeforeRead()
	}
	go func() {
		k.Config.Run(log)
		k.FlushNow()
		k.Logs.Expire(log)
	}()
	return log
}

func (k *Keeper) owner() genlog.Owner {
	self := k.Members.Self()
	return genlog.Owner{ID: self.ID, InnerAddress: self.InnerAddress}
}

func (k *Keeper) call(ctx context.Context, address string, kind inner.MessageKind, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Client.Call(ctx, address, kind, req, resp)
}
