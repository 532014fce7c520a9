package replica

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"sync"

	"github.com/cardamompier/cardamompier/kv"
)

const (
	// packBytes is the size from which a value is compressed for other hosts, in
	// bytes: a table of some thousand routes takes a tenth.
	packBytes = 4 << 10
	// unpackedBytes bounds a value that another host sent, in bytes; the
	// platform's store takes 1 MiB.
	unpackedBytes = 8 << 20
)

// packer compresses each large value once for all followers. The zero value is
// ready.
type packer struct {
	mu     sync.Mutex
	values map[string]packedValue // by key
}

type packedValue struct {
	version kv.Version
	data    []byte
}

// pack moves large values among the entries of a change to its packed ones.
func (p *packer) pack(c *Change) {
	if !slices.ContainsFunc(c.Entries, isLarge) {
		return
	}
	small := make([]kv.Entry, 0, len(c.Entries))
	for _, e := range c.Entries {
		if !isLarge(e) {
			small = append(small, e)
			continue
		}
		if data := p.compressed(e); data != nil {
			e.Value = data
			c.Packed = append(c.Packed, e)
			continue
		}
		small = append(small, e)
	}
	c.Entries = small
}

func isLarge(e kv.Entry) bool { return len(e.Value) >= packBytes }

// compressed returns an entry's value compressed; nil where that fails.
func (p *packer) compressed(e kv.Entry) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.values[e.Key]; ok && known.version == e.Version {
		return known.data
	}
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		_, err = writer.Write(e.Value)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		Failures.Inc(labelPack)
		return nil
	}
	if p.values == nil {
		p.values = map[string]packedValue{}
	}
	p.values[e.Key] = packedValue{version: e.Version, data: out.Bytes()}
	return out.Bytes()
}

// PackError is a value of another host that cannot be decompressed.
type PackError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *PackError) Error() string {
	msg := "packed value of " + e.Key
	if e.Cause == nil {
		return msg + " is too large"
	}
	return msg + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *PackError) Unwrap() error { return e.Cause }

// unpack moves the packed entries of a change back among the others. It returns
// *PackError.
func unpack(c *Change) error {
	for _, e := range c.Packed {
		value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(e.Value)), unpackedBytes+1))
		if err != nil || len(value) > unpackedBytes {
			Failures.Inc(labelPack)
			return &PackError{Key: e.Key, Cause: err}
		}
		e.Value = value
		c.Entries = append(c.Entries, e)
	}
	c.Packed = nil
	return nil
}
