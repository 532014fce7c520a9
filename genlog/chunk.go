package genlog

import "github.com/cardamompier/cardamompier/apierr"

// Chunk is what a reader gets: the tokens from its offset on. It shares the
// log's bytes and must not be changed.
type Chunk struct {
	text   []byte
	ends   []uint32
	start  uint32
	branch uint64
	// State is StateRunning while more may follow.
	State State
	// Failed is the error in StateFailed.
	Failed *apierr.Error
}

// Len returns the number of tokens.
func (c Chunk) Len() int { return len(c.ends) }

// Token returns the text of the i-th token of the chunk.
func (c Chunk) Token(i int) []byte {
	start := c.start
	if i > 0 {
		start = c.ends[i-1]
	}
	return c.text[start:c.ends[i]]
}

// Text returns the text of all tokens of the chunk.
func (c Chunk) Text() []byte {
	if len(c.ends) == 0 {
		return nil
	}
	return c.text[c.start:]
}

// Branch is the epoch of the last branch before these tokens; zero for none.
func (c Chunk) Branch() uint64 { return c.branch }
