// Package membership knows the entry hosts: their addresses, failure domains
// and whether they are leaving.
package membership

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
)

// KeyPrefix is where entry hosts register.
const KeyPrefix = "entry/"

const (
	leaseTTL        = 6 * time.Second
	refreshInterval = time.Second
)

// Member is one entry host.
type Member struct {
	ID string `json:"id" cbor:"1,keyasint"`
	// Address is for callers, InnerAddress for other entry hosts and operators.
	Address       string `json:"address" cbor:"2,keyasint"`
	InnerAddress  string `json:"inner_address" cbor:"3,keyasint"`
	FailureDomain string `json:"failure_domain" cbor:"4,keyasint"`
	Region        string `json:"region" cbor:"5,keyasint"`
	Leaving       bool   `json:"leaving,omitempty" cbor:"6,keyasint,omitempty"`
}

// View is an immutable list of members in order of their ids.
type View struct {
	ReadAt  time.Time
	Members []Member
}

// Registry registers this host and reads the others from the key-value service.
type Registry struct {
	store   kv.Store
	logger  hclog.Logger
	current atomic.Pointer[View]

	mu      sync.Mutex
	self    Member
	lease   kv.LeaseID
	version kv.Version
}

// NewRegistry returns a registry for the host self.
func NewRegistry(store kv.Store, self Member, logger hclog.Logger) *Registry {
	r := &Registry{store: store, self: self, logger: logger}
	r.current.Store(&View{Members: []Member{self}})
	return r
}

// View returns the newest view.
func (r *Registry) View() *View { return r.current.Load() }

// Self returns this host.
func (r *Registry) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Neighbours returns the inner addresses that this host spreads values to.
func (r *Registry) Neighbours() []string {
	var out []string
	self := r.Self().ID
	for _, m := range r.View().Members {
		if m.ID != self {
			out = append(out, m.InnerAddress)
		}
	}
	return out
}

// Run registers and refreshes until ctx ends, then deregisters.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		if err := r.refresh(ctx); err != nil && ctx.Err() == nil {
			events.RegisterFailed.Log(r.logger, "error", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			r.deregister()
			return
		}
	}
}

// Leave announces that this host takes no new work.
func (r *Registry) Leave(ctx context.Context) error {
	r.mu.Lock()
	r.self.Leaving = true
	r.mu.Unlock()
	return r.register(ctx)
}

func (r *Registry) refresh(ctx context.Context) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	entries, _, err := r.store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	view := &View{ReadAt: time.Now()}
	for _, entry := range entries {
		var m Member
		if json.Unmarshal(entry.Value, &m) == nil {
			view.Members = append(view.Members, m)
		}
	}
	sort.Slice(view.Members, func(i, j int) bool { return view.Members[i].ID < view.Members[j].ID })
	r.current.Store(view)
	return nil
}

func (r *Registry) renew(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease != 0 {
		err := r.store.KeepAlive(ctx, lease)
		if kv.ReasonOf(err) != kv.ReasonLeaseExpired {
			return err
		}
	}
	lease, err := r.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.lease, r.version = lease, 0
	r.mu.Unlock()
	return r.register(ctx)
}

func (r *Registry) register(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	key := KeyPrefix + r.self.ID
	if entry, err := r.store.Get(ctx, key); err == nil {
		r.version = entry.Version
	}
	r.version, err = r.store.CompareAndSwap(ctx, kv.Write{Key: key, Value: value, Expect: r.version, Lease: r.lease})
	return err
}

func (r *Registry) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshInterval)
	defer cancel()
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease != 0 {
		_ = r.store.Revoke(ctx, lease)
	}
}
