package cardamompier

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestDrainEndsInTime guards against a stopping host that outlives its grace period and is killed: a request that is
// still running at the end of the drain made it last up to another interval between two checks.
func TestDrainEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 3*recheckInterval + 100*time.Millisecond
		began := time.Now()
		awaitQuiet(func(time.Time) bool { return false }, began.Add(span))
		if took := time.Since(began); took != span {
			t.Errorf("with a request that does not end, the drain took %v, want %v", took, span)
		}
		began = time.Now()
		awaitQuiet(func(now time.Time) bool { return now.Sub(began) > recheckInterval }, began.Add(span))
		if took := time.Since(began); took != 2*recheckInterval {
			t.Errorf("with requests that end, the drain took %v, want %v", took, 2*recheckInterval)
		}
	})
}
