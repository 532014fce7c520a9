// Package innermem is an in-memory transport for tests. It delivers the messages of
// package inner within one process, and can lose or delay messages, cut the links
// between addresses and pause hosts.
package innermem

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cardamompier/cardamompier/inner"
)

// Network is an in-memory network that connects the hosts of one test. Use New.
type Network struct {
	mu      sync.Mutex
	random  *rand.Rand
	servers map[string]*inner.Server
	paused  map[string]chan struct{} // closed when the pause ends
	cut     map[[2]string]bool       // cut links, by sender and receiver
	loss    float64                  // share of messages that are lost, 0 to 1
	delay   time.Duration            // longest delay of a message in one direction
}

// New returns a Network without faults. The seed determines which messages are lost
// and how long each message is delayed.
func New(seed uint64) *Network {
	return &Network{
		random: rand.New(rand.NewPCG(seed, seed)), servers: map[string]*inner.Server{},
		paused: map[string]chan struct{}{}, cut: map[[2]string]bool{},
	}
}

// Serve makes server reachable at address. A nil server makes the address
// unreachable.
func (n *Network) Serve(address string, server *inner.Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = server
}

// SetLoss sets the share of messages that are lost, 0 to 1.
func (n *Network) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// SetDelay sets the longest delay of a message in one direction. Each message has a
// random delay from 0 to longest.
func (n *Network) SetDelay(longest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = longest
}

// Cut cuts the link between two addresses in both directions, or restores it if cut
// is false.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
}

// Pause pauses the host at address. Messages from and to the host wait until Resume.
func (n *Network) Pause(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[address] == nil {
		n.paused[address] = make(chan struct{})
	}
}

// Resume ends the pause of the host at address. It has no effect without a pause.
func (n *Network) Resume(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ended := n.paused[address]; ended != nil {
		close(ended)
		delete(n.paused, address)
	}
}

// AwaitResume waits until the host at address is not paused.
func (n *Network) AwaitResume(address string) {
	for {
		n.mu.Lock()
		ended := n.paused[address]
		n.mu.Unlock()
		if ended == nil {
			return
		}
		<-ended
	}
}

// Client returns a Client that sends messages from address.
func (n *Network) Client(address string) *Client { return &Client{network: n, address: address} }

// Client sends messages from one address. It implements inner.Transport.
type Client struct {
	network *Network
	address string
}

// Call sends a message, waits for the response and decodes it into resp. Errors of
// the transport have type *inner.Error.
func (c *Client) Call(ctx context.Context, address string, kind inner.MessageKind, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return &inner.Error{Peer: address, Kind: kind, Reason: inner.ReasonCodec, Cause: err}
	}
	type outcome struct {
		body    []byte
		failure error
	}
	outcomes := make(chan outcome, 1)
	c.network.AwaitResume(c.address)
	if err := ctx.Err(); err != nil { // inner.Client's write fails in the same way
		return &inner.Error{Peer: address, Kind: kind, Reason: inner.ReasonBroken, Cause: err}
	}
	go func() {
		if server := c.network.deliver(c.address, address); server != nil {
			response, err := server.Handle(context.WithoutCancel(ctx), kind, body)
			if c.network.deliver(address, c.address) != nil {
				outcomes <- outcome{response, err}
			}
		}
	}()
	defer c.network.AwaitResume(c.address)
	select {
	case received := <-outcomes:
		if received.failure != nil {
			return &inner.Error{Peer: address, Kind: kind, Reason: inner.ReasonHandler, Cause: received.failure}
		}
		return cbor.Unmarshal(received.body, resp)
	case <-ctx.Done():
		return &inner.Error{Peer: address, Kind: kind, Reason: inner.ReasonTimeout, Cause: ctx.Err()}
	}
}

// Send sends a message without waiting for a response.
func (c *Client) Send(ctx context.Context, address string, kind inner.MessageKind, message any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return &inner.Error{Peer: address, Kind: kind, Reason: inner.ReasonCodec, Cause: err}
	}
	c.network.AwaitResume(c.address)
	if err := ctx.Err(); err != nil { // inner.Client's write fails in the same way
		return &inner.Error{Peer: address, Kind: kind, Reason: inner.ReasonBroken, Cause: err}
	}
	go func() {
		if server := c.network.deliver(c.address, address); server != nil {
			_, _ = server.Handle(context.WithoutCancel(ctx), kind, body)
		}
	}()
	return nil
}

// deliver waits for the delay of a message and for a pause of the receiver, and then
// returns the server at the receiving address. It returns nil if the message is lost.
func (n *Network) deliver(from, to string) *inner.Server {
	n.mu.Lock()
	lost := n.cut[[2]string{from, to}] || n.random.Float64() < n.loss || n.servers[to] == nil || n.servers[from] == nil
	delay := time.Duration(n.random.Int64N(int64(n.delay) + 1))
	n.mu.Unlock()
	if lost {
		return nil
	}
	time.Sleep(delay)
	n.AwaitResume(to)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[to]
}
