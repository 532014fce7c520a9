package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	pushInterval   = 100 * time.Millisecond
	pushTimeout    = time.Second
	pullTimeout    = 5 * time.Second
	repairInterval = 5 * time.Second
	// repairRetryInterval is the pause after a comparison of tables that found a difference or failed.
	repairRetryInterval = time.Second
	// maxInlineSize is the size of the largest value that a push message includes, in bytes.
	maxInlineSize = 512
	// maxReplySize bounds the total size of the values in one reply, in bytes; the first item is
	// always included.
	maxReplySize = 1 << 20
	// pushAttempts bounds how many times a push to a neighbour is sent until it succeeds.
	pushAttempts = 3
)

// Items counts items in messages between entry hosts (hosts that accept client requests) by outcome.
var Items = metrics.New("gossip_items_total", "Items in messages between entry hosts, by outcome.")

const (
	labelPushed     = "pushed"
	labelPushFailed = "push_failed"
	labelNew        = "received_new"
	labelKnown      = "received_known"
	labelPullFailed = "pull_failed"
	labelRepaired   = "repaired"
)

// Neighbours returns the inner addresses of the hosts with which this host exchanges values.
type Neighbours func() []string

// queuedItem is a new item that has not yet been sent to the neighbours.
type queuedItem struct {
	item    Item
	holders map[string]bool // inner addresses of the hosts that already have the item
}

// Spreader replicates the items of a table to other hosts. Use NewSpreader.
type Spreader struct {
	table      *Table
	self       string // inner address of this host
	transport  inner.Transport
	neighbours Neighbours
	wake       chan struct{}

	mu      sync.Mutex
	queue   map[string]*queuedItem // new items by name, for the next push
	pulling map[string]bool        // names of items that are being pulled
}

// NewSpreader returns a spreader of table for the host with the inner address self.
func NewSpreader(table *Table, self string, transport inner.Transport, neighbours Neighbours) *Spreader {
	s := &Spreader{
		table: table, self: self, transport: transport, neighbours: neighbours,
		wake: make(chan struct{}, 1), queue: map[string]*queuedItem{}, pulling: map[string]bool{},
	}
	table.onNew = s.enqueue
	return s
}

// Register registers the handlers of the spreader's messages with the server.
func (s *Spreader) Register(server *inner.Server) {
	inner.Register(server, inner.KindGossip, s.receive)
	inner.Register(server, inner.KindStatePull, s.servePull)
	inner.Register(server, inner.KindStateDiff, s.serveDiff)
}

// Run pushes new items to the neighbours and repairs differences between the tables until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { s.repairLoop(ctx) })
	for {
		select {
		case <-s.wake:
			s.pushAll(ctx, &running)
			wait.For(ctx, pushInterval)
		case <-ctx.Done():
			return
		}
	}
}

// repairLoop periodically compares the table with a neighbour's: every 5 s while the tables are equal,
// and 1 s after a difference or a failed comparison.
func (s *Spreader) repairLoop(ctx context.Context) {
	for pause := repairRetryInterval; wait.For(ctx, pause); {
		pause = repairRetryInterval
		if s.repair(ctx) {
			pause = repairInterval
		}
	}
}

// Flush pushes the queued items to the neighbours and returns when all pushes have succeeded or failed.
func (s *Spreader) Flush(ctx context.Context) {
	var pushing sync.WaitGroup
	s.pushAll(ctx, &pushing)
	pushing.Wait()
}

// enqueue queues a new item for all neighbours except the one from which it was received.
func (s *Spreader) enqueue(item Item, from string) {
	s.mu.Lock()
	s.queue[item.Name] = &queuedItem{item: item, holders: map[string]bool{from: true}}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pushAll sends each neighbour one message with the queued items that the neighbour does not have.
func (s *Spreader) pushAll(ctx context.Context, pushing *sync.WaitGroup) {
	for address, message := range s.drainQueue(s.neighbours()) {
		pushing.Go(func() { s.push(ctx, address, message) })
	}
}

// drainQueue empties the queue of new items and returns one push message for each neighbour's address.
func (s *Spreader) drainQueue(neighbours []string) map[string]push {
	s.mu.Lock()
	defer s.mu.Unlock()
	messages := map[string]push{}
	for name, r := range s.queue {
		delete(s.queue, name)
		for _, address := range neighbours {
			if r.holders[address] || address == s.self {
				continue
			}
			message := messages[address]
			message.From = s.self
			if len(r.item.Value) > maxInlineSize {
				message.Announced = append(message.Announced, digest{Name: name, Version: r.item.Version, Owner: r.item.Owner})
			} else {
				message.Items = append(message.Items, r.item)
			}
			messages[address] = message
		}
	}
	return messages
}

// push sends a message to a neighbour and retries it after a failure, within pushTimeout.
func (s *Spreader) push(ctx context.Context, address string, message push) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	count := int64(len(message.Items) + len(message.Announced))
	label := labelPushFailed
	for range pushAttempts {
		if s.transport.Send(ctx, address, inner.KindGossip, message) == nil {
			label = labelPushed
			break
		}
		wait.For(ctx, pushInterval)
		if ctx.Err() != nil {
			break
		}
	}
	Items.Add(label, count)
}

// receive handles a push from a neighbour: it stores the included items and pulls the announced ones.
func (s *Spreader) receive(_ context.Context, message push) (struct{}, error) {
	for _, item := range message.Items {
		s.accept(item, message.From)
	}
	s.pullAnnounced(message.From, message.Announced)
	return struct{}{}, nil
}

// accept stores an item from another host if it is newer than the known version. It records that the
// host has the item, so that the item is not pushed back.
func (s *Spreader) accept(item Item, from string) {
	if s.table.put(item, from) {
		Items.Inc(labelNew)
		return
	}
	Items.Inc(labelKnown)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.queue[item.Name]; ok && r.item.Version <= item.Version {
		r.holders[from] = true
	}
}

// pullAnnounced pulls the announced items that are newer than the known versions.
func (s *Spreader) pullAnnounced(from string, announced []digest) {
	var names []string
	for _, d := range announced {
		if s.table.needs(d) && s.startPull(d.Name) {
			names = append(names, d.Name)
		}
	}
	for _, name := range names {
		s.pull(from, name)
	}
}

// startPull marks a pull of the name as running. It returns false if one was running already.
func (s *Spreader) startPull(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	started := !s.pulling[name]
	s.pulling[name] = true
	return started
}

func (s *Spreader) pull(from, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var reply pullReply
	err := s.transport.Call(ctx, from, inner.KindStatePull, pullRequest{Names: []string{name}}, &reply)
	s.mu.Lock()
	delete(s.pulling, name)
	s.mu.Unlock()
	if err != nil {
		Items.Inc(labelPullFailed)
		return
	}
	for _, item := range reply.Items {
		s.accept(item, from)
	}
}

// servePull returns the requested items, up to maxReplySize bytes of values.
func (s *Spreader) servePull(_ context.Context, req pullRequest) (pullReply, error) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	var reply pullReply
	size := 0
	for _, name := range req.Names {
		item, ok := s.table.items[name]
		if !ok {
			continue
		}
		if size += len(item.Value); size > maxReplySize && len(reply.Items) > 0 {
			break
		}
		reply.Items = append(reply.Items, item.Item)
	}
	return reply, nil
}
