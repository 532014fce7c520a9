package replica

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
)

// callMargin is the time allowed for a request to a peer beyond the time that the peer may wait for
// a change before it answers.
const callMargin = 200 * time.Millisecond

// readRequest requests the changes of a key prefix after a revision from a peer.
type readRequest struct {
	Prefix string     `cbor:"1,keyasint"`
	After  kv.Version `cbor:"2,keyasint"`
	// WaitMS is how long the peer may wait for a change before it answers, in ms.
	WaitMS int64 `cbor:"3,keyasint,omitempty"`
}

// Serve registers the handler that answers other hosts' requests for changes of the given
// replicas. A prefix that none of the replicas has is rejected with unknown_prefix.
func Serve(server *inner.Server, replicas ...*Replica) {
	inner.Register(server, inner.KindReplicaRead, func(ctx context.Context, req readRequest) (*Change, error) {
		for _, r := range replicas {
			if r.prefix == req.Prefix {
				return r.changesAfter(ctx, req.After, time.Duration(req.WaitMS)*time.Millisecond), nil
			}
		}
		return nil, &inner.Failure{Code: codeUnknownPrefix}
	})
}

// codeUnknownPrefix rejects a request for a prefix of which this host has no copy.
const codeUnknownPrefix = "unknown_prefix"

// changesAfter returns the changes of the copy after a revision. If there are none yet, it waits
// for a change for up to the given time.
func (r *Replica) changesAfter(ctx context.Context, after kv.Version, wait time.Duration) *Change {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	receivedAt := time.Now()
	since := func(view *View) *Change {
		now := time.Now()
		change := view.since(after, now)
		change.HeldMS = now.Sub(receivedAt).Milliseconds()
		r.packed.pack(change, after)
		return change
	}
	for {
		changed := *r.changed.Load()
		view := r.current.Load()
		if view != nil {
			// A peer of a newer era needs another host.
			if change := since(view); !change.empty() || after.Era() > view.Revision.Era() {
				return change
			}
		}
		select {
		case <-changed:
			continue
		case <-waitCtx.Done():
		}
		if view = r.current.Load(); view == nil {
			return &Change{}
		}
		return since(view)
	}
}

// InnerPeers fetches changes from other entry hosts (hosts that accept client requests) over the
// inner protocol, which only hosts use among themselves.
type InnerPeers struct {
	// Client sends the requests.
	Client *inner.Client
	// Sources returns this host's depth in the tree on which changes spread, and the inner
	// addresses of the peers to copy from, in order of preference. If the peers assigned by the
	// tree are unknown, any hosts may be returned.
	Sources func() (depth int, addresses []string)
}

var _ Peers = (*InnerPeers)(nil)

// Depth implements Peers by the depth that Sources returns.
func (p *InnerPeers) Depth() int {
	depth, _ := p.Sources()
	return depth
}

// Newer implements Peers. It returns a nil change and no error if there are no peers.
func (p *InnerPeers) Newer(ctx context.Context, peerIndex int, prefix string, after kv.Version, wait time.Duration) (*Change, error) {
	_, addresses := p.Sources()
	if len(addresses) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	var change Change
	address := addresses[peerIndex%len(addresses)]
	request := readRequest{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()}
	if err := p.Client.Call(ctx, address, inner.KindReplicaRead, request, &change); err != nil {
		return nil, err
	}
	if err := unpack(&change); err != nil {
		return nil, err
	}
	return &change, nil
}
