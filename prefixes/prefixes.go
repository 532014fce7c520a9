// Package prefixes finds the upstreams that have already read a shared prompt.
// Each prompt has an owner among the entry hosts (hosts that accept client
// requests), chosen by rendezvous hashing. The owner remembers where the prompt
// was sent. Each request costs one query and one message, however many hosts and
// upstreams there are.
//
// The owner's data is only a hint: it is lost with the owner, and an upstream may
// have evicted the prompt from its cache. Package routing chooses the upstream.
package prefixes

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/promptcache"
)

const (
	// ownerKeyPrefix is the prefix of the rendezvous hashing key that selects a
	// prompt's owner.
	ownerKeyPrefix = "prompt/"
	// queryTimeout bounds one query to a prompt's owner. It allows for several
	// round trips between failure domains and is short compared with the 100 ms
	// in which an engine reads a short prompt.
	queryTimeout = 30 * time.Millisecond
	// reportTimeout bounds the delivery of a message that no request waits for.
	reportTimeout = time.Second
	// retention is how long a prompt is assumed to stay in an upstream's cache
	// after it was last sent there.
	retention = 60 * time.Second
	// maxUpstreams is the maximum number of upstreams remembered per prompt. Only
	// prompts in very many requests are at more upstreams, and every upstream has
	// soon read those.
	maxUpstreams = 8
	// maxPrompts is the maximum number of prompts that one owner remembers.
	maxPrompts = 8192
)

// Queries counts the queries for the upstreams that have read a prompt, by
// outcome.
var Queries = metrics.New("prefix_questions_total", "Queries for the upstreams that have read a prompt, by outcome.")

const (
	labelFound       = "found"
	labelNew         = "new_prompt"
	labelUnreachable = "owner_unreachable"
)

// query requests the upstreams to which a prompt was sent. It is sent to the
// prompt's owner.
type query struct {
	Prompt uint64 `cbor:"1,keyasint"`
	// Chain holds the prompt's shared parts if the sender tracks prompts by part.
	// Hosts of earlier releases ignore it.
	Chain promptcache.Chain `cbor:"2,keyasint,omitempty"`
}

// queryReply lists the upstreams to which a prompt was sent, latest first.
type queryReply struct {
	Upstreams []string `cbor:"1,keyasint,omitempty"`
	// Holders answers a query with a chain: the upstreams that hold most of it
	// first.
	Holders []holder `cbor:"2,keyasint,omitempty"`
}

// sentReport reports that a prompt was sent to an upstream. It is sent to the
// prompt's owner.
type sentReport struct {
	Prompt   uint64 `cbor:"1,keyasint"`
	Upstream string `cbor:"2,keyasint"`
	// The other fields are set if the sender tracks prompts by part. Hosts of
	// earlier releases ignore them.
	StartedMS int64             `cbor:"3,keyasint,omitempty"`
	Chain     promptcache.Chain `cbor:"4,keyasint,omitempty"`
	// Own is the number of prompt tokens after the chain.
	Own int `cbor:"5,keyasint,omitempty"`
	// NotRead is the upstream of the report before about the same request, if it
	// has not read the prompt.
	NotRead *holder `cbor:"6,keyasint,omitempty"`
}

// Directory sends queries and reports to the owners of prompts, and stores the
// prompts that this host owns. Use New.
type Directory struct {
	self        string
	client      inner.Transport
	hosts       func() *membership.View
	unreachable inner.Backoff
	sent        sentPrompts
	tracker     *promptcache.Tracker // nil unless prompts are tracked by part
}

// New returns the directory of the host self and registers its message handlers
// at the server.
func New(self string, client inner.Transport, server *inner.Server, hosts func() *membership.View) *Directory {
	d := &Directory{self: self, client: client, hosts: hosts}
	inner.Register(server, inner.KindPrefixLookup, func(_ context.Context, q query) (queryReply, error) {
		if d.tracker != nil && len(q.Chain) > 0 {
			return queryReply{Holders: d.ownHolders(q.Chain, time.Now())}, nil
		}
		return queryReply{Upstreams: d.sent.upstreams(q.Prompt, time.Now())}, nil
	})
	inner.Register(server, inner.KindPrefixAnnounce, func(_ context.Context, r sentReport) (struct{}, error) {
		d.sent.add(r.Prompt, r.Upstream, time.Now())
		d.trackReport(r, time.Now())
		return struct{}{}, nil
	})
	return d
}

