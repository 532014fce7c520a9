package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/kv/kvhttp"
	"github.com/cardamompier/cardamompier/settings"
	"github.com/cardamompier/cardamompier/standin/enginesim"
	"github.com/cardamompier/cardamompier/standin/platform"
)

const (
	fleetEntries = 3
	fleetReady   = 10 * time.Second
	fleetPool    = "badge-runners"
	fleetService = "badge-wording"
	fleetKey     = "secret"
)

// fleet runs a stand-in platform, stand-in engines and entry hosts in this process.
type fleet struct {
	options  streamsOptions
	platform *platform.Platform
	engines  map[string]*enginesim.Engine
	servers  map[string]*http.Server
	entries  []string // the entry hosts' public addresses
	stops    map[string]context.CancelFunc
	running  sync.WaitGroup
	// countGaps is set when the host failure is injected: only later gaps between tokens count.
	countGaps atomic.Bool
}

func newFleet(ctx context.Context, o streamsOptions, noExport bool) (*fleet, error) {
	f := &fleet{
		options: o, platform: platform.New(nil), engines: map[string]*enginesim.Engine{},
		servers: map[string]*http.Server{}, stops: map[string]context.CancelFunc{},
	}
	url := "http://" + f.serve("platform", f.platform.Handler())
	f.addEngine("engine-1", noExport)
	if err := publishFleet(ctx, url); err != nil {
		return nil, err
	}
	for i := range fleetEntries {
		if err := f.addEntry(ctx, fmt.Sprintf("entry-%d", i+1), string(rune('a'+i)), url); err != nil {
			return nil, err
		}
	}
	f.awaitReady()
	return f, nil
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (f *fleet) serve(name string, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	f.servers[name] = server
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

func (f *fleet) addEngine(id string, noExport bool) {
	engine := enginesim.New(enginesim.Options{
		ID: id, TokenTime: f.options.tokenTime, PrefillTime: f.options.prefillTime, NoExport: noExport, Salt: enginesim.SaltOf(id),
	})
	f.engines[id] = engine
	address := f.serve(id, engine.Handler())
	domain := "domain of " + id
	f.platform.SetHosts(append(f.platform.Hosts(),
		hosts.Host{ID: id, Address: address, FailureDomain: domain, Pool: fleetPool, State: hosts.StateLive}))
}

func (f *fleet) addEntry(ctx context.Context, id, domain, url string) error {
	s := settings.Settings{
		HostID: id, FailureDomain: domain, Listen: freePort(), InnerListen: freePort(),
		Platform: settings.Platform{KeyValue: url, HostList: url}, LogLevel: "error",
	}
	server, err := cardamompier.New(s, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	f.entries = append(f.entries, s.Listen)
	ctx, f.stops[id] = context.WithCancel(ctx)
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		_ = server.Run(ctx, drainTimeout)
	}()
	return nil
}

func freePort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// publishFleet publishes a configuration of one service and one client account.
func publishFleet(ctx context.Context, url string) error {
	dir, err := os.MkdirTemp("", "experiment")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	service := fmt.Sprintf(`{"service":%q,"kind":"model","pool":%q,"model":"badge-7b"}`, fleetService, fleetPool)
	account := fmt.Sprintf(`{"account":"caller","key_digests":[%q],"services":[%q]}`, config.DigestOf(fleetKey), fleetService)
	for name, text := range map[string]string{"chat.service.json": service, "caller.account.json": account} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	files, faults := config.ReadDir(dir)
	if len(faults) > 0 {
		return faults[0]
	}
	publisher := config.Publisher{Store: kvhttp.NewClient(url), Writer: "experiment", Now: time.Now}
	_, err = publisher.Publish(ctx, config.Change{Files: files})
	return err
}

// awaitReady waits until every entry host answers requests and has had time to read the
// registrations of the others.
func (f *fleet) awaitReady() {
	deadline := time.Now().Add(fleetReady)
	for _, entry := range f.entries {
		for !isServing(entry) && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // time for the entry hosts to read each other's registration
}

// isServing reports whether an entry host streams an answer of one token to its end.
func isServing(entry string) bool {
	r := &streamReader{fleet: &fleet{entries: []string{entry}}, options: streamsOptions{tokens: 1}}
	r.connect(context.Background(), entry)
	return r.done
}

func (f *fleet) setState(id string, state hosts.State) {
	list := f.platform.Hosts()
	for i := range list {
		if list[i].ID == id {
			list[i].State = state
		}
	}
	f.platform.SetHosts(list)
}

// kill closes an engine's listener and connections at once. The platform's host list still
// contains the engine.
func (f *fleet) kill(id string) { _ = f.servers[id].Close() }

// stop starts the shutdown of an entry host and returns at once.
func (f *fleet) stop(id string) { f.stops[id]() }

func (f *fleet) close() {
	for _, stop := range f.stops {
		stop()
	}
	f.running.Wait()
	for _, server := range f.servers {
		_ = server.Close()
	}
}
