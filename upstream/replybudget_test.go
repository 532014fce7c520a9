package upstream

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// endless is a reply without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestRepliesTogetherStayWithinTheBudget guards against replies that are each below their own limit and together exceed the
// memory of a host; small replies are read meanwhile.
func TestRepliesTogetherStayWithinTheBudget(t *testing.T) {
	const size = 4 << 20
	b := NewReplyBudget()
	var held []func()
	for {
		_, release, err := b.ReadAll(io.LimitReader(endless{}, size-1), size)
		if err != nil {
			var cut *SizeError
			if !errors.As(err, &cut) || cut.Reason != SizeBudget {
				t.Fatalf("got error %v, want that the budget is used up", err)
			}
			break
		}
		held = append(held, release)
	}
	if n := len(held); n < 4 || n*size > replyBudgetBytes {
		t.Errorf("%d replies of %d bytes are held, budget %d", n, size, replyBudgetBytes)
	}
	if body, _, err := b.ReadAll(strings.NewReader("small"), size); err != nil || string(body) != "small" {
		t.Errorf("a small reply beside them: got %q and error %v", body, err)
	}
	for _, release := range held {
		release()
		release() // of no effect
	}
	if _, _, err := b.ReadAll(endless{}, size); err == nil {
		t.Error("a reply without end was read")
	}
	if _, _, err := b.ReadAll(io.MultiReader(io.LimitReader(endless{}, size/2), iotestError{}), size); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a reply that breaks off: got error %v", err)
	}
	if free := b.free.Load(); free != replyBudgetBytes {
		t.Errorf("%d bytes of the budget are free after all replies were released, want %d", free, replyBudgetBytes)
	}
	want := bytes.Repeat([]byte("0123456789"), size/20)
	if got, _, err := b.ReadAll(bytes.NewReader(want), size); err != nil || !bytes.Equal(got, want) {
		t.Errorf("a reply of %d bytes was read as %d bytes with error %v", len(want), len(got), err)
	}
}

type iotestError struct{}

func (iotestError) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
