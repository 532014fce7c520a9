package order

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/kv"
)

// keyPrefix is where the records of direct claims are stored.
const keyPrefix = "order/"

// Direct is a Ledger with one write for each claim and one for each outcome.
type Direct struct {
	store  kv.Store
	writer string
}

var _ Ledger = (*Direct)(nil)

// NewDirect returns a ledger that writes to store under the writer's name.
func NewDirect(store kv.Store, writer string) *Direct {
	return &Direct{store: store, writer: writer}
}

// Claim implements Ledger.
func (d *Direct) Claim(ctx context.Context, id ID, digest Digest) (*Claim, Record, error) {
	record := Record{State: StateClaimed, Digest: digest, Writer: d.writer, Nonce: uuid.NewString(), At: time.Now().UTC()}
	version, err := d.write(ctx, id, record, 0)
	if err == nil {
		return &Claim{ID: id, Digest: digest, token: version}, record, nil
	}
	switch kv.ReasonOf(err) {
	case kv.ReasonConflict, kv.ReasonUnknown:
		return d.resolveClaim(ctx, id, record)
	default:
		return nil, Record{}, &Error{ID: id, Reason: ReasonUnavailable, Cause: err}
	}
}

// resolveClaim reads the record back: the claim was won if it is ours.
func (d *Direct) resolveClaim(ctx context.Context, id ID, ours Record) (*Claim, Record, error) {
	stored, version, err := d.read(ctx, id)
	if err != nil {
		return nil, Record{}, err
	}
	if stored.Nonce == ours.Nonce {
		return &Claim{ID: id, Digest: ours.Digest, token: version}, stored, nil
	}
	if stored.Digest != ours.Digest {
		return nil, stored, &Error{ID: id, Reason: ReasonConflict}
	}
	return nil, stored, nil
}

// Finish implements Ledger.
func (d *Direct) Finish(ctx context.Context, claim *Claim, state State, outcome *Outcome) error {
	record := Record{State: state, Digest: claim.Digest, Outcome: outcome, Writer: d.writer, Nonce: uuid.NewString(), At: time.Now().UTC()}
	version, _ := claim.token.(kv.Version)
	if _, err := d.write(ctx, claim.ID, record, version); err != nil {
		return &Error{ID: claim.ID, Reason: ReasonUnavailable, Cause: err}
	}
	return nil
}

// Get implements Ledger.
func (d *Direct) Get(ctx context.Context, id ID) (Record, error) {
	record, _, err := d.read(ctx, id)
	return record, err
}

func (d *Direct) read(ctx context.Context, id ID) (Record, kv.Version, error) {
	entry, err := d.store.Get(ctx, storeKey(id))
	if kv.ReasonOf(err) == kv.ReasonNotFound {
		return Record{}, 0, &Error{ID: id, Reason: ReasonNotFound}
	}
	if err != nil {
		return Record{}, 0, &Error{ID: id, Reason: ReasonUnavailable, Cause: err}
	}
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, 0, &Error{ID: id, Reason: ReasonCorrupt, Cause: err}
	}
	return record, entry.Version, nil
}

func (d *Direct) write(ctx context.Context, id ID, record Record, expect kv.Version) (kv.Version, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, &kv.Error{Op: "encode", Key: id.Key, Reason: kv.ReasonInvalid, Cause: err}
	}
	return d.store.CompareAndSwap(ctx, kv.Write{Key: storeKey(id), Value: value, Expect: expect})
}

func storeKey(id ID) string {
	return keyPrefix + url.PathEscape(id.Account) + "/" + url.PathEscape(id.Key)
}