// owner returns the owner of a prompt; ok is false if this host is the owner or
// no host is listed.
//
// The owner of a prompt that is tracked by part is that of the digest of its first part, so that
// prompts that share only this part have the same owner.
func (d *Directory) owner(prompt uint64) (owner membership.Member, ok bool) {
	chosen := d.hosts().Chosen(ownerKeyPrefix+strconv.FormatUint(prompt, 16), 1)
	if len(chosen) == 0 || chosen[0].ID == d.self {
		return membership.Member{}, false
	}
	return chosen[0], true
}

// Upstreams returns the upstreams to which a prompt was sent recently, latest
// first. known is false if the prompt's owner did not answer.
func (d *Directory) Upstreams(ctx context.Context, prompt uint64) (ids []string, known bool) {
	owner, remote := d.owner(prompt)
	if remote {
		if d.unreachable.Active(owner.ID) {
			return nil, false
		}
		ctx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		var reply queryReply
		if err := d.client.Call(ctx, owner.InnerAddress, inner.KindPrefixLookup, query{Prompt: prompt}, &reply); err != nil {
			Queries.Inc(labelUnreachable)
			d.unreachable.Start(owner.ID)
			return nil, false
		}
		ids = reply.Upstreams
	} else {
		ids = d.sent.upstreams(prompt, time.Now())
	}
	if len(ids) == 0 {
		Queries.Inc(labelNew)
	} else {
		Queries.Inc(labelFound)
	}
	return ids, true
}

// Sent reports to the prompt's owner that the prompt was sent to an upstream. It
// does not wait for delivery. If the report is lost, the prompt may be read
// twice.
func (d *Directory) Sent(prompt uint64, upstream string) {
	owner, remote := d.owner(prompt)
	if !remote {
		d.sent.add(prompt, upstream, time.Now())
		return
	}
	if d.unreachable.Active(owner.ID) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if err := d.client.Send(ctx, owner.InnerAddress, inner.KindPrefixAnnounce, sentReport{Prompt: prompt, Upstream: upstream}); err != nil {
			d.unreachable.Start(owner.ID)
		}
	}()
}

// destination is an upstream to which a prompt was sent.
type destination struct {
	upstream string
	at       time.Time
}

// sentPrompts stores where the prompts of one owner were sent. The zero value is
// ready to use.
type sentPrompts struct {
	mu      sync.Mutex
	prompts map[uint64][]destination // destinations by prompt digest, latest first
}

// add records that a prompt was sent to an upstream.
func (s *sentPrompts) add(prompt uint64, upstream string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prompts == nil {
		s.prompts = map[uint64][]destination{}
	}
	if len(s.prompts) >= maxPrompts {
		s.evict(now)
	}
	destinations := slices.DeleteFunc(s.prompts[prompt], func(d destination) bool { return d.upstream == upstream })
	destinations = slices.Insert(destinations, 0, destination{upstream: upstream, at: now})
	s.prompts[prompt] = destinations[:min(len(destinations), maxUpstreams)]
}

// evict removes prompts that were not sent within the retention time. If the
// store is still full afterwards, it removes all prompts.
func (s *sentPrompts) evict(now time.Time) {
	for prompt, destinations := range s.prompts {
		if now.Sub(destinations[0].at) > retention {
			delete(s.prompts, prompt)
		}
	}
	if len(s.prompts) >= maxPrompts {
		clear(s.prompts)
	}
}

// upstreams returns the upstreams to which a prompt was sent within the retention
// time, latest first.
func (s *sentPrompts) upstreams(prompt uint64, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, d := range s.prompts[prompt] {
		if now.Sub(d.at) <= retention {
			ids = append(ids, d.upstream)
		}
	}
	return ids
}
