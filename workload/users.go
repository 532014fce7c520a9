// Package workload makes seeded, open-loop request arrivals with the mix and
// sizes of the users, and holds an in-memory twin of a model engine that is
// driven by a virtual clock.
//
// It is for experiments and tests: it is a fake at the interface of one
// engine, not a simulator of the system. The daemons do not link it.
package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

// Class is one kind of request.
type Class struct {
	Name string
	// Share of the class in all requests, 0 to 1.
	Share float64
	// Long marks the class that runs many times longer than the rest.
	Long bool
	// Unique is the median part of a prompt that no other request has, and
	// Answer the median answer, in tokens.
	Unique, Answer int
	// Lists is the number of shared prompt prefixes; zero means none.
	Lists int
	// ListBlocks is the longest shared prefix in blocks of BlockTokens.
	ListBlocks int
}

// User is the workload and the sizes of one user.
type User struct {
	Name    string
	Engines int
	Domains int
	Entries int // entry hosts
	Classes []Class
	// Accounts are the shares of the client accounts.
	Accounts []float64
	// Rate of arrivals at the load that the experiments call 1, a second.
	Rate float64
}

// BlockTokens is the size of a cached prompt block, in tokens.
const BlockTokens = 256

// Ubumwe is the badge printers' cooperative.
func Ubumwe() User {
	return User{
		Name: "ubumwe", Engines: 12, Domains: 4, Entries: 8, Rate: 36,
		Accounts: []float64{0.45, 0.3, 0.15, 0.06, 0.04},
		Classes: []Class{
			{Name: "quick-question", Share: 0.6, Unique: 100, Answer: 50},
			{Name: "badge-wording", Share: 0.385, Unique: 120, Answer: 140, Lists: 300, ListBlocks: 12},
			{Name: "class-order", Share: 0.015, Long: true, Unique: 7000, Answer: 2500},
		},
	}
}

// Lanka is the diary press consortium.
func Lanka() User {
	return User{
		Name: "lanka", Engines: 20, Domains: 4, Entries: 8, Rate: 52,
		Accounts: []float64{0.4, 0.35, 0.15, 0.06, 0.04},
		Classes: []Class{
			{Name: "cover-caption", Share: 0.5, Unique: 150, Answer: 40},
			{Name: "page-check", Share: 0.485, Unique: 300, Answer: 180, Lists: 500, ListBlocks: 10},
			{Name: "diary-template", Share: 0.015, Long: true, Unique: 9000, Answer: 3000},
		},
	}
}

// Arrival is one request.
type Arrival struct {
	ID int
	// At is the time since the start. Arrivals do not wait for answers.
	At      time.Duration
	Class   *Class
	Account int
	Entry   int
	// Blocks are the digests of the prompt's prefixes, shortest first; the
	// first is shared by all requests.
	Blocks []uint64
	Prompt int // tokens
	Answer int // tokens
	// Crash marks a request that crashes each engine that runs it.
	Crash bool
}

// Options vary a workload.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Load multiplies the user's rate. Zero means 1.
	Load float64
	// NoLong leaves the long requests out; the others stay as they are.
	NoLong bool
}

// Generate returns the arrivals of a user, the same for the same options.
func Generate(user User, o Options) []Arrival {
	random := rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15))
	rate := user.Rate * lo.Ternary(o.Load == 0, 1, o.Load)
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		a := arrival(user, random)
		a.ID, a.At = len(out), at
		if !a.Class.Long || !o.NoLong {
			out = append(out, a)
		}
	}
}

// arrival draws one request; it always takes the same number of draws, so
// that leaving some out does not change the others.
func arrival(user User, random *rand.Rand) Arrival {
	class := drawClass(user.Classes, random.Float64())
	a := Arrival{Class: class, Account: drawShare(user.Accounts, random.Float64()), Entry: random.IntN(user.Entries)}
	unique := spread(class.Unique, 0.5, random.NormFloat64())
	a.Answer = max(1, spread(class.Answer, 0.5, random.NormFloat64()))
	list, own := random.Float64(), random.Uint64()
	blocks := 1
	if class.Lists > 0 {
		// Few lists take most of the requests: a Zipf-like law.
		n := int(math.Pow(float64(class.Lists), list))
		blocks += 2 + (n*7)%(class.ListBlocks-1)
		a.Blocks = chain(1, uint64(n)<<8|uint64(len(class.Name)), blocks)
	} else {
		a.Blocks = chain(1, 0, blocks)
	}
	a.Prompt = blocks*BlockTokens + unique
	for i := range unique / BlockTokens {
		a.Blocks = append(a.Blocks, own+uint64(i))
	}
	return a
}

// chain returns the digests of n blocks: one common block, then a list's own.
func chain(common, list uint64, n int) []uint64 {
	out := []uint64{common}
	for i := 1; i < n; i++ {
		out = append(out, (list+1)<<20|uint64(i))
	}
	return out
}

func spread(median int, sigma, normal float64) int {
	return int(float64(median) * math.Exp(sigma*max(-2, min(2, normal))))
}

func drawClass(classes []Class, random float64) *Class {
	shares := lo.Map(classes, func(c Class, _ int) float64 { return c.Share })
	return &classes[drawShare(shares, random)]
}

func drawShare(shares []float64, random float64) int {
	for i, share := range shares {
		if random -= share; random < 0 {
			return i
		}
	}
	return len(shares) - 1
}
