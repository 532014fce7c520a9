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
	// minDemand is the minimum demand of a pool, in tokens per second. It keeps one host in a pool
	// without requests: an empty pool serves no tokens, so its measured demand would stay zero.
	minDemand = 1
	// hostStartTime is the assumed time from the start of a host until it copies model weights.
	hostStartTime = 2 * time.Minute
	// maxCopyTime is the time within which each copy of model weights should finish.
	maxCopyTime = 5 * time.Minute
)

// poolSpec is the specification of a pool from the operators' configuration files.
type poolSpec struct {
	// capacity is the throughput of one host by machine class, in tokens per second.
	capacity map[string]float64
	// floor is the minimum demand that the pool is sized for, in tokens per second.
	floor  float64
	models []string
}

// poolSpecs returns the specifications of the pools to provision, by pool name: those of services
// that state a capacity. For services that share a pool, it uses the smallest capacity stated for
// each machine class and the sum of the floors.
func poolSpecs(snapshot *config.Snapshot) map[string]poolSpec {
	specs := map[string]poolSpec{}
	if snapshot == nil {
		return specs
	}
	for _, s := range snapshot.Services {
		if len(s.Capacity) == 0 {
			continue
		}
		spec := specs[s.Pool]
		if spec.capacity == nil {
			spec.capacity = map[string]float64{}
		}
		for class, capacity := range s.Capacity {
			if lowest, ok := spec.capacity[class]; !ok || capacity < lowest {
				spec.capacity[class] = capacity
			}
		}
		spec.floor += s.MinTokensPerSecond
		spec.models = append(spec.models, s.Model)
		specs[s.Pool] = spec
	}
	return specs
}

// weightStoreState is the weight store's last reported state for a pool: its limits, and the size
// of the pool's largest model.
type weightStoreState struct {
	store  weights.Store
	logger hclog.Logger

	mu     sync.Mutex
	model  weights.Model
	limits weights.Limits
}

// refresh reads the weight store's models and limits. If a read fails, the previous state remains.
func (s *weightStoreState) refresh(ctx context.Context, names []string) {
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

// largest returns the stored model with the most bytes among the given names.
func largest(stored []weights.Model, names []string) weights.Model {
	var out weights.Model
	for _, m := range stored {
		if slices.Contains(names, m.Name) && m.Bytes > out.Bytes {
			out = m
		}
	}
	return out
}

// warmUp predicts the time from the start of a host until its model weights are copied.
func (s *weightStoreState) warmUp() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return hostStartTime + s.limits.CopyTime(s.model)
}

// maxStarts returns the number of additional copies of model weights that the weight store can
// serve within maxCopyTime.
func (s *weightStoreState) maxStarts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.CopiesWithin(s.model, maxCopyTime) - s.limits.Copies
}
