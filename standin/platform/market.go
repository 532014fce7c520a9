package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/cloud/cloudhttp"
	"github.com/cardamompier/cardamompier/cloud/cloudmem"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/weights"
	"github.com/cardamompier/cardamompier/weights/weightshttp"
)

// PathReclaim and PathCloud are the paths of the test endpoints for the cloud.
const (
	// PathReclaim accepts a Reclaim, which announces the reclaim of hosts.
	PathReclaim = "/standin/reclaim"
	// PathCloud serves a CloudState.
	PathCloud = "/standin/cloud"
)

// Market is the content of the file with the cloud's offers and the weight store.
type Market struct {
	Offers []cloud.Offer `json:"offers"`
	// StartDelay is the time from the start of a host until it is live. Default 0.
	StartDelay config.Duration `json:"start_delay"`
	// OrderDelay is the time until a start call takes effect and returns. Default 0.
	OrderDelay config.Duration `json:"order_delay"`
	// Address is the address of every started host. If it is set, live and leaving hosts
	// are in the host list. No server needs to listen at the address.
	Address string `json:"address"`
	// Models are the models in the weight store.
	Models []weights.Model `json:"models"`
	// Limits are the bandwidth and the running copies that the weight store reports.
	Limits weights.Limits `json:"limits"`
}

// CloudState is the state of the cloud that tests can read.
type CloudState struct {
	// Started counts all hosts started so far, Present those that still exist.
	Started int `json:"started"`
	Present int `json:"present"`
	// Reads counts the reads of the offers. Each provisioning round starts with one.
	Reads int64 `json:"reads"`
}

// Reclaim is the request body of PathReclaim: the cloud reclaims the reclaimable hosts of
// a failure domain after the notice period.
type Reclaim struct {
	FailureDomain string          `json:"failure_domain"`
	Notice        config.Duration `json:"notice"`
}

// market is the state of the stand-in's cloud and weight store.
type market struct {
	cloud *cloudmem.Cloud
	file  Market
	reads atomic.Int64 // reads of the offers so far
}

// SetMarket adds a cloud and a weight store to the platform. Call it before Handler.
func (p *Platform) SetMarket(file Market) {
	m := &market{cloud: cloudmem.New(time.Now, time.Duration(file.StartDelay)), file: file}
	m.cloud.SetAddresses(func(string) string { return file.Address })
	for _, offer := range file.Offers {
		m.cloud.SetPrice(offer.Market, offer.PricePerHour)
	}
	p.market = m
}

// register adds the handlers of the cloud and the weight store. A nil market adds none.
func (m *market) register(mux *http.ServeMux) {
	if m == nil {
		return
	}
	mux.Handle("/v1/cloud/", cloudhttp.Handler(slowCloud{m.cloud, m}))
	mux.Handle("/v1/weights/", weightshttp.Handler(m))
	mux.HandleFunc("POST "+PathReclaim, m.serveReclaim)
	mux.HandleFunc("GET "+PathCloud, m.serveCloud)
}

// slowCloud counts reads of the offers and delays starts. A start takes effect even if the
// caller has stopped waiting.
type slowCloud struct {
	*cloudmem.Cloud
	market *market
}

// Offers implements cloud.API and counts the read.
func (s slowCloud) Offers(ctx context.Context) ([]cloud.Offer, error) {
	s.market.reads.Add(1)
	return s.Cloud.Offers(ctx)
}

// Start implements cloud.API with a delay of Market.OrderDelay.
func (s slowCloud) Start(ctx context.Context, req cloud.StartRequest) (cloud.Instance, error) {
	time.Sleep(time.Duration(s.market.file.OrderDelay))
	return s.Cloud.Start(context.WithoutCancel(ctx), req)
}

// hosts returns the live and leaving instances as entries of the host list.
func (m *market) hosts() []hosts.Host {
	if m == nil || m.file.Address == "" {
		return nil
	}
	instances, _ := m.cloud.Instances(context.Background())
	var list []hosts.Host
	for _, i := range instances {
		if i.State == cloud.StateStarting {
			continue
		}
		list = append(list, hosts.Host{
			ID: i.ID, Address: m.file.Address, FailureDomain: i.FailureDomain, Pool: i.Pool, Class: i.Class,
			Reclaimable: i.Reclaimable, State: hosts.State(i.State),
		})
	}
	return list
}

// Models implements weights.Store.
func (m *market) Models(context.Context) ([]weights.Model, error) { return m.file.Models, nil }

// Limits implements weights.Store.
func (m *market) Limits(context.Context) (weights.Limits, error) { return m.file.Limits, nil }

func (m *market) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var body Reclaim
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(m.cloud.Reclaim(body.FailureDomain, time.Duration(body.Notice)))
}

func (m *market) serveCloud(w http.ResponseWriter, r *http.Request) {
	instances, _ := m.cloud.Instances(r.Context())
	_ = json.NewEncoder(w).Encode(CloudState{Started: m.cloud.Started(), Present: len(instances), Reads: m.reads.Load()})
}
