package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/gossip"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
)

const (
	membershipDomains   = 4
	membershipWarmUp    = 15 * time.Second
	membershipEventWait = 30 * time.Second
	membershipPoll      = 2 * time.Millisecond
)

// fleetMember is one member of the measured cluster, with its own server on loopback.
type fleetMember struct {
	registry *membership.Registry
	table    *gossip.Table
	client   *inner.Client
	server   *inner.Server
	web      *http.Server
	listener *countingListener
	stop     context.CancelFunc
	ended    chan struct{}
}

func membershipExperiment() experiment {
	sizes, span, loadInterval := "9,40,120,340", 20*time.Second, time.Duration(0)
	parser := flaggy.NewSubcommand("membership")
	parser.Description = "Cost and speed of the membership by the number of members, over loopback in one process."
	parser.String(&sizes, "", "sizes", "numbers of members")
	parser.Duration(&span, "", "span", "length of the measurement at rest")
	parser.Duration(&loadInterval, "", "load-interval", "each member sets a value of 24 bytes so often; 0 for never")
	return experiment{parser: parser, run: func() int {
		fmt.Println("members  sent B/s  messages/s  connections  cpu/member  heap KiB  service calls/s  state ms  leave ms  suspect ms  dead ms")
		for _, text := range strings.Split(sizes, ",") {
			count, err := strconv.Atoi(text)
			if err != nil || count < 2 {
				fmt.Fprintln(os.Stderr, "experiment: sizes are whole numbers from 2")
				return exitUsage
			}
			measureMembership(count, span, loadInterval)
		}
		return 0
	}}
}

func measureMembership(count int, span, loadInterval time.Duration) {
	runtime.GC()
	heap := metrics.ReadProcess().HeapBytes
	store := kvmem.New()
	fleet := make([]*fleetMember, count)
	for i := range fleet {
		fleet[i] = startMember(i, store)
	}
	defer func() {
		for _, m := range fleet {
			m.kill()
		}
	}()
	if loadInterval > 0 {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, m := range fleet {
			go m.setLoad(ctx, loadInterval)
		}
	}
	awaitFleet(fleet, "views of all", func(m *fleetMember) bool { return len(m.registry.View().Members) == count })
	time.Sleep(membershipWarmUp)
	rest := measureRest(fleet, store, span)
	runtime.GC()
	rest.heapKiB = float64(metrics.ReadProcess().HeapBytes-heap) / 1024 / float64(count)
	state, leave, suspect, dead := measureEvents(fleet)
	fmt.Printf("%7d  %8.0f  %10.1f  %11.1f  %9.3f%%  %8.0f  %15.2f  %8s  %8s  %10s  %7s\n", count, rest.bytes, rest.messages,
		rest.connections, rest.cpu*100, rest.heapKiB, rest.calls, milliseconds(state), milliseconds(leave), milliseconds(suspect), milliseconds(dead))
}

func milliseconds(d time.Duration) string {
	if d < 0 {
		return "none"
	}
	return strconv.FormatInt(d.Milliseconds(), 10)
}

func startMember(i int, store *kvmem.Store) *fleetMember {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	id, address := fmt.Sprintf("host-%04d", i), listener.Addr().String()
	m := &fleetMember{
		table: gossip.NewTable(id), client: inner.NewClient(), server: inner.NewServer(),
		listener: &countingListener{Listener: listener}, ended: make(chan struct{}),
	}
	m.registry = membership.New(membership.Options{
		Self: membership.Member{
			ID: id, Address: address, InnerAddress: address,
			FailureDomain: fmt.Sprintf("domain-%d", i%membershipDomains), Region: "default",
		},
		Store: store, Table: m.table, Transport: m.client, Logger: hclog.NewNullLogger(),
	})
	m.registry.Register(m.server)
	mux := http.NewServeMux()
	mux.Handle(inner.Path, m.server)
	m.web = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = m.web.Serve(m.listener) }()
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	go func() { m.registry.Run(ctx); close(m.ended) }()
	return m
}

