package reclaim

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/inner"
)

// readWait bounds the wait for a token before a read returns an empty answer.
const readWait = 200 * time.Millisecond

const codeNotHere = "not_here"

type lookupRequest struct {
	RequestID string `cbor:"1,keyasint"`
}

// lookupAnswer is a host's answer to a lookup of a request.
type lookupAnswer struct {
	// Known reports whether the host owns the request or holds a copy of it.
	Known   bool          `cbor:"1,keyasint"`
	Owned   bool          `cbor:"2,keyasint"`
	Epoch   uint64        `cbor:"3,keyasint"`
	Owner   genlog.Owner  `cbor:"4,keyasint"`
	State   genlog.State  `cbor:"5,keyasint"`
	Record  genlog.Record `cbor:"6,keyasint"`
	Count   int           `cbor:"7,keyasint"`
	address string        // inner address of the answering host
}

type takeOverRequest struct {
	RequestID string       `cbor:"1,keyasint"`
	Epoch     uint64       `cbor:"2,keyasint"`
	Owner     genlog.Owner `cbor:"3,keyasint"`
}

type takeOverAnswer struct {
	Status genlog.TakeOverStatus `cbor:"1,keyasint"`
	Copy   genlog.Copy           `cbor:"2,keyasint"`
}

type readRequest struct {
	RequestID string `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	From      int    `cbor:"3,keyasint"`
}

type claimRequest struct {
	RequestID string       `cbor:"1,keyasint"`
	Digest    uint64       `cbor:"2,keyasint"`
	Owner     genlog.Owner `cbor:"3,keyasint"`
}

type claimAnswer struct {
	First  genlog.Owner `cbor:"1,keyasint"`
	Digest uint64       `cbor:"2,keyasint"`
}

type empty struct{}

func (k *Keeper) register(s *inner.Server) {
	inner.Register(s, inner.KindJournalCreate, func(_ context.Context, c genlog.Copy) (genlog.Ack, error) {
		return k.Holder.Create(c), nil
	})
	inner.Register(s, inner.KindJournalAppend, k.serveAppend)
	inner.Register(s, inner.KindJournalLookup, func(_ context.Context, r lookupRequest) (lookupAnswer, error) {
		return k.lookupLocal(r.RequestID), nil
	})
	inner.Register(s, inner.KindJournalTakeOver, func(_ context.Context, r takeOverRequest) (takeOverAnswer, error) {
		c, status := k.Holder.TakeOver(r.RequestID, r.Epoch, r.Owner)
		return takeOverAnswer{Status: status, Copy: c}, nil
	})
	inner.Register(s, inner.KindJournalRead, k.serveRead)
	inner.Register(s, inner.KindJournalClaim, func(_ context.Context, r claimRequest) (claimAnswer, error) {
		first, digest := k.Holder.Claim(r.RequestID, r.Digest, r.Owner)
		return claimAnswer{First: first, Digest: digest}, nil
	})
	inner.Register(s, inner.KindJournalWithdraw, func(_ context.Context, r claimRequest) (empty, error) {
		k.Holder.Withdraw(r.RequestID, r.Owner)
		return empty{}, nil
	})
}

func (k *Keeper) serveAppend(_ context.Context, r appendRequest) (appendAnswer, error) {
	answer := appendAnswer{Acks: make([]genlog.Ack, 0, len(r.Progress)), Leaving: k.leaving.Load()}
	for _, p := range r.Progress {
		p.OwnerID = r.OwnerID
		ack := k.Holder.Append(p)
		answer.Acks = append(answer.Acks, ack)
		if p.Released && ack.Status == genlog.AckOK && !answer.Leaving {
			go k.adoptOrphan(context.Background(), p.RequestID, p.Epoch, labelReleased)
		}
	}
	return answer, nil
}

// lookupLocal returns this host's own information about a request, without its prompt.
func (k *Keeper) lookupLocal(requestID string) lookupAnswer {
	if log, ok := k.Logs.Get(requestID); ok && log.State() != genlog.StateMoved {
		record := log.Record
		record.Prompt = ""
		return lookupAnswer{
			Known: true, Owned: true, Epoch: log.Epoch, Owner: k.owner(), State: log.State(),
			Record: record, Count: log.Count(),
		}
	}
	c, count, ok := k.Holder.GetWithoutText(requestID)
	if !ok {
		return lookupAnswer{}
	}
	c.Record.Prompt = ""
	return lookupAnswer{Known: true, Epoch: c.Epoch, Owner: c.Owner, State: c.State, Record: c.Record, Count: count}
}

// serveRead returns the tokens of an answer from an offset. It serves answers that this host owns
// and completed answers that it holds a copy of, and fails with codeNotHere otherwise.
func (k *Keeper) serveRead(ctx context.Context, r readRequest) (genlog.Progress, error) {
	log, ok := k.Logs.Get(r.RequestID)
	if !ok || log.State() == genlog.StateMoved || log.Epoch < r.Epoch {
		c, held := k.Holder.Get(r.RequestID)
		if !held || c.State == genlog.StateRunning {
			return genlog.Progress{}, &inner.Failure{Code: codeNotHere}
		}
		log = genlog.NewLogFromCopy(c)
	}
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	p := genlog.Progress{RequestID: r.RequestID, Epoch: log.Epoch, From: r.From}
	chunk, err := log.Read(ctx, r.From)
	if err != nil {
		return p, nil
	}
	p.Text, p.State, p.Failed, p.Branches = chunk.Text(), chunk.State, genlog.FailureOf(chunk.Failed), log.Branches()
	for i := range chunk.Len() {
		p.Sizes = append(p.Sizes, uint32(len(chunk.Token(i))))
	}
	return p, nil
}

// Role is a host's role in a running request: owner or holder of a copy.
type Role string

// Roles of a host: RoleOwner runs the request, RoleHolder stores a copy of it.
const (
	RoleOwner  Role = "owner"
	RoleHolder Role = "holder"
)

// Roles returns this host's role in each running request that it owns or holds a copy of, by
// request id.
func (k *Keeper) Roles() map[string]Role {
	out := map[string]Role{}
	for _, c := range k.Holder.Running() {
		out[c.Record.RequestID] = RoleHolder
	}
	for _, log := range k.Logs.Running() {
		out[log.RequestID] = RoleOwner
	}
	return out
}
