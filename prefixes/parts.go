package prefixes

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/promptcache"
)

// maxHolders is the maximum number of upstreams in one reply. More upstreams hold only prompts that
// are in very many requests, and any of the first ones will do.
const maxHolders = 64

// maxPartTokens is the largest part of a prompt that is tracked, in tokens. No upstream has the memory for
// a larger one.
const maxPartTokens = 1 << 22

// holder is a run of an upstream that holds the leading tokens of a prompt.
type holder struct {
	Upstream  string `cbor:"1,keyasint"`
	StartedMS int64  `cbor:"2,keyasint,omitempty"`
	Tokens    int    `cbor:"3,keyasint,omitempty"`
}

func (h holder) run() promptcache.Run {
	return promptcache.Run{ID: h.Upstream, StartedMS: h.StartedMS}
}

// TrackParts lets the directory track prompts by part, with the tracker of this host's own
// requests. It must be called before the server starts.
func (d *Directory) TrackParts(tracker *promptcache.Tracker) { d.tracker = tracker }

// limited returns the chain of a message with at most promptcache.MaxParts parts of sizes within the
// limit, so that a faulty message does no lasting harm to the estimates.
func limited(chain promptcache.Chain) promptcache.Chain {
	chain = slices.Clone(chain[:min(len(chain), promptcache.MaxParts)])
	for i := range chain {
		chain[i].Tokens = min(max(chain[i].Tokens, 0), maxPartTokens)
	}
	return chain
}

// ownHolders returns the runs that hold most of a chain as far as this host knows.
func (d *Directory) ownHolders(chain promptcache.Chain, now time.Time) []holder {
	held := d.tracker.Holders(limited(chain), now)
	out := make([]holder, 0, len(held))
	for run, tokens := range held {
		out = append(out, holder{Upstream: run.ID, StartedMS: run.StartedMS, Tokens: tokens})
	}
	slices.SortFunc(out, func(a, b holder) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(b.StartedMS, a.StartedMS))
	})
	return out[:min(len(out), maxHolders)]
}

// trackReport records another host's report.
func (d *Directory) trackReport(r sentReport, now time.Time) {
	if d.tracker == nil || len(r.Chain) == 0 {
		return
	}
	chain := limited(r.Chain)
	if r.NotRead != nil {
		d.tracker.Withdraw(r.NotRead.run(), chain, now)
	}
	d.tracker.Report(promptcache.Run{ID: r.Upstream, StartedMS: r.StartedMS}, chain, min(max(r.Own, 0), maxPartTokens), now)
}

// Held returns the number of leading tokens of a prompt's shared parts that each run of an upstream
// holds, by what the prompt's owner and this host know. known is false if the owner did not
// answer; this host's own knowledge is used then.
func (d *Directory) Held(ctx context.Context, chain promptcache.Chain) (held map[promptcache.Run]int, known bool) {
	if len(chain) == 0 {
		return nil, true
	}
	held = d.tracker.Holders(chain, time.Now())
	owner, remote := d.owner(chain[0].Digest)
	if !remote {
		countHeld(held)
		return held, true
	}
	if d.unreachable.Active(owner.ID) {
		return held, false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var reply queryReply
	request := query{Prompt: chain[len(chain)-1].Digest, Chain: chain}
	if err := d.client.Call(ctx, owner.InnerAddress, inner.KindPrefixLookup, request, &reply); err != nil {
		Queries.Inc(labelUnreachable)
		d.unreachable.Start(owner.ID)
		return held, false
	}
	for _, h := range reply.Holders {
		if held == nil {
			held = make(map[promptcache.Run]int, len(reply.Holders))
		}
		held[h.run()] = max(held[h.run()], min(max(h.Tokens, 0), chain.Tokens()))
	}
	countHeld(held)
	return held, true
}

func countHeld(held map[promptcache.Run]int) {
	if len(held) == 0 {
		Queries.Inc(labelNew)
	} else {
		Queries.Inc(labelFound)
	}
}

// SentParts reports to the prompt's owner that a prompt was sent to a run. own is the number of prompt
// tokens after the chain. notRead is the run of the report before about the same request if it
// has not read the prompt, else nil. SentParts does not wait for delivery.
func (d *Directory) SentParts(chain promptcache.Chain, own int, run promptcache.Run, notRead *promptcache.Run) {
	if len(chain) == 0 {
		return
	}
	owner, remote := d.owner(chain[0].Digest)
	if !remote || d.unreachable.Active(owner.ID) {
		return // the tracker knows the requests of this host
	}
	report := sentReport{Prompt: chain[len(chain)-1].Digest, Upstream: run.ID, StartedMS: run.StartedMS, Chain: chain, Own: own}
	if notRead != nil {
		report.NotRead = &holder{Upstream: notRead.ID, StartedMS: notRead.StartedMS}
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if err := d.client.Send(ctx, owner.InnerAddress, inner.KindPrefixAnnounce, report); err != nil {
			d.unreachable.Start(owner.ID)
		}
	}()
}
