package enginesim

import (
	"container/list"
	"hash/fnv"
	"time"

	"github.com/cardamompier/cardamompier/upstream"
)

// blockSize is the part of a prompt that the prefix cache keeps as one, in bytes.
const blockSize = 64

// bytesPerToken is the length of a token of a prompt.
const bytesPerToken = 4

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 4096

// prefixCache keeps the newest prefixes of prompts, by digest.
type prefixCache struct {
	limit  int
	order  *list.List // digests, the newest first
	known  map[uint64]*list.Element
	events []timedEvent
	count  uint64 // of events
	loss   uint64
}

type timedEvent struct {
	upstream.CacheEvent
	at time.Time
}

func newPrefixCache(limit int, loss uint64) *prefixCache {
	return &prefixCache{limit: limit, loss: loss, order: list.New(), known: map[uint64]*list.Element{}}
}

// use stores the prefixes of a prompt and returns how many of its tokens were
// stored before.
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

// after returns the events after a sequence number that are older than lag.
func (c *prefixCache) after(sequence uint64, lag time.Duration) []upstream.CacheEvent {
	out := []upstream.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && time.Since(e.at) >= lag {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

// used returns the used share of the cache.
func (c *prefixCache) used() float64 { return float64(c.order.Len()) / float64(c.limit) }
