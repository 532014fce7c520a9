package replica

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
)

// askTimeout bounds one question to a peer beyond the time that it may wait.
const askTimeout = 200 * time.Millisecond

// readRequest asks a peer what it knows of a prefix beyond a revision.
type readRequest struct {
	Prefix string     `cbor:"1,keyasint"`
	After  kv.Version `cbor:"2,keyasint"`
	WaitMS int64      `cbor:"3,keyasint,omitempty"`
}

// Serve answers peers' questions about the given replicas.
func Serve(server *inner.Server, replicas ...*Replica) {
	inner.Register(server, inner.KindReplicaRead, func(ctx context.Context, req readRequest) (*Change, error) {
		for _, r := range replicas {
			if r.prefix == req.Prefix {
				return r.newer(ctx, req.After, time.Duration(req.WaitMS)*time.Millisecond), nil
			}
		}
		return nil, &inner.Failure{Code: codeUnknownPrefix}
	})
}

// codeUnknownPrefix refuses a prefix that this host keeps no copy of.
const codeUnknownPrefix = "unknown_prefix"

// newer returns what changes after a revision; it waits for that for up to the
// given time.
func (r *Replica) newer(ctx context.Context, after kv.Version, wait time.Duration) *Change {
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	asked := time.Now()
	since := func(view *View) *Change {
		now := time.Now()
		change := view.since(after, now)
		change.HeldMS = now.Sub(asked).Milliseconds()
		r.packed.pack(change, after)
		return change
	}
	for {
		changed := *r.changed.Load()
		view := r.current.Load()
		if view != nil {
			if change := since(view); !change.empty() {
				return change
			}
		}
		select {
		case <-changed:
			continue
		case <-waiting.Done():
		}
		if view = r.current.Load(); view == nil {
			return &Change{}
		}
		return since(view)
	}
}

// InnerPeers asks other entry hosts over the inner protocol.
type InnerPeers struct {
	// Client makes the calls.
	Client *inner.Client
	// Sources returns this host's depth in the tree, and the inner addresses of
	// the hosts whose copies it follows, or of any where those are unknown, in its
	// own order of preference.
	Sources func() (depth int, addresses []string)
}

var _ Peers = (*InnerPeers)(nil)

// Depth implements Peers.
func (p *InnerPeers) Depth() int {
	depth, _ := p.Sources()
	return depth
}

// Newer implements Peers.
func (p *InnerPeers) Newer(ctx context.Context, turn int, prefix string, after kv.Version, wait time.Duration) (*Change, error) {
	_, addresses := p.Sources()
	if len(addresses) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+askTimeout)
	defer cancel()
	var change Change
	address := addresses[turn%len(addresses)]
	request := readRequest{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()}
	if err := p.Client.Call(ctx, address, inner.KindReplicaRead, request, &change); err != nil {
		return nil, err
	}
	if err := unpack(&change); err != nil {
		return nil, err
	}
	return &change, nil
}
