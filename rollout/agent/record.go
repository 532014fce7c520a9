package agent

import (
	"context"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/rollout"
	"github.com/cardamompier/cardamompier/wait"
)

// RecordPrefix precedes the name of a pool in the key of its roll-out's record.
const RecordPrefix = "rollout/"

// Record is the stored state of a pool's newest roll-out. The coordinator writes it; hosts that hear of no
// coordinator read it.
type Record struct {
	rollout.Record
	// Base is the revision of the order since which the evidence counts.
	Base uint64
	// Barred are the versions that earlier orders had as targets and that were not promoted.
	Barred []string
	// Reports holds the evidence of the processes that have reported, by process, so that it outlasts them.
	Reports map[string]rollout.Evidence
	// Published reports that the status was written after the final phase.
	Published bool
	// Writer and Nonce make the values of all writes different.
	Writer string
	Nonce  uint64
}

// storedRecord is the CBOR form of a Record.
type storedRecord struct {
	Record    []byte   `cbor:"1,keyasint"`
	Base      uint64   `cbor:"2,keyasint"`
	Barred    []string `cbor:"3,keyasint,omitempty"`
	Published bool     `cbor:"4,keyasint,omitempty"`
	Writer    string   `cbor:"5,keyasint"`
	Nonce     uint64   `cbor:"6,keyasint"`

	Reports map[string]rollout.Evidence `cbor:"7,keyasint,omitempty"`
}

// EncodeRecord returns the stored form of a record. Its errors are of type *kv.RecordError.
func EncodeRecord(r Record) ([]byte, error) {
	inner, err := rollout.EncodeRecord(r.Record)
	if err != nil {
		return nil, &kv.RecordError{Key: RecordPrefix + r.Pool, Cause: err}
	}
	value, err := cbor.Marshal(storedRecord{Record: inner, Base: r.Base, Barred: r.Barred, Published: r.Published, Writer: r.Writer, Nonce: r.Nonce, Reports: r.Reports})
	if err != nil {
		return nil, &kv.RecordError{Key: RecordPrefix + r.Pool, Cause: err}
	}
	return value, nil
}

// DecodeRecord decodes the stored form of a record. Its errors are of type *kv.RecordError.
func DecodeRecord(key string, value []byte) (Record, error) {
	var stored storedRecord
	if err := cbor.Unmarshal(value, &stored); err != nil {
		return Record{}, &kv.RecordError{Key: key, Cause: err}
	}
	inner, err := rollout.DecodeRecord(stored.Record)
	if err != nil {
		return Record{}, &kv.RecordError{Key: key, Field: "record", Cause: err}
	}
	r := Record{Record: inner, Base: stored.Base, Barred: stored.Barred, Published: stored.Published, Writer: stored.Writer, Nonce: stored.Nonce, Reports: stored.Reports}
	if err := DirectiveOf(r, rollout.Decision{Phase: r.Phase}).validate(); err != nil {
		return Record{}, &kv.RecordError{Key: key, Field: "record", Cause: err}
	}
	if key != RecordPrefix+r.Pool {
		return Record{}, &kv.RecordError{Key: key, Field: "pool"}
	}
	return r, nil
}

// DirectiveOf returns the directive for a record and the decision that was taken on it.
func DirectiveOf(r Record, d rollout.Decision) Directive {
	return Directive{
		Order: r.Order, Base: r.Base, Old: r.Old, Barred: r.Barred, Phase: r.Phase, Open: d.Open, Step: d.Step, Withdraw: d.Withdraw,
		BadAnswers: d.BadAnswers, Done: r.Phase.Final() && r.Published,
	}
}

// purpose labels the calls to the store that read records.
var purpose = kv.Purpose{Name: "rollout", Priority: kv.PriorityRead}

// readRecords reads the records of the pools with an undecided order while no directive arrives, until ctx ends.
func (a *Agent) readRecords(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, purpose)
	for wait.For(ctx, judgeInterval) {
		a.eachPool(func(p *pool) {
			s, now := p.current.Load().state, a.Elapsed()
			silent := s.heardAt == 0 || now-s.heardAt > silentSpan
			if ctx.Err() == nil && s.ordered() && !s.done && silent && (p.readAt == 0 || now > p.readAt) {
				p.readAt = now + recordInterval/2 + rand.N(recordInterval)
				p.readRecord(ctx)
			}
		})
	}
}

// readRecord reads the stored record and obeys its final or promoting phase. A canary phase needs a directive.
func (p *pool) readRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	defer p.asked.Store(true)
	entry, err := p.agent.Store.Get(ctx, RecordPrefix+p.name)
	if kv.ReasonOf(err) == kv.ReasonNotFound {
		return
	}
	if err != nil {
		events.RolloutStore.Log(p.agent.Logger, "pool", p.name, "op", "read", "error", err)
		return
	}
	record, err := DecodeRecord(entry.Key, entry.Value)
	if err != nil {
		events.RolloutInvalid.Log(p.agent.Logger, "source", "record", "error", err)
		return
	}
	p.applyRecord(record)
}

// applyRecord takes over a stored record.
func (p *pool) applyRecord(r Record) {
	p.change(func(s *state) bool {
		if !p.adopt(s, DirectiveOf(r, rollout.Decision{})) {
			return false
		}
		if s.phase == rollout.PhasePromoting && s.step < 1 {
			s.step = 1 // the promotion began before this host heard of it
		}
		return true
	})
}
