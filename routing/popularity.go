package routing

import "sync/atomic"

const (
	popularityCells = 8192
	// hotShare is the multiple of an upstream's fair share of requests from
	// which a prompt block is hot: it is then cached on many upstreams.
	hotShare = 2
	// minPopularity is the number of requests before any block is hot.
	minPopularity = 16
)

// Popularity counts in how many recent requests a prompt block was seen. The
// zero value is ready. Concurrent use is safe.
type Popularity struct {
	total atomic.Uint32
	cells [popularityCells]atomic.Uint32
}

// Add counts one request.
func (p *Popularity) Add(blocks []uint64) {
	p.total.Add(1)
	for _, block := range blocks {
		p.cells[cellOf(block)].Add(1)
	}
}

// Decay halves all counts.
func (p *Popularity) Decay() {
	p.total.Store(p.total.Load() / 2)
	for i := range p.cells {
		if n := p.cells[i].Load(); n > 0 {
			p.cells[i].Store(n / 2)
		}
	}
}

// Total is the number of recent requests.
func (p *Popularity) Total() int { return int(p.total.Load()) }

// Hot is an immutable set of hot blocks. The zero value is empty.
type Hot struct{ cells *[popularityCells / 64]uint64 }

// Hot returns the blocks that are too widely shared to tell one of n
// upstreams from another.
func (p *Popularity) Hot(n int) Hot {
	total := p.total.Load()
	if total < minPopularity || n == 0 {
		return Hot{}
	}
	limit := uint32(hotShare * float64(total) / float64(n))
	cells := &[popularityCells / 64]uint64{}
	for i := range p.cells {
		if p.cells[i].Load() > limit {
			cells[i/64] |= 1 << (i % 64)
		}
	}
	return Hot{cells: cells}
}

// Has says whether a block is hot.
func (h Hot) Has(block uint64) bool {
	if h.cells == nil {
		return false
	}
	cell := cellOf(block)
	return h.cells[cell/64]&(1<<(cell%64)) != 0
}

func cellOf(block uint64) uint64 { return next(&block) % popularityCells }