// kill stops a member without announcing that it leaves.
func (m *fleetMember) kill() {
	m.stop()
	<-m.ended
	m.client.Close()
	m.server.Close()
	_ = m.web.Close()
}

func (m *fleetMember) setLoad(ctx context.Context, interval time.Duration) {
	name := "load/" + m.registry.Self().ID
	for version := uint64(1); ctx.Err() == nil; version++ {
		m.table.SetOwned(name, version, make([]byte, 24))
		time.Sleep(interval)
	}
}

// restCosts holds the costs while the membership does not change: per member, except calls,
// which is the key-value calls per second of all members together.
type restCosts struct {
	bytes, messages, connections, cpu, heapKiB, calls float64
}

func measureRest(fleet []*fleetMember, store *kvmem.Store, span time.Duration) restCosts {
	cpu, calls, messages, start := metrics.ReadProcess().CPUSeconds, callsOf(store), inner.Messages.Value("sent"), time.Now()
	var bytes int64
	for _, m := range fleet {
		bytes -= m.listener.bytes.Load()
	}
	time.Sleep(span)
	seconds, count := time.Since(start).Seconds(), float64(len(fleet))
	out := restCosts{
		cpu:      (metrics.ReadProcess().CPUSeconds - cpu) / seconds / count,
		calls:    float64(callsOf(store)-calls) / seconds,
		messages: float64(inner.Messages.Value("sent")-messages) / seconds / count,
	}
	open := int64(0)
	for _, m := range fleet {
		bytes += m.listener.bytes.Load()
		open += m.listener.open.Load()
	}
	// Only the accepting member counts a connection and its bytes in both directions, so the
	// number of connections is doubled.
	out.bytes = float64(bytes) / seconds / count
	out.connections = 2 * float64(open) / count
	return out
}

func callsOf(store *kvmem.Store) uint64 {
	var sum uint64
	for _, n := range store.Calls() {
		sum += n
	}
	return sum
}

// measureEvents returns the times until the last member has received a state value, the
// leave of a member, and the suspicion and the removal of a killed member.
func measureEvents(fleet []*fleetMember) (state, leave, suspect, dead time.Duration) {
	fleet[0].table.Set("experiment/value", 1, []byte("value"))
	state = awaitFleet(fleet, "the value", func(m *fleetMember) bool { _, _, ok := m.table.Get("experiment/value"); return ok })
	leaver, victim := fleet[1].registry.Self().ID, fleet[len(fleet)-1]
	go fleet[1].registry.Leave(context.Background())
	leave = awaitFleet(fleet, "the leave", func(m *fleetMember) bool {
		other, _ := m.registry.View().Member(leaver)
		return other.Leaving
	})
	id, others := victim.registry.Self().ID, fleet[:len(fleet)-1]
	victim.kill()
	start := time.Now()
	suspect = awaitFleet(others, "the suspicion", func(m *fleetMember) bool {
		other, present := m.registry.View().Member(id)
		return !present || other.State != membership.StateAlive
	})
	if awaitFleet(others, "the death", func(m *fleetMember) bool { _, present := m.registry.View().Member(id); return !present }) < 0 {
		return state, leave, suspect, -1
	}
	return state, leave, suspect, time.Since(start)
}

// awaitFleet returns the time until holds has returned true for every member, or -1 if that
// takes longer than membershipEventWait.
func awaitFleet(fleet []*fleetMember, what string, holds func(*fleetMember) bool) time.Duration {
	start := time.Now()
	waiting := append([]*fleetMember{}, fleet...)
	for len(waiting) > 0 {
		if time.Since(start) > membershipEventWait {
			fmt.Fprintf(os.Stderr, "experiment: %d of %d members did not see %s\n", len(waiting), len(fleet), what)
			return -1
		}
		left := waiting[:0]
		for _, m := range waiting {
			if !holds(m) {
				left = append(left, m)
			}
		}
		waiting = left
		time.Sleep(membershipPoll)
	}
	return time.Since(start)
}
