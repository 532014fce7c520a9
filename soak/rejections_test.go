package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// rejectionStatuses are the statuses that state that a request did not run.
var rejectionStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// rejectAfterRun answers a request that has run with each of rejectionStatuses in turn, sealed or not.
func (u *upstream) rejectAfterRun(w http.ResponseWriter) {
	n := int(u.rejections.Add(1))
	if n/len(rejectionStatuses)%2 == 0 {
		w.Header().Del("Response-Seal")
	}
	w.WriteHeader(rejectionStatuses[n%len(rejectionStatuses)])
}

// TestRejectionsAfterRuns plays a storm in which upstreams run requests and answer 408, 421, 429 or 503 without the
// header for "not run", beside the other faults. It guards against callers that get one of these statuses for a request
// that has run, and against a second run of such a request.
func TestRejectionsAfterRuns(t *testing.T) { eachSeed(t, playRejections) }

func playRejections(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	d := newDeployment(t, seed)
	d.ways = waysOfEnding
	calls, endCalls := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for range *callers {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		calling.Go(func() { d.callUntil(calls, own) })
	}
	storm, endStorm := context.WithCancel(context.Background())
	own := rand.New(rand.NewPCG(random.Uint64(), 0))
	rejections := make(chan int64)
	go func() {
		total := int64(0)
		for storm.Err() == nil {
			u := d.anyUpstream(own)
			before := u.rejections.Load()
			u.fail(answersRejections, 50*time.Millisecond+time.Duration(own.Int64N(int64(400*time.Millisecond))))
			total += u.rejections.Load() - before
		}
		rejections <- total
	}()
	d.induceFaults(t, random)
	endStorm()
	total := <-rejections
	endCalls()
	calling.Wait()
	t.Logf("%d requests were answered with a rejection after they ran; faults %v", total, d.faults)
	if total == 0 {
		t.Error("no request was answered with a rejection after it ran")
	}
	d.log.report(t)
}
