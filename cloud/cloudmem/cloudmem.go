// Package cloudmem is the in-memory twin of the platform's cloud API. Its
// clock is given, so that it serves the stand-in process in real time and
// experiments in virtual time. It refuses starts and reclaims whole failure
// domains when told to.
package cloudmem

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/cloud"
)

// Cloud is an in-memory cloud.API. Use New.
type Cloud struct {
	now        func() time.Time
	startDelay time.Duration

	mu        sync.Mutex
	offers    map[cloud.Market]float64
	refusing  map[cloud.Market]time.Time // until when
	instances map[string]*cloud.Instance
	byToken   map[string]string
	lastID    int
	// address returns the address of a started instance.
	address func(id string) string
}

var _ cloud.API = (*Cloud)(nil)

// New returns a cloud without offers. A started host is live after startDelay.
func New(now func() time.Time, startDelay time.Duration) *Cloud {
	return &Cloud{
		now: now, startDelay: startDelay,
		offers: map[cloud.Market]float64{}, refusing: map[cloud.Market]time.Time{},
		instances: map[string]*cloud.Instance{}, byToken: map[string]string{},
		address: func(string) string { return "" },
	}
}

// SetAddresses sets the function that gives a started host its address.
func (c *Cloud) SetAddresses(address func(id string) string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
}

// SetPrice sets the price of a market, for an hour.
func (c *Cloud) SetPrice(market cloud.Market, price float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offers[market] = price
}

// Refuse makes a market refuse starts until a time.
func (c *Cloud) Refuse(market cloud.Market, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing[market] = until
}

// Reclaim gives notice to all reclaimable hosts of a failure domain and
// returns their ids. They end after the notice.
func (c *Cloud) Reclaim(domain string, notice time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle()
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

// Started returns how many hosts were ever started.
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
	c.settle()
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
	if _, sold := c.offers[req.Market]; !sold {
		return cloud.Instance{}, &cloud.Error{Op: "start", Reason: cloud.ReasonInvalid}
	}
	if c.now().Before(c.refusing[req.Market]) {
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

// settle ends reclaimed hosts and makes started ones live.
func (c *Cloud) settle() {
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

func marketKey(m cloud.Market) string {
	return m.FailureDomain + "/" + m.Class + "/" + strconv.FormatBool(m.Reclaimable)
}
