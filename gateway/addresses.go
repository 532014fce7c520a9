package gateway

import (
	"context"
	"net/http"

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

type addressesOutput struct{ Body Addresses }

func (g *Gateway) registerAddresses() {
	huma.Register(g.api, huma.Operation{
		OperationID: "get-addresses", Method: http.MethodGet, Path: "/v1/addresses",
		Summary: "Which entry hosts to connect to, and for how long",
	}, func(context.Context, *struct{}) (*addressesOutput, error) {
		return &addressesOutput{Body: g.addresses()}, nil
	})
}

func (g *Gateway) addresses() Addresses {
	out := Addresses{Addresses: []Address{}, KeepSeconds: addressKeepSeconds}
	for _, m := range g.Members.View().Members {
		if m.Usable() {
			out.Addresses = append(out.Addresses, Address{Host: m.ID, Address: m.Address, FailureDomain: m.FailureDomain})
		}
	}
	return out
}
