package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sort"

	"github.com/danielgtaylor/huma/v2"
)

// addressKeepSeconds is how long a caller may keep the answer.
const addressKeepSeconds = 10

// Address is one entry host that a caller may connect to.
type Address struct {
	Host          string `json:"host"`
	Address       string `json:"address" doc:"IP number and port"`
	FailureDomain string `json:"failure_domain"`
}

// Addresses is the answer to the address question.
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

// addresses returns the hosts that take new work, those in the caller's
// failure domain first and otherwise in random order, so that callers which
// take the first spread.
func (g *Gateway) addresses(near string) Addresses {
	out := Addresses{Addresses: []Address{}, KeepSeconds: addressKeepSeconds}
	for _, m := range g.Members.View().Usable() {
		out.Addresses = append(out.Addresses, Address{Host: m.ID, Address: m.Address, FailureDomain: m.FailureDomain})
	}
	orderAddresses(out.Addresses, near, rand.Shuffle)
	return out
}

func orderAddresses(list []Address, near string, shuffle func(int, func(i, j int))) {
	shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].FailureDomain == near && list[j].FailureDomain != near
	})
}
