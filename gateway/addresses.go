package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sort"

	"github.com/danielgtaylor/huma/v2"
)

// addressCacheSeconds is the time in seconds for which a caller may cache a list of addresses.
const addressCacheSeconds = 10

// Address is one entry host that a caller may connect to.
type Address struct {
	Host          string `json:"host"`
	Address       string `json:"address" doc:"IP number and port"`
	FailureDomain string `json:"failure_domain"`
}

// Addresses is the response of GET /v1/addresses: the entry hosts that a caller may connect to.
type Addresses struct {
	Addresses   []Address `json:"addresses"`
	KeepSeconds int       `json:"keep_seconds" doc:"How long the answer may be kept"`
}

type addressesInput struct {
	FailureDomain string `query:"failure_domain" doc:"The caller's failure domain; hosts in it come first"`
}

type addressesOutput struct{ Body Addresses }

func (g *Gateway) registerAddresses() {
	huma.Register(g.api, huma.Operation{
		OperationID: "get-addresses", Method: http.MethodGet, Path: "/v1/addresses",
		Summary: "Which entry hosts to connect to, and for how long",
	}, func(_ context.Context, in *addressesInput) (*addressesOutput, error) {
		return &addressesOutput{Body: g.addresses(in.FailureDomain)}, nil
	})
}

// addresses returns the entry hosts that accept new work, those in the failure domain near first.
// The order is otherwise random, so that callers that use the first address spread over the hosts.
func (g *Gateway) addresses(near string) Addresses {
	out := Addresses{Addresses: []Address{}, KeepSeconds: addressCacheSeconds}
	for _, m := range g.Members.View().Usable() {
		out.Addresses = append(out.Addresses, Address{Host: m.ID, Address: m.Address, FailureDomain: m.FailureDomain})
	}
	orderAddresses(out.Addresses, near, rand.Shuffle)
	return out
}

// orderAddresses shuffles list and then moves the addresses in the failure domain near to the front.
func orderAddresses(list []Address, near string, shuffle func(int, func(i, j int))) {
	shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].FailureDomain == near && list[j].FailureDomain != near
	})
}
