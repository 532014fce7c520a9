package membership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

// SeedKey is the key of the seed list in the key-value service. Seeds are the hosts
// that a joining host contacts.
const SeedKey = "entry/seeds"

const (
	seedCount = 5
	// seedMaintainerCount is the number of members that check the seed list.
	seedMaintainerCount = 3
	seedCheckInterval   = 3 * time.Second
	joinRetryInterval   = 500 * time.Millisecond
	seedCallTimeout     = 2 * time.Second
)

// SeedCalls counts calls to the key-value service for the seed list, by kind.
var SeedCalls = metrics.New("member_seed_calls_total", "Calls on the key-value service for the list of seeds, by kind.")

const (
	labelRead  = "read"
	labelWrite = "write"
)

// SeedList is the stored list of seeds, the hosts that a joining host contacts.
type SeedList struct {
	Members []Member `json:"members"`
}

// ReadSeeds returns the members in the stored seed list and the version of the
// list; no members if none is stored. The list may be slightly out of date, so a
// caller that needs all members queries one of the seeds for them.
func ReadSeeds(ctx context.Context, store kv.Store) ([]Member, kv.Version, error) {
	SeedCalls.Inc(labelRead)
	entry, err := store.Get(ctx, SeedKey)
	if kv.ReasonOf(err) == kv.ReasonNotFound {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var list SeedList
	if json.Unmarshal(entry.Value, &list) != nil {
		return nil, entry.Version, nil // the next check of the list overwrites malformed content
	}
	return list.Members, entry.Version, nil
}

// writeSeeds stores the seed list if the stored version is still expect.
func writeSeeds(ctx context.Context, store kv.Store, members []Member, expect kv.Version) error {
	SeedCalls.Inc(labelWrite)
	value, err := json.Marshal(SeedList{Members: members})
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, kv.Write{Key: SeedKey, Value: value, Expect: expect})
	return err
}

// seedLoop joins the membership, and then checks the stored seed list whenever this
// host is one of the members that maintain it.
func (r *Registry) seedLoop(ctx context.Context) {
	for ctx.Err() == nil && !r.joined.Load() {
		if !r.join(ctx) {
			wait.For(ctx, joinRetryInterval)
			continue
		}
		r.mu.Lock()
		r.joined.Store(true)
		r.view.Store(nil)
		r.mu.Unlock()
	}
	for ctx.Err() == nil {
		if r.isSeedMaintainer() {
			r.checkSeeds(ctx)
		}
		wait.For(ctx, seedCheckInterval)
	}
}

// join exchanges records with the configured seeds or, if none answers, with the
// first stored seed that answers. If no stored seed answers either, this host adds
// itself to the stored list. Seeds that did not answer stay in the list until a
// seed maintainer replaces them, since they may only be slow.
func (r *Registry) join(ctx context.Context) bool {
	answered := false
	for _, address := range r.Seeds {
		answered = r.contact(ctx, address) || answered
	}
	ctx, cancel := context.WithTimeout(ctx, seedCallTimeout)
	defer cancel()
	if answered {
		return true
	}
	seeds, version, err := ReadSeeds(ctx, r.Store)
	if err != nil {
		events.RegisterFailed.Log(r.Logger, "error", err)
		return len(r.View().Members) > 1
	}
	for _, seed := range seeds {
		if seed.ID != r.Options.Self.ID && r.contact(ctx, seed.InnerAddress) {
			return true
		}
	}
	return writeSeeds(ctx, r.Store, withSeed(seeds, r.Self()), version) == nil
}

// withSeed returns the seeds plus the member m. If there are already seedCount seeds,
// m replaces the oldest one.
func withSeed(seeds []Member, m Member) []Member {
	out := lo.Reject(seeds, func(seed Member, _ int) bool { return seed.ID == m.ID })
	if len(out) >= seedCount {
		out = out[len(out)-seedCount+1:]
	}
	return append(out, m)
}

// contact exchanges records with the host at address, unless that is this host, and
// reports whether it answered.
func (r *Registry) contact(ctx context.Context, address string) bool {
	return address != r.Options.Self.InnerAddress && r.spreader.ExchangeAll(ctx, address)
}

// isSeedMaintainer reports whether this host is one of the seedMaintainerCount
// members that check the stored seed list.
func (r *Registry) isSeedMaintainer() bool {
	for _, m := range r.View().Chosen(SeedKey, seedMaintainerCount) {
		if m.ID == r.Options.Self.ID {
			return true
		}
	}
	return false
}

// checkSeeds contacts stored seeds that are missing from this host's view, and
// replaces stored seeds that are no longer usable members.
func (r *Registry) checkSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedCallTimeout)
	defer cancel()
	seeds, version, err := ReadSeeds(ctx, r.Store)
	if err != nil {
		if ctx.Err() == nil {
			events.RegisterFailed.Log(r.Logger, "error", err)
		}
		return
	}
	for _, seed := range seeds {
		if _, known := r.View().Member(seed.ID); !known {
			r.contact(ctx, seed.InnerAddress)
		}
	}
	wanted, changed := chooseSeeds(seeds, r.View())
	if changed {
		_ = writeSeeds(ctx, r.Store, wanted, version) // a lost write is repeated by the next check
	}
}

// chooseSeeds returns the usable seeds, filled up to seedCount with other members,
// each from the failure domain with the fewest seeds. It also reports whether the
// result differs from the given seeds.
func chooseSeeds(seeds []Member, view *View) ([]Member, bool) {
	var out []Member
	inDomain := map[string]int{}
	taken := map[string]bool{}
	add := func(m Member) {
		out = append(out, m)
		inDomain[m.FailureDomain]++
		taken[m.ID] = true
	}
	for _, seed := range seeds {
		if m, ok := view.Member(seed.ID); ok && m.Usable() && m.InnerAddress == seed.InnerAddress {
			add(seed)
		}
	}
	changed := len(out) != len(seeds)
	candidates := view.Chosen(SeedKey, len(view.Members))
	for len(out) < min(seedCount, len(candidates)) {
		best := -1
		for i, m := range candidates {
			if !taken[m.ID] && (best < 0 || inDomain[m.FailureDomain] < inDomain[candidates[best].FailureDomain]) {
				best = i
			}
		}
		add(candidates[best])
		changed = true
	}
	return out, changed
}
