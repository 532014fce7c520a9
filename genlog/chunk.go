package genlog

import "github.com/cardamompier/cardamompier/apierr"

// Chunk is the result of one read of a log: consecutive tokens and the state of the answer. It
// shares memory with the log and must not be modified.
type Chunk struct {
	text   []byte
	ends   []uint32
	start  uint32
	branch uint64
	// State is StateRunning while more tokens may follow.
	State State
	// Failed is the error of the answer when State is StateFailed, otherwise nil.
	Failed *apierr.Error
}

// Len returns the number of tokens in the chunk.
func (c Chunk) Len() int { return len(c.ends) }

// Token returns the text of the i-th token of the chunk.
func (c Chunk) Token(i int) []byte {
	start := c.start
	if i > 0 {
		start = c.ends[i-1]
	}
	return c.text[start:c.ends[i]]
}

// Text returns the joined text of all tokens of the chunk, or nil for an empty chunk.
func (c Chunk) Text() []byte {
	if len(c.ends) == 0 {
		return nil
	}
	return c.text[c.start:]
}

// BranchEpoch returns the epoch of the last branch recorded in the log when the chunk was read. It
// returns 0 if there was none or the chunk is empty.
func (c Chunk) BranchEpoch() uint64 { return c.branch }
