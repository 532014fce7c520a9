package cloudhttp_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/cloud/cloudhttp"
	"github.com/cardamompier/cardamompier/cloud/cloudmem"
)

func TestCallsKeepTheTwinsAnswers(t *testing.T) {
	now := time.Unix(1_000_000, 0).UTC()
	twin := cloudmem.New(func() time.Time { return now }, time.Minute)
	market := cloud.Market{FailureDomain: "a", Class: "small", Reclaimable: true}
	twin.SetPrice(market, 0.3)
	server := httptest.NewServer(cloudhttp.Handler(twin))
	defer server.Close()
	client := cloudhttp.NewClient(server.URL)
	offers, err := client.Offers(t.Context())
	if err != nil || len(offers) != 1 || offers[0].Market != market {
		t.Fatalf("offers %+v, %v", offers, err)
	}
	request := cloud.StartRequest{Market: market, Pool: "p", Token: "t1"}
	first, err := client.Start(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	// A start under the same token, as after a lost answer, starts no second host.
	again, err := client.Start(t.Context(), request)
	if err != nil || again.ID != first.ID {
		t.Fatalf("second start %+v, %v", again, err)
	}
	twin.Refuse(market, now.Add(time.Minute))
	request.Token = "t2"
	if _, err := client.Start(t.Context(), request); cloud.ReasonOf(err) != cloud.ReasonRefused {
		t.Fatalf("refused start: %v", err)
	}
	request.Class = "unknown"
	if _, err := client.Start(t.Context(), request); cloud.ReasonOf(err) != cloud.ReasonInvalid {
		t.Fatalf("invalid start: %v", err)
	}
	server.Close()
	if _, err := client.Offers(t.Context()); cloud.ReasonOf(err) != cloud.ReasonUnavailable {
		t.Fatalf("no service: %v", err)
	}
}
