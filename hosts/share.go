package hosts

import (
	"context"
	"strings"
	"time"

	"github.com/cardamompier/cardamompier/gossip"
	"github.com/cardamompier/cardamompier/inner"
)

const (
	// markPrefix precedes the host id in the gossip key of a mark that the host is leaving.
	markPrefix = "leaving/"
	// peerTimeout is the timeout of one request to a peer for its view.
	peerTimeout = 250 * time.Millisecond
	// maxPeers is the maximum number of peers that one refresh queries.
	maxPeers = 2
)

// Pollers returns which entry hosts read the host list on behalf of all: whether this host is one
// of them, and the inner addresses of all such hosts in the order in which to query them.
type Pollers func() (self bool, addresses []string)

// sharing holds what a Poller needs to exchange views and leaving marks with other entry hosts.
type sharing struct {
	table     *gossip.Table
	transport inner.Transport
	pollers   Pollers
}

// question is a request to a peer for its view. Digest is the hash of the list that the sender has.
type question struct {
	Digest uint64 `cbor:"1,keyasint,omitempty"`
}

// answer is a peer's view of the host list. Hosts is empty if the sender of the question has the
// same list.
type answer struct {
	// AgeMS is the age of the peer's view, in milliseconds.
	AgeMS  int64  `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Hosts  []Host `cbor:"3,keyasint,omitempty"`
}

// Share connects the poller with those of the other entry hosts. A few of them read the host list,
// the others query these few, and marks of leaving hosts spread to all by gossip. Call Share before
// Run.
func (p *Poller) Share(table *gossip.Table, transport inner.Transport, server *inner.Server, pollers Pollers) {
	p.sharing = &sharing{table: table, transport: transport, pollers: pollers}
	inner.Register(server, inner.KindHostList, p.serveList)
	table.SubscribePrefix(markPrefix, func(item gossip.Item) { p.mark(strings.TrimPrefix(item.Name, markPrefix)) })
}

// MarkLeaving records that an upstream is leaving, as reported by the upstream or the cloud, and
// notifies the other entry hosts.
func (p *Poller) MarkLeaving(id string) {
	if p.sharing == nil {
		p.mark(id)
		return
	}
	if !p.markedWithin(id, markSettle) {
		p.sharing.table.Set(markPrefix+id, uint64(time.Now().UnixMilli()), nil)
	}
}

// refreshFromPeers refreshes the view from another host that reads the host list. It returns false
// if this host must read the list itself.
func (p *Poller) refreshFromPeers(ctx context.Context, seen *Snapshot) bool {
	self, addresses := p.sharing.pollers()
	if self {
		return false
	}
	for _, address := range addresses[:min(maxPeers, len(addresses))] {
		if p.fetchView(ctx, address, seen) {
			return true
		}
	}
	return false
}

// fetchView replaces the current view by a peer's and reports whether it could. The age of the
// peer's view counts from before the question was sent, so a delayed answer never looks newer than
// it is.
func (p *Poller) fetchView(ctx context.Context, address string, seen *Snapshot) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	start := time.Now()
	var got answer
	err := p.sharing.transport.Call(ctx, address, inner.KindHostList, question{Digest: seen.digest}, &got)
	readAt := start.Add(-time.Duration(got.AgeMS) * time.Millisecond)
	if err != nil || time.Since(readAt) > maxAge {
		Reads.Inc(labelPeerFailed)
		return false
	}
	list := got.Hosts
	if got.Digest == seen.digest {
		list = seen.Hosts
	}
	Reads.Inc(labelPeer)
	p.adopt(list, got.Digest, readAt)
	return true
}

func (p *Poller) serveList(_ context.Context, req question) (answer, error) {
	now := p.Current()
	if now.ReadAt.IsZero() {
		return answer{}, &inner.Failure{Code: "no_list"}
	}
	out := answer{AgeMS: now.Age().Milliseconds() + 1, Digest: now.digest}
	if req.Digest != now.digest {
		out.Hosts = now.Hosts
	}
	return out, nil
}
