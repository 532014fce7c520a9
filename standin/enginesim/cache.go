package enginesim

import (
	"container/list"
	"hash/fnv"
	"time"

	"github.com/cardamompier/cardamompier/upstream"
)

// blockSize is the size of a block of a prompt in the prefix cache, in bytes.
const blockSize = 64

// bytesPerToken is the assumed length of a prompt token, in bytes.
const bytesPerToken = 4

// maxEvents limits the cache events that are stored for readers; older ones are discarded.
const maxEvents = 4096

// prefixCache is a least-recently-used cache of the digests of prompt prefixes.
type prefixCache struct {
	limit  int                      // largest number of blocks
	order  *list.List               // digests, the most recently used first
	known  map[uint64]*list.Element // elements of order, by digest
	events []timedEvent
	count  uint64 // number of events so far, lost ones included
	loss   uint64 // every loss-th event is lost; 0 loses none
}

// timedEvent is a cache event with the time when it happened.
type timedEvent struct {
	upstream.CacheEvent
	at time.Time
}

func newPrefixCache(limit int, loss uint64) *prefixCache {
	return &prefixCache{limit: limit, loss: loss, order: list.New(), known: map[uint64]*list.Element{}}
}

// use stores the prefixes of a prompt and returns how many of its leading tokens were
// already in the cache.
func (c *prefixCache) use(prompt string) (hitTokens int) {
	h := fnv.New64a()
	hit := true
	for start := 0; start+blockSize <= len(prompt); start += blockSize {
		_, _ = h.Write([]byte(prompt[start : start+blockSize]))
		digest := h.Sum64()
		element, stored := c.known[digest]
		hit = hit && stored
		if stored {
			c.order.MoveToFront(element)
		} else {
			c.known[digest] = c.order.PushFront(digest)
			c.publish(digest, true)
		}
		if hit {
			hitTokens += blockSize / bytesPerToken
		}
	}
	for c.order.Len() > c.limit {
		digest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.known, digest)
		c.publish(digest, false)
	}
	return hitTokens
}

// publish appends a cache event, unless Options.EventLoss selects it as lost.
func (c *prefixCache) publish(digest uint64, stored bool) {
	c.count++
	if c.loss > 0 && c.count%c.loss == 0 {
		return
	}
	event := upstream.CacheEvent{Sequence: c.count, Prefix: digest, Stored: stored}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the events that follow a sequence number and are at least lag old.
func (c *prefixCache) after(sequence uint64, lag time.Duration) []upstream.CacheEvent {
	out := []upstream.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && time.Since(e.at) >= lag {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

// used returns the used share of the cache, 0 to 1.
func (c *prefixCache) used() float64 { return float64(c.order.Len()) / float64(c.limit) }
