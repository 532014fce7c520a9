package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/order"
)

// Limits of the simulated key-value service, and times, of the orders experiment.
const (
	serviceWrites  = 300  // writes per second
	serviceReads   = 2000 // reads per second
	serviceLatency = 2 * time.Millisecond
	// runTime is the simulated time that an upstream needs to execute an order.
	runTime    = 5 * time.Millisecond
	maxLatency = 60 * time.Second
)

// Implementations of the order ledger that the orders experiment compares.
const (
	wayDirect      = "direct"
	wayPartitioned = "partitioned"
	wayShared      = "shared"
)

// ordersOptions holds the flags of the orders experiment.
type ordersOptions struct {
	ways, rates       string
	hosts, partitions int
	duration          time.Duration
	interval          time.Duration
	seed              uint64
}

// ordersExperiment returns the experiment that measures writes per order, refusals and
// latency of each order ledger.
func ordersExperiment() experiment {
	o := ordersOptions{
		ways: wayDirect + "," + wayPartitioned + "," + wayShared, rates: "1,10,100,1000",
		hosts: 9, partitions: 16, duration: 8 * time.Second, interval: 80 * time.Millisecond, seed: 1,
	}
	parser := flaggy.NewSubcommand("orders")
	parser.Description = "writes per order, refusals and latency of the ways to record orders"
	parser.String(&o.ways, "", "ways", "ways to measure")
	parser.String(&o.rates, "", "rates", "orders per second")
	parser.Int(&o.hosts, "", "hosts", "entry hosts")
	parser.Int(&o.partitions, "", "partitions", "partitions or buckets")
	parser.Duration(&o.duration, "", "duration", "time of each measurement")
	parser.Duration(&o.interval, "", "interval", "mean time between two commits of a busy partition")
	parser.UInt64(&o.seed, "", "seed", "seed of the arrivals")
	return experiment{parser: parser, run: func() int { return measureOrders(o) }}
}

func measureOrders(o ordersOptions) int {
	fmt.Printf("hosts %d, partitions %d, interval %s, %s each, seed %d; service: %d writes/s, %d reads/s, %s\n",
		o.hosts, o.partitions, o.interval, o.duration, o.seed, serviceWrites, serviceReads, serviceLatency)
	fmt.Println("way          orders/s  asked  refused  unrecorded  writes/order  writes/s  reads/s  claim p50  p99     finish p50  p99     ms")
	for _, way := range strings.Split(o.ways, ",") {
		for _, text := range strings.Split(o.rates, ",") {
			rate, err := strconv.ParseFloat(text, 64)
			if err != nil {
				fmt.Fprintln(os.Stderr, "experiment: not a rate:", text)
				return exitUsage
			}
			bench := newOrdersBench(o, way)
			bench.run(rate)
			bench.print(way, rate)
			bench.close()
		}
	}
	return 0
}

// ordersBench is one run of the orders experiment with one ledger and one order rate.
type ordersBench struct {
	options ordersOptions
	store   *kvmem.Store
	ledgers []order.Ledger
	servers []*http.Server
	clients []*inner.Client

	asked, refused, unrecorded atomic.Int64
	mu                         sync.Mutex
	claims, finishes           *hdrhistogram.Histogram
}

func newOrdersBench(o ordersOptions, way string) *ordersBench {
	b := &ordersBench{
		options: o, store: kvmem.New(),
		claims:   hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		finishes: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
	view := &staticView{}
	for n := range o.hosts {
		b.addHost(way, fmt.Sprintf("entry-%d", n), view)
	}
	b.store.SetFaults(kvmem.Faults{
		WritesPerSecond: serviceWrites, ReadsPerSecond: serviceReads, Latency: serviceLatency, Seed: o.seed,
	})
	return b
}

// staticView is a member list that does not change after all hosts have been added.
type staticView struct{ view membership.View }

// View implements order.MemberLister. It always returns the same view.
func (v *staticView) View() *membership.View { return &v.view }

func (b *ordersBench) addHost(way, name string, view *staticView) {
	store := kv.NewClient(b.store, kv.Options{})
	options := order.Options{Partitions: b.options.partitions, Interval: b.options.interval}
	switch way {
	case wayDirect:
		b.ledgers = append(b.ledgers, order.NewPerOrderLedger(store, name))
	case wayShared:
		b.ledgers = append(b.ledgers, order.NewSharedLedger(store, name, options))
	default:
		client, server := inner.NewClient(), inner.NewServer()
		ledger := order.NewPartitionedLedger(store, name, view, client, options)
		ledger.Register(server)
		address := b.serve(server)
		view.view.Members = append(view.view.Members, membership.Member{ID: name, InnerAddress: address})
		b.ledgers, b.clients = append(b.ledgers, ledger), append(b.clients, client)
	}
}

func (b *ordersBench) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(exitUsage)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	b.servers = append(b.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

func (b *ordersBench) close() {
	for _, c := range b.clients {
		c.Close()
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
}

// run places orders at random times on random hosts, without waiting for earlier orders to
// finish.
func (b *ordersBench) run(rate float64) {
	random := rand.New(rand.NewPCG(b.options.seed, 0))
	var orders sync.WaitGroup
	next := time.Now()
	for end := next.Add(b.options.duration); next.Before(end); {
		time.Sleep(time.Until(next))
		ledger := b.ledgers[random.IntN(len(b.ledgers))]
		orders.Go(func() { b.place(ledger) })
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	orders.Wait()
}

func (b *ordersBench) place(ledger order.Ledger) {
	b.asked.Add(1)
	ctx := context.Background()
	key := uuid.Must(uuid.NewV7())
	request := order.Request{ID: order.ID{Account: "account", Key: key.String()}, Digest: order.Digest{1}, Created: time.Now()}
	started := time.Now()
	claim, _, err := ledger.Claim(ctx, request)
	if err != nil || claim == nil {
		b.refused.Add(1)
		return
	}
	b.record(b.claims, started)
	time.Sleep(runTime)
	started = time.Now()
	outcome := &order.Outcome{Status: http.StatusOK, ContentType: "application/json", Body: []byte(`{"job":"job-1","state":"accepted"}`)}
	if ledger.Finish(ctx, claim, order.StateDone, outcome) != nil {
		b.unrecorded.Add(1)
		return
	}
	b.record(b.finishes, started)
}

func (b *ordersBench) record(h *hdrhistogram.Histogram, started time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = h.RecordValue(time.Since(started).Microseconds())
}

func (b *ordersBench) print(way string, rate float64) {
	calls := b.store.Calls()
	writes := float64(calls["swap"] + calls["delete"])
	reads := float64(calls["get"] + calls["list"])
	seconds := b.options.duration.Seconds()
	ran := max(1, b.asked.Load()-b.refused.Load())
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("%-12s %8.0f %6d %8d %11d %13.2f %9.1f %8.1f %10.1f %7.1f %10.1f %7.1f\n", way, rate,
		b.asked.Load(), b.refused.Load(), b.unrecorded.Load(), writes/float64(ran), writes/seconds, reads/seconds,
		ms(b.claims, 50), ms(b.claims, 99), ms(b.finishes, 50), ms(b.finishes, 99))
}
