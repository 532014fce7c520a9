package membudget

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

const (
	// firstBlock and maxBlock are the sizes of the first and of the largest block of a body, in bytes. A body of known
	// size up to maxBlock is one block.
	firstBlock, maxBlock = 1 << 10, 64 << 10
)

// Body is a body in blocks of bounded size. They are not joined, because that would double its memory.
type Body [][]byte

// Len returns the size in bytes.
func (b Body) Len() int {
	size := 0
	for _, block := range b {
		size += len(block)
	}
	return size
}

// Join returns the body as one slice. It copies a body of several blocks.
func (b Body) Join() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}

// WriteTo implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, block := range b {
		n, err := w.Write(block)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Reader returns a reader of the whole body.
func (b Body) Reader() io.Reader {
	if len(b) == 1 {
		return bytes.NewReader(b[0])
	}
	readers := make([]io.Reader, 0, len(b))
	for _, block := range b {
		readers = append(readers, bytes.NewReader(block))
	}
	return io.MultiReader(readers...)
}

// ReadBody reads r to its end and calls charge before each block is allocated. size is the size of the body; negative
// if it is not known.
func ReadBody(r io.Reader, size int64, charge func(int64) error) (Body, error) {
	return readBlocks(r, size, firstBlock, charge)
}

// ReadAnswer is like ReadBody for a body whose expected size only sets the size of the first block; negative if it is
// not known.
func ReadAnswer(r io.Reader, expected int64, charge func(int64) error) (Body, error) {
	first := int64(firstBlock)
	if expected >= 0 {
		first = min(expected+1, maxBlock) // the end is seen within the block
	}
	return readBlocks(r, -1, first, charge)
}

func readBlocks(r io.Reader, size, next int64, charge func(int64) error) (Body, error) {
	var body Body
	for read := int64(0); size < 0 || read < size; next = min(4*next, maxBlock) {
		if size >= 0 {
			next = min(size-read, maxBlock)
		}
		if err := charge(next); err != nil {
			return nil, err
		}
		block := make([]byte, next)
		n, err := fill(r, block)
		read += int64(n)
		if n > 0 {
			body = append(body, block[:n])
		}
		switch {
		case err == nil:
		case size < 0 && errors.Is(err, io.EOF):
			return body, nil
		case read == size && errors.Is(err, io.EOF):
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
	return body, nil
}

// fill reads until block is full or r fails, with io.EOF at its end.
func fill(r io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var read int
		read, err = r.Read(block[n:])
		n += read
	}
	return n, err
}

// bufferCost is the memory for each byte of a body that is read into a buffer that doubles its size, and then decoded.
const bufferCost = 4

// chargedReader charges what is read to a holder.
type chargedReader struct {
	io.ReadCloser
	holder *Holder
}

// Charged returns a reader of a request's body for handlers that read it into a buffer of their own. It charges
// bufferCost bytes for each byte.
func Charged(body io.ReadCloser, h *Holder) io.ReadCloser {
	return &chargedReader{ReadCloser: body, holder: h}
}

// Read implements io.Reader.
func (r *chargedReader) Read(p []byte) (int, error) {
	r.holder.Begin(PhaseBody)
	n, err := r.ReadCloser.Read(p)
	if err != nil {
		r.holder.Begin(PhaseRunning)
		return n, err
	}
	return n, r.holder.Grow(bufferCost * int64(n))
}
