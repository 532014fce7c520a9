package provision

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/weights"
)

const (
	// leastDemand keeps a host in a pool without requests, in tokens a second:
	// a pool without any could serve nothing and would stay empty.
	leastDemand = 1
	// startTime is taken for a host's start, before the copy of its weights.
	startTime = 2 * time.Minute
	// copyLimit bounds the time of one copy of the weights.
	copyLimit = 5 * time.Minute
)

// want is what the operators' files say of a pool.
type want struct {
	// capacity of a host of each class, in tokens a second.
	capacity map[string]float64
	// floor of the demand, in tokens a second.
	floor  float64
	models []string
}

// wantsOf returns the pools that are to be provisioned. Where services share a
// pool, a class has the smallest capacity that any of them states, and the
// floors add up.
func wantsOf(snapshot *config.Snapshot) map[string]want {
	wants := map[string]want{}
	if snapshot == nil {
		return wants
	}
	for _, s := range snapshot.Services {
		if len(s.Capacity) == 0 {
			continue
		}
		w := wants[s.Pool]
		if w.capacity == nil {
			w.capacity = map[string]float64{}
		}
		for class, capacity := range s.Capacity {
			if known, ok := w.capacity[class]; !ok || capacity < known {
				w.capacity[class] = capacity
			}
		}
		w.floor += s.MinTokensPerSecond
		w.models = append(w.models, s.Model)
		wants[s.Pool] = w
	}
	return wants
}

// supply is what the weight store said last about the copies of a pool's
// largest model.
type supply struct {
	store  weights.Store
	logger hclog.Logger

	mu     sync.Mutex
	model  weights.Model
	limits weights.Limits
}

// refresh reads the store; a failed read leaves what was known.
func (s *supply) refresh(ctx context.Context, names []string) {
	stored, err := s.store.Models(ctx)
	if err == nil {
		var limits weights.Limits
		if limits, err = s.store.Limits(ctx); err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.model, s.limits = largest(stored, names), limits
			return
		}
	}
	Orders.Inc(labelFailed)
	events.ProvisioningFailed.Log(s.logger, "error", err)
}

func largest(stored []weights.Model, names []string) weights.Model {
	var out weights.Model
	for _, m := range stored {
		if slices.Contains(names, m.Name) && m.Bytes > out.Bytes {
			out = m
		}
	}
	return out
}

// warmUp predicts the time from a host's start until it is warm.
func (s *supply) warmUp() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return startTime + s.limits.CopyTime(s.model)
}

// maxStarts returns how many more copies the store can serve in time.
func (s *supply) maxStarts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.CopiesWithin(s.model, copyLimit) - s.limits.Copies
}
