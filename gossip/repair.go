package gossip

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamompier/cardamompier/inner"
)

const (
	// bucketCount is the number of hash buckets into which names are divided for a comparison.
	bucketCount = 32
	// settleTime is how long an owned item, one that only its owner host updates, must be unchanged
	// before the hashes of the table include it. Owned items change often.
	settleTime = 2 * time.Second
	// repairTimeout bounds one comparison with a neighbour, including the exchange of items.
	repairTimeout = time.Second
)

// repair compares the table with that of a random neighbour and exchanges the items that differ. It
// reports whether the tables were equal.
func (s *Spreader) repair(ctx context.Context) bool {
	neighbours := s.neighbours()
	if len(neighbours) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	address := neighbours[rand.IntN(len(neighbours))]
	var diff diffReply
	request := diffRequest{From: s.self, Hashes: s.table.hashes()}
	if s.transport.Call(ctx, address, inner.KindStateDiff, request, &diff) != nil {
		return false
	}
	if len(diff.Buckets) > 0 {
		s.exchange(ctx, address, diff.Buckets)
	}
	return len(diff.Buckets) == 0
}

// ExchangeAll compares all items with those of one host and exchanges the ones that differ. It is for
// hosts that join or rejoin the fleet. It reports whether the other host answered.
func (s *Spreader) ExchangeAll(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	buckets := make([]int, bucketCount)
	for i := range buckets {
		buckets[i] = i
	}
	return s.exchange(ctx, address, buckets)
}

// exchange compares the items in the given buckets with those of another host, pulls the versions that
// are newer there and pushes those that are newer here. It reports whether the other host answered.
func (s *Spreader) exchange(ctx context.Context, address string, buckets []int) bool {
	request := diffRequest{From: s.self, Buckets: buckets, Digests: s.table.digests(buckets)}
	var reply diffReply
	if s.transport.Call(ctx, address, inner.KindStateDiff, request, &reply) != nil {
		return false
	}
	Items.Add(labelRepaired, int64(len(reply.Newer)+len(reply.Wanted)))
	s.pullAll(ctx, address, reply.Newer)
	s.pushRequested(ctx, address, reply.Wanted)
	return true
}

// pullAll pulls items from a host in as many requests as needed, because the size of a reply is limited.
// Items that were received but rejected, for example the record of a member that left, are not
// requested again.
func (s *Spreader) pullAll(ctx context.Context, address string, newer []digest) {
	names := make([]string, 0, len(newer))
	for _, d := range newer {
		if s.table.needs(d) {
			names = append(names, d.Name)
		}
	}
	for len(names) > 0 {
		var reply pullReply
		err := s.transport.Call(ctx, address, inner.KindStatePull, pullRequest{Names: names}, &reply)
		if err != nil || len(reply.Items) == 0 {
			return
		}
		received := make(map[string]bool, len(reply.Items))
		for _, item := range reply.Items {
			s.accept(item, address)
			received[item.Name] = true
		}
		names = slices.DeleteFunc(names, func(name string) bool { return received[name] })
	}
}

// pushRequested pushes the named items to a peer that requested them.
func (s *Spreader) pushRequested(ctx context.Context, address string, names []string) {
	if len(names) == 0 {
		return
	}
	message := push{From: s.self}
	for _, name := range names {
		s.table.mu.Lock()
		item, ok := s.table.items[name]
		s.table.mu.Unlock()
		switch {
		case !ok:
		case len(item.Value) > maxInlineSize:
			message.Announced = append(message.Announced, digest{Name: name, Version: item.Version, Owner: item.Owner})
		default:
			message.Items = append(message.Items, item.Item)
		}
	}
	s.push(ctx, address, message)
}

// serveDiff handles a peer's request to compare tables, by hashes or by digests.
func (s *Spreader) serveDiff(_ context.Context, req diffRequest) (diffReply, error) {
	if len(req.Hashes) > 0 {
		return diffReply{Buckets: differingBuckets(s.table.hashes(), req.Hashes)}, nil
	}
	return s.table.compare(req.Buckets, req.Digests), nil
}

// differingBuckets returns the indexes at which the hashes in a and b differ.
func differingBuckets(a, b []uint64) []int {
	var out []int
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			out = append(out, i)
		}
	}
	return out
}

// compare returns the differences between the table and a peer's digests of the given buckets.
func (t *Table) compare(buckets []int, peerDigests []digest) diffReply {
	var reply diffReply
	peerVersions := map[string]uint64{}
	for _, d := range peerDigests {
		peerVersions[d.Name] = d.Version
		if t.needs(d) {
			reply.Wanted = append(reply.Wanted, d.Name)
		}
	}
	for _, d := range t.digests(buckets) {
		if d.Version > peerVersions[d.Name] {
			reply.Newer = append(reply.Newer, d)
		}
	}
	return reply
}

// hashes returns one hash for each bucket. Owned items that changed within settleTime are left out.
func (t *Table) hashes() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]uint64, bucketCount)
	now := time.Now()
	for name, item := range t.items {
		if item.Owner == "" || now.Sub(item.storedAt) >= settleTime {
			out[bucketOf(name)] ^= hashOf(name, item.Version)
		}
	}
	return out
}

// digests returns the digests (name and version) of all items in the given buckets.
func (t *Table) digests(buckets []int) []digest {
	selected := map[int]bool{}
	for _, b := range buckets {
		selected[b] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []digest
	for name, item := range t.items {
		if selected[bucketOf(name)] {
			out = append(out, digest{Name: name, Version: item.Version, Owner: item.Owner})
		}
	}
	return out
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

func hashOf(name string, version uint64) uint64 {
	data := binary.BigEndian.AppendUint64([]byte(name), version)
	return xxhash.Sum64(data)
}
