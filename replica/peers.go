package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
)

// askTimeout bounds one question to a peer.
const askTimeout = 400 * time.Millisecond

// readRequest asks a peer for its copy of a prefix.
type readRequest struct {
	Prefix string     `cbor:"1,keyasint"`
	After  kv.Version `cbor:"2,keyasint"`
}

// readAnswer is a peer's copy; without entries where it is not newer.
type readAnswer struct {
	Revision kv.Version          `cbor:"1,keyasint"`
	Entries  map[string]kv.Entry `cbor:"2,keyasint,omitempty"`
}

// Serve answers peers' questions about the given replicas.
func Serve(server *inner.Server, replicas ...*Replica) {
	inner.Register(server, inner.KindReplicaRead, func(_ context.Context, req readRequest) (readAnswer, error) {
		for _, r := range replicas {
			view := r.Current()
			if r.prefix != req.Prefix || view == nil || view.Revision <= req.After {
				continue
			}
			return readAnswer{Revision: view.Revision, Entries: view.Entries}, nil
		}
		return readAnswer{}, nil
	})
}

// InnerPeers asks other entry hosts over the inner protocol.
type InnerPeers struct {
	// Client makes the calls.
	Client *inner.Client
	// Addresses returns the inner addresses of the other hosts.
	Addresses func() []string
}

var _ Peers = (*InnerPeers)(nil)

// Newer implements Peers: it asks one peer, drawn at random.
func (p *InnerPeers) Newer(ctx context.Context, prefix string, after kv.Version) (map[string]kv.Entry, kv.Version, error) {
	addresses := p.Addresses()
	if len(addresses) == 0 {
		return nil, 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer readAnswer
	address := addresses[rand.IntN(len(addresses))]
	err := p.Client.Call(ctx, address, inner.KindReplicaRead, readRequest{Prefix: prefix, After: after}, &answer)
	return answer.Entries, answer.Revision, err
}
