package replica

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/cardamompier/cardamompier/kv"
)

const (
	// packBytes is the size from which the entries of a change are compressed for
	// other hosts, in bytes: tables of routes and lists of upstreams take a tenth.
	packBytes = 4 << 10
	// unpackedBytes bounds the entries that another host sent, in bytes: a
	// thousand upstreams and a value of the 1 MiB that the store takes.
	unpackedBytes = 8 << 20
	// keptPacks is how many packed changes are kept for the next followers: they
	// ask from a few revisions.
	keptPacks = 4
)

// packer compresses the entries of a change once for all followers that ask from
// the same revision. The zero value is ready.
type packer struct {
	mu   sync.Mutex
	kept []packed // the newest last
}

type packed struct {
	after, revision kv.Version
	data            []byte
}

// pack moves the entries of a large change after a revision to its packed ones.
// What cannot be packed is sent as it is.
func (p *packer) pack(c *Change, after kv.Version) {
	size := 0
	for _, e := range c.Entries {
		size += len(e.Key) + len(e.Value)
	}
	if size < packBytes {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.kept {
		if known.after == after && known.revision == c.Revision {
			c.Packed, c.Entries = known.data, nil
			return
		}
	}
	data, err := compress(c.Entries)
	if err != nil {
		Failures.Inc(labelPack)
		return
	}
	if len(p.kept) == keptPacks {
		p.kept = slices.Delete(p.kept, 0, 1)
	}
	p.kept = append(p.kept, packed{after: after, revision: c.Revision, data: data})
	c.Packed, c.Entries = data, nil
}

func compress(entries []kv.Entry) ([]byte, error) {
	plain, err := cbor.Marshal(entries)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// PackError is a change of another host that cannot be unpacked.
type PackError struct{ Cause error }

// Error implements error.
func (e *PackError) Error() string {
	if e.Cause == nil {
		return "packed entries are too large"
	}
	return "packed entries: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *PackError) Unwrap() error { return e.Cause }

// unpack moves the packed entries of a change back among the others. It returns
// *PackError.
func unpack(c *Change) error {
	if len(c.Packed) == 0 {
		return nil
	}
	fail := func(cause error) error {
		Failures.Inc(labelPack)
		return &PackError{Cause: cause}
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.Packed)), unpackedBytes+1))
	if err != nil || len(plain) > unpackedBytes {
		return fail(err)
	}
	var entries []kv.Entry
	if err := cbor.Unmarshal(plain, &entries); err != nil {
		return fail(err)
	}
	c.Entries, c.Packed = append(c.Entries, entries...), nil
	return nil
}
