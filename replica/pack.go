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
	// packBytes is the size in bytes from which the entries of a change are compressed for other
	// hosts. Route tables and lists of upstreams shrink to about a tenth.
	packBytes = 4 << 10
	// unpackedBytes bounds the decompressed size of entries from another host, in bytes. It has
	// room for a thousand upstreams and a value of 1 MiB, the largest that the store accepts.
	unpackedBytes = 8 << 20
	// maxCachedPacks is how many compressed changes are cached. The hosts that copy from this one
	// request changes since only a few different revisions.
	maxCachedPacks = 4
)

// packer compresses the entries of a change and caches the result for all hosts that request the
// changes since the same revision. The zero value is ready to use.
type packer struct {
	mu     sync.Mutex
	cached []packed // sorted from oldest to newest
}

// packed holds the compressed entries of the change between two revisions.
type packed struct {
	after, revision kv.Version
	data            []byte
}

// pack compresses the entries of a large change since revision after into c.Packed. If the
// compression fails, the entries are sent uncompressed.
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
	for _, known := range p.cached {
		if known.after == after && known.revision == c.Revision {
			c.Packed, c.Entries = known.data, nil
			return
		}
	}
	data, err := compress(c.Entries)
	if err != nil {
		Failures.Inc(labelPacking)
		return
	}
	if len(p.cached) == maxCachedPacks {
		p.cached = slices.Delete(p.cached, 0, 1)
	}
	p.cached = append(p.cached, packed{after: after, revision: c.Revision, data: data})
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

// PackError reports that the compressed entries of another host's change cannot be decoded. A nil
// Cause means that the decompressed entries exceed 8 MiB.
type PackError struct{ Cause error }

// Error implements error.
func (e *PackError) Error() string {
	if e.Cause == nil {
		return "entries compressed by a peer exceed 8 MiB when decompressed"
	}
	return "cannot decode entries compressed by a peer: " + e.Cause.Error()
}

// Unwrap returns the cause; it is nil if the decompressed entries are too large.
func (e *PackError) Unwrap() error { return e.Cause }

// unpack decompresses c.Packed and appends the entries to c.Entries. Its errors have the type
// *PackError.
func unpack(c *Change) error {
	if len(c.Packed) == 0 {
		return nil
	}
	fail := func(cause error) error {
		Failures.Inc(labelPacking)
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
