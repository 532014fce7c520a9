// Package cloudmem implements the platform's cloud API in memory, for tests and experiments. The
// caller supplies the clock, so that it runs in real time in a simulated platform and in virtual time
// in experiments. The caller can make it refuse starts and reclaim all hosts of a failure domain.
package cloudmem

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/cloud"
)

// Cloud is an in-memory implementation of cloud.API. New creates it.
type Cloud struct {
	now        func() time.Time
	startDelay time.Duration

	mu           sync.Mutex
	offers       map[cloud.Market]float64
	refusedUntil map[cloud.Market]time.Time // end of the refusal of starts
	instances    map[string]*cloud.Instance
	byToken      map[string]string
	lastID       int
	// address returns the network address of a live instance from its id.
	address func(id string) string
}

var _ cloud.API = (*Cloud)(nil)

// New returns a Cloud without offers. Hosts become live startDelay after their start.
func New(now func() time.Time, startDelay time.Duration) *Cloud {
	return &Cloud{
		now: now, startDelay: startDelay,
		offers: map[cloud.Market]float64{}, refusedUntil: map[cloud.Market]time.Time{},
		instances: map[string]*cloud.Instance{}, byToken: map[string]string{},
		address: func(string) string { return "" },
	}
}

// SetAddresses sets the function that returns the network address of a live host from its id.
func (c *Cloud) SetAddresses(address func(id string) string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
}

// SetPrice sets the price per host and hour in a market, and adds the market if it is new.
func (c *Cloud) SetPrice(market cloud.Market, price float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offers[market] = price
}

// RefuseStarts makes starts in a market fail with cloud.ReasonRefused until the given time.
func (c *Cloud) RefuseStarts(market cloud.Market, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedUntil[market] = until
}

// Reclaim marks all reclaimable hosts of a failure domain as leaving and returns their ids. The hosts
// end after the notice period.
func (c *Cloud) Reclaim(domain string, notice time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateStates()
	var ids []string
	for id, instance := range c.instances {
		if instance.FailureDomain == domain && instance.Reclaimable && instance.State != cloud.StateLeaving {
			instance.State, instance.ReclaimAt = cloud.StateLeaving, c.now().Add(notice)
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Started returns the total number of hosts started so far, including those that have ended.
func (c *Cloud) Started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastID
}

// Offers implements cloud.API.
func (c *Cloud) Offers(context.Context) ([]cloud.Offer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]cloud.Offer, 0, len(c.offers))
	for market, price := range c.offers {
		out = append(out, cloud.Offer{Market: market, PricePerHour: price})
	}
	sort.Slice(out, func(i, j int) bool { return marketKey(out[i].Market) < marketKey(out[j].Market) })
	return out, nil
}

// Instances implements cloud.API.
func (c *Cloud) Instances(context.Context) ([]cloud.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateStates()
	out := make([]cloud.Instance, 0, len(c.instances))
	for _, instance := range c.instances {
		out = append(out, *instance)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// Start implements cloud.API.
func (c *Cloud) Start(_ context.Context, req cloud.StartRequest) (cloud.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := c.byToken[req.Token]; ok && req.Token != "" {
		if instance, alive := c.instances[id]; alive {
			return *instance, nil
		}
	}
	if _, offered := c.offers[req.Market]; !offered {
		return cloud.Instance{}, &cloud.Error{Op: "start", Reason: cloud.ReasonInvalid}
	}
	if c.now().Before(c.refusedUntil[req.Market]) {
		return cloud.Instance{}, &cloud.Error{Op: "start", Reason: cloud.ReasonRefused}
	}
	c.lastID++
	id := "host-" + strconv.Itoa(c.lastID)
	instance := &cloud.Instance{Market: req.Market, ID: id, Pool: req.Pool, State: cloud.StateStarting, StartedAt: c.now()}
	c.instances[id] = instance
	c.byToken[req.Token] = id
	return *instance, nil
}

// Stop implements cloud.API.
func (c *Cloud) Stop(_ context.Context, id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.instances, id)
	return nil
}

// updateStates removes hosts whose reclaim notice has expired and marks started hosts as live after
// the start delay. The caller holds c.mu.
func (c *Cloud) updateStates() {
	now := c.now()
	for id, instance := range c.instances {
		switch {
		case instance.State == cloud.StateLeaving && !now.Before(instance.ReclaimAt):
			delete(c.instances, id)
		case instance.State == cloud.StateStarting && !now.Before(instance.StartedAt.Add(c.startDelay)):
			instance.State, instance.Address = cloud.StateLive, c.address(id)
		}
	}
}

// marketKey returns a string by which markets are sorted.
func marketKey(m cloud.Market) string {
	return m.FailureDomain + "/" + m.Class + "/" + strconv.FormatBool(m.Reclaimable)
}
