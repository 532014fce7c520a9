package routing

import "sync/atomic"

const (
	cellCount = 8192
	// hotFactor is the multiple of an upstream's fair share of requests above
	// which a prompt block is hot, that is, cached on many upstreams.
	hotFactor = 2
	// minPopularity is the number of requests that must be counted before any
	// block can be hot.
	minPopularity = 16
)

// Popularity counts the recent requests that contain a prompt block. Blocks whose
// hashes collide share a count. The zero value is ready to use. Concurrent use is
// safe.
type Popularity struct {
	total atomic.Uint32
	cells [cellCount]atomic.Uint32
}

// Add counts one request with the given prompt blocks.
func (p *Popularity) Add(blocks []uint64) {
	p.total.Add(1)
	for _, block := range blocks {
		p.cells[cellOf(block)].Add(1)
	}
}

// Decay halves all counts, so that older requests count less.
func (p *Popularity) Decay() {
	p.total.Store(p.total.Load() / 2)
	for i := range p.cells {
		if n := p.cells[i].Load(); n > 0 {
			p.cells[i].Store(n / 2)
		}
	}
}

// Total returns the number of recent requests.
func (p *Popularity) Total() int { return int(p.total.Load()) }

// Hot is an immutable set of hot prompt blocks, which are shared by many
// requests. The zero value is empty.
type Hot struct{ cells *[cellCount / 64]uint64 }

// Hot returns the prompt blocks that occur in so many requests that many of n
// upstreams have cached them.
func (p *Popularity) Hot(n int) Hot {
	total := p.total.Load()
	if total < minPopularity || n == 0 {
		return Hot{}
	}
	limit := uint32(hotFactor * float64(total) / float64(n))
	cells := &[cellCount / 64]uint64{}
	for i := range p.cells {
		if p.cells[i].Load() > limit {
			cells[i/64] |= 1 << (i % 64)
		}
	}
	return Hot{cells: cells}
}

// Has reports whether a prompt block is hot, that is, shared by many requests.
func (h Hot) Has(block uint64) bool {
	if h.cells == nil {
		return false
	}
	cell := cellOf(block)
	return h.cells[cell/64]&(1<<(cell%64)) != 0
}

func cellOf(block uint64) uint64 { return nextRandom(&block) % cellCount }
