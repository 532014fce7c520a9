package routing

import (
	"math"
	"time"
)

const (
	// mediumPrompt and largePrompt divide prompts, by the tokens that an upstream has to read, into classes
	// whose answers are compared with each other.
	mediumPrompt, largePrompt = 1500, 5000
	// lightLoad and mediumLoad divide upstreams by their load when a request is sent: the work in front of
	// the request in relation to all work until its answer, or the requests in flight in relation to the
	// slots.
	lightLoad, mediumLoad = 0.34, 0.67
	// loadClasses, sizeClasses and routeClasses are the numbers of classes by load, prompt size and route.
	loadClasses, sizeClasses, routeClasses = 3, 3, 15
	// plainClasses is the first class of requests without prompt tokens.
	plainClasses = 2 * sizeClasses * loadClasses
	// RateClasses is the number of classes in which answers are compared with each other.
	RateClasses = plainClasses + routeClasses*loadClasses
	// minSampleWeight is the lowest weight of an answer whose request had to wait. Waiting makes the time
	// to an answer less certain.
	minSampleWeight = 0.1
	// minAnswerTime is the lowest time of an answer that is compared. Below it, the time depends on the
	// network and not on the upstream.
	minAnswerTime = 200 * time.Microsecond
)

// RateSample describes one request from whose answer the rate of its upstream is measured.
type RateSample struct {
	// Class selects the answers with which the answer is compared.
	Class int
	// Work is the expected work until the answer, in any unit.
	Work float64
	// Weight is the weight of the measurement, at most 1.
	Weight float64
}

// PromptSample returns the sample of a prompt from which the upstream has to read the given number of
// tokens, behind a backlog in tokens. affinity means that the upstream was chosen because it has read a part
// of the prompt before; how much it reads then depends on what is still cached.
func PromptSample(unread int, backlog int64, affinity bool) RateSample {
	own := float64(max(unread, 1))
	work := own + float64(max(backlog, 0))
	size := 0
	switch {
	case unread >= largePrompt:
		size = 2
	case unread >= mediumPrompt:
		size = 1
	}
	if affinity {
		size += sizeClasses
	}
	return RateSample{Class: size*loadClasses + loadClass(1-own/work), Work: work, Weight: max(own/work, minSampleWeight)}
}

// PlainSample returns the sample of a request without prompt tokens, sent while the upstream had the given
// number of requests in flight. route is a hash of the request's route.
func PlainSample(route uint64, inFlight, slots int) RateSample {
	load := 0.0
	if slots > 0 {
		load = float64(inFlight) / float64(slots)
	}
	return RateSample{Class: plainClasses + int(route%routeClasses)*loadClasses + loadClass(load), Work: 1, Weight: 1}
}

func loadClass(load float64) int {
	switch {
	case load < lightLoad:
		return 0
	case load < mediumLoad:
		return 1
	}
	return 2
}

// LogSpeed returns the logarithm of the work per second of an answer that came after the given time.
func (s RateSample) LogSpeed(elapsed time.Duration) float64 {
	return math.Log(s.Work / max(elapsed, minAnswerTime).Seconds())
}
