package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

const (
	// sizeRevisions is the number of revisions published before the measurement. It fills the
	// document's list of recent revisions.
	sizeRevisions = 200
	changesADay   = 480
	secondsADay   = 24 * 60 * 60
	sizeRepeats   = 20
)

// measureSize prints the size of the configuration document for several numbers of items,
// and the bandwidth and decoding time that one new revision costs an entry host.
func measureSize() {
	fmt.Printf("\nthe document after %d revisions; received once a change at %d changes a day\n", sizeRevisions, changesADay)
	fmt.Printf("%9s  %9s  %10s  %12s  %14s\n", "services", "accounts", "bytes", "bytes/s", "decode, index")
	for _, items := range []int{10, 100, 500} {
		store := kvmem.New()
		publishMany(store, items)
		for n := range sizeRevisions {
			publishModel(store, "service-0", fmt.Sprintf("m%d", n))
		}
		entry, err := store.Get(context.Background(), config.Key)
		if err != nil {
			continue
		}
		began := time.Now()
		for range sizeRepeats {
			if doc, err := config.Decode(entry.Value); err == nil {
				config.NewSnapshot(doc)
			}
		}
		took := time.Since(began) / sizeRepeats
		fmt.Printf("%9d  %9d  %10d  %12.1f  %14s\n", items, items, len(entry.Value),
			float64(len(entry.Value))*changesADay/secondsADay, took.Round(time.Microsecond))
	}
}

// publishMany publishes the given number of services and the same number of client
// accounts with two API keys each.
func publishMany(store *kvmem.Store, items int) {
	files := config.Files{Services: map[string]config.Service{}, Accounts: map[string]config.Account{}}
	for i := range items {
		service, account := fmt.Sprintf("service-%d", i), fmt.Sprintf("account-%d", i)
		files.Services[service] = config.Service{
			Name: service, Kind: config.KindModel, Pool: "runners", Model: "model-7b", Idempotent: true,
			Deadline: config.DefaultDeadline, MaxTokens: config.DefaultMaxTokens,
		}
		files.Accounts[account] = config.Account{
			Name: account, KeyDigests: []string{config.DigestOf(account), config.DigestOf(service)},
			Services: []string{service}, Weight: config.DefaultWeight,
		}
	}
	p := config.Publisher{Store: store, Writer: "experiment", Now: time.Now}
	_, _ = p.Publish(context.Background(), config.Change{Files: files})
}
