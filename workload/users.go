// Package workload generates seeded, open-loop request arrivals with the request mix
// and sizes of the system's users, and contains an in-memory fake of a model engine
// that runs on a virtual clock.
//
// The package is for experiments and tests. It fakes the interface of one engine and
// does not simulate the whole system. The daemons do not link it.
package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

// Class describes one kind of request.
type Class struct {
	Name string
	// Share is the share of the class in all requests, 0 to 1.
	Share float64
	// Long marks a class whose requests run many times longer than the others.
	Long bool
	// Unique is the median length of the part of a prompt that no other request shares,
	// Answer the median length of the answer. Both are in tokens.
	Unique, Answer int
	// SharedPrefixes is the number of prompt prefixes that requests share; zero means none.
	SharedPrefixes int
	// PrefixBlocks is the length of the longest shared prefix, in blocks of BlockTokens.
	PrefixBlocks int
}

// User describes the workload and the deployment size of one user of the system.
type User struct {
	Name    string
	Engines int
	Domains int
	Entries int // number of entry hosts
	Classes []Class
	// Accounts are the shares of the client accounts in all requests, each 0 to 1.
	Accounts []float64
	// Rate is the number of arrivals per second at load 1.
	Rate float64
}

// BlockTokens is the size of a block of a prompt in the prefix cache, in tokens.
const BlockTokens = 256

// Ubumwe returns the workload of the badge printers' cooperative.
func Ubumwe() User {
	return User{
		Name: "ubumwe", Engines: 12, Domains: 4, Entries: 8, Rate: 36,
		Accounts: []float64{0.45, 0.3, 0.15, 0.06, 0.04},
		Classes: []Class{
			{Name: "quick-question", Share: 0.6, Unique: 100, Answer: 50},
			{Name: "badge-wording", Share: 0.385, Unique: 120, Answer: 140, SharedPrefixes: 300, PrefixBlocks: 12},
			{Name: "class-order", Share: 0.015, Long: true, Unique: 7000, Answer: 2500},
		},
	}
}

// Lanka returns the workload of the diary press consortium.
func Lanka() User {
	return User{
		Name: "lanka", Engines: 20, Domains: 4, Entries: 8, Rate: 52,
		Accounts: []float64{0.4, 0.35, 0.15, 0.06, 0.04},
		Classes: []Class{
			{Name: "cover-caption", Share: 0.5, Unique: 150, Answer: 40},
			{Name: "page-check", Share: 0.485, Unique: 300, Answer: 180, SharedPrefixes: 500, PrefixBlocks: 10},
			{Name: "diary-template", Share: 0.015, Long: true, Unique: 9000, Answer: 3000},
		},
	}
}

// Arrival is one generated request.
type Arrival struct {
	ID int
	// At is the arrival time since the start. Arrivals do not depend on earlier answers.
	At      time.Duration
	Class   *Class
	Account int // index in User.Accounts
	Entry   int // index of the entry host
	// Blocks are the digests of the prompt's prefixes, the shortest first. All requests
	// share the first block.
	Blocks []uint64
	Prompt int // length in tokens
	Answer int // length in tokens
	// Crash marks a request that crashes every engine that runs it.
	Crash bool
}

// Options configure the generation of a workload.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Load multiplies the user's arrival rate. Zero means 1.
	Load float64
	// NoLong omits the long requests and leaves the short ones unchanged.
	NoLong bool
}

// Generate returns the arrivals of a user. Equal options yield equal arrivals.
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

// arrival draws one random request. It always draws the same number of random values, so
// that omitting some requests does not change the others.
func arrival(user User, random *rand.Rand) Arrival {
	class := drawClass(user.Classes, random.Float64())
	a := Arrival{Class: class, Account: drawShare(user.Accounts, random.Float64()), Entry: random.IntN(user.Entries)}
	unique := logNormal(class.Unique, 0.5, random.NormFloat64())
	a.Answer = max(1, logNormal(class.Answer, 0.5, random.NormFloat64()))
	prefix, own := random.Float64(), random.Uint64()
	blocks := 1
	if class.SharedPrefixes > 0 {
		// A few shared prefixes occur in most of the requests, as in a Zipf distribution.
		n := int(math.Pow(float64(class.SharedPrefixes), prefix))
		blocks += 2 + (n*7)%(class.PrefixBlocks-1)
		a.Blocks = prefixDigests(1, uint64(n)<<8|uint64(len(class.Name)), blocks)
	} else {
		a.Blocks = prefixDigests(1, 0, blocks)
	}
	a.Prompt = blocks*BlockTokens + unique
	for i := range unique / BlockTokens {
		a.Blocks = append(a.Blocks, own+uint64(i))
	}
	return a
}

// prefixDigests returns the digests of n blocks: the common block, then the blocks of one
// shared prefix.
func prefixDigests(common, prefix uint64, n int) []uint64 {
	out := []uint64{common}
	for i := 1; i < n; i++ {
		out = append(out, (prefix+1)<<20|uint64(i))
	}
	return out
}

// logNormal returns a log-normally distributed length. normal is a standard normal value
// and is limited to -2 to 2.
func logNormal(median int, sigma, normal float64) int {
	return int(float64(median) * math.Exp(sigma*max(-2, min(2, normal))))
}

// drawClass returns the class that a random value from 0 to 1 falls into.
func drawClass(classes []Class, random float64) *Class {
	shares := lo.Map(classes, func(c Class, _ int) float64 { return c.Share })
	return &classes[drawShare(shares, random)]
}

// drawShare returns the index of the share that a random value from 0 to 1 falls into.
func drawShare(shares []float64, random float64) int {
	for i, share := range shares {
		if random -= share; random < 0 {
			return i
		}
	}
	return len(shares) - 1
}
