package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/settings"
	"github.com/cardamompier/cardamompier/standin/desk"
	"github.com/cardamompier/cardamompier/standin/enginesim"
	"github.com/cardamompier/cardamompier/standin/platform"
)

const (
	loopback    = "127.0.0.1"
	demoEntries = 3                     // entry hosts of the demonstration
	demoToken   = 40 * time.Millisecond // engine time per token
	demoDrain   = 10 * time.Second      // time for open requests to end at shutdown
	demoInForce = 10 * time.Second      // timeout for the configuration to be in force
	demoPoll    = 20 * time.Millisecond // between two checks of the entry hosts
)

// demoUpstreams lists the upstreams of the demonstration: two engines in each engine pool
// and one order desk in each desk pool.
var demoUpstreams = []struct {
	pool  string
	plain bool // an order desk; otherwise a model engine
}{
	{pool: "badge-runners"}, {pool: "badge-runners"}, {pool: "proofing-runners"}, {pool: "proofing-runners"},
	{pool: "badge-desk", plain: true}, {pool: "diary-desk", plain: true},
}

// demoOptions holds the values of the demonstration's flags.
type demoOptions struct {
	dir  string
	port int
}

// demoFlags defines the flags of the demo subcommand.
func demoFlags(c *flaggy.Subcommand, o *demoOptions) {
	c.Description = "Everything in one process: three entry hosts, the platform and upstreams. Example: standin demo"
	c.String(&o.dir, "", "dir", "directory of service and client account files")
	c.Int(&o.port, "", "port", "first of the ports on loopback")
}

// demo is the state of a running demonstration.
type demo struct {
	options  demoOptions
	platform *platform.Platform
	entries  []*cardamompier.Server
	callers  []string // addresses of the entry hosts that callers connect to
	nextPort int      // next loopback port to listen on
}

// runDemo runs the demonstration until SIGINT or SIGTERM.
func runDemo(o demoOptions) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d := &demo{options: o, platform: platform.New(nil), nextPort: o.port}
	platformURL, err := d.serve(d.platform.Handler())
	if err != nil {
		return err
	}
	if err := d.startUpstreams(); err != nil {
		return err
	}
	for n := range demoEntries {
		if err := d.newEntry(n, "http://"+platformURL); err != nil {
			return err
		}
	}
	var running sync.WaitGroup
	for _, entry := range d.entries {
		running.Go(func() { _ = entry.Run(ctx, demoDrain) })
	}
	defer running.Wait()
	if err := d.publish(ctx); err != nil {
		stop()
		return err
	}
	d.printCommands(platformURL)
	<-ctx.Done()
	return nil
}

// address returns the next loopback address and reserves its port.
func (d *demo) address() string {
	address := net.JoinHostPort(loopback, strconv.Itoa(d.nextPort))
	d.nextPort++
	return address
}

// serve starts an HTTP server on the next loopback address and returns the address.
func (d *demo) serve(handler http.Handler) (string, error) {
	address := d.address()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", &cardamompier.ListenError{Address: address, Cause: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return address, nil
}

// startUpstreams starts a server for each upstream and publishes the host list.
func (d *demo) startUpstreams() error {
	var list []hosts.Host
	for n, u := range demoUpstreams {
		id := fmt.Sprintf("%s-%d", u.pool, n)
		handler := (&desk.Desk{}).Handler()
		if !u.plain {
			handler = enginesim.New(enginesim.Options{ID: id, TokenTime: demoToken, Salt: enginesim.SaltOf(id)}).Handler()
		}
		address, err := d.serve(handler)
		if err != nil {
			return err
		}
		list = append(list, hosts.Host{ID: id, Address: address, FailureDomain: demoDomain(n), Pool: u.pool, State: hosts.StateLive})
	}
	d.platform.SetHosts(list)
	return nil
}

// demoDomain returns the failure domain of the n-th host; successive hosts cycle through
// three failure domains.
func demoDomain(n int) string { return "domain-" + string(rune('a'+n%demoEntries)) }

// newEntry creates the n-th entry host without running it.
func (d *demo) newEntry(n int, platformURL string) error {
	s := settings.Settings{
		HostID: "entry-" + strconv.Itoa(n+1), FailureDomain: demoDomain(n),
		Listen: d.address(), InnerListen: d.address(),
		Platform: settings.Platform{KeyValue: platformURL, HostList: platformURL},
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: s.HostID, Level: hclog.Warn})
	entry, err := cardamompier.New(s, logger)
	if err != nil {
		return err
	}
	d.entries, d.callers = append(d.entries, entry), append(d.callers, s.Listen)
	return nil
}

// publish publishes the example configuration and waits until it is in force on all entry
// hosts, for demoInForce at most.
func (d *demo) publish(ctx context.Context) error {
	files, errs := config.ReadDir(d.options.dir)
	if len(errs) > 0 {
		return errs[0]
	}
	publisher := config.Publisher{Store: d.platform.Store, Writer: "demo", Now: time.Now}
	published, err := publisher.Publish(ctx, config.Change{Files: files})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, demoInForce)
	defer cancel()
	for !d.inForce(published.Revision) {
		select {
		case <-time.After(demoPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	fmt.Printf("revision %d is in force on %d entry hosts: %d services, %d client accounts\n\n",
		published.Revision, len(d.entries), len(files.Services), len(files.Accounts))
	return nil
}

// inForce reports whether all entry hosts have this revision or a later one and see each
// other as members.
func (d *demo) inForce(revision uint64) bool {
	for _, entry := range d.entries {
		if status := entry.Status(); status.Revision < revision || len(status.Members) < len(d.entries) {
			return false
		}
	}
	return true
}

// printCommands prints example commands to run in another terminal.
func (d *demo) printCommands(platformAddress string) {
	fmt.Printf(`Which addresses to use:
  curl -s http://%[1]s/v1/addresses

Stream an answer:
  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer ubumwe-desk-key' -H 'Content-Type: application/json' -d '{"model":"badge-wording","stream":true,"messages":[{"role":"user","content":"tokens=20 Draft a badge for Keza, class 3B"}]}'

Place an order, and again at another entry host, which gives the first outcome:
  curl -s http://%[1]s/services/print-orders/orders -H 'Authorization: Bearer ubumwe-desk-key' -H 'Idempotency-Key: %[5]s' -d '{"badges":30}'
  curl -s http://%[2]s/services/print-orders/orders -H 'Authorization: Bearer ubumwe-desk-key' -H 'Idempotency-Key: %[5]s' -d '{"badges":30}'

As an operator:
  go run ./cmd/cardamompier status --platform http://%[3]s
  go run ./cmd/cardamompier publish --platform http://%[3]s %[4]s

Ctrl-C stops it.
`, d.callers[0], d.callers[demoEntries-1], platformAddress, d.options.dir, uuid.Must(uuid.NewV7()))
}
