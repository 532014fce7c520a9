package enginesim

import "time"

// Options configure an Engine. The zero value is a fast engine without limits.
type Options struct {
	ID string
	// TokenTime is the time of one step with one stream. Default 5 ms.
	TokenTime time.Duration
	// StreamTime is added to a step for each further running stream.
	StreamTime time.Duration
	// PrefillTime is the time to compute one token of a prompt or of prior text.
	PrefillTime time.Duration
	// MaxRunning bounds the streams in a step; zero means no bound.
	MaxRunning int
	// CacheBlocks bounds the prefix cache, in blocks. Default 1024.
	CacheBlocks int
	// CacheTokenBytes is the size of an exported KV cache for each token. Default 64.
	CacheTokenBytes int
	// NoExport makes the engine one that cannot export or import KV caches.
	NoExport bool
	// EventLag delays cache events.
	EventLag time.Duration
	// EventLoss loses each n-th cache event; zero loses none.
	EventLoss uint64
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// CrashMark is text in a prompt that makes the engine's process exit.
	CrashMark string
	// Crash ends the process. Required with CrashMark.
	Crash func()
	// IgnoreFence makes the engine one that takes orders with old fencing numbers.
	IgnoreFence bool
	// Salt makes the text of one engine differ from another's, as sampling does.
	Salt uint64
}

const (
	defaultTokenTime       = 5 * time.Millisecond
	defaultCacheBlocks     = 1024
	defaultCacheTokenBytes = 64
)

func (o Options) withDefaults() Options {
	if o.TokenTime == 0 {
		o.TokenTime = defaultTokenTime
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.CacheTokenBytes == 0 {
		o.CacheTokenBytes = defaultCacheTokenBytes
	}
	return o
}

// Control is what a test tells a running engine. Nil fields stay as they are.
type Control struct {
	// Leaving makes the engine refuse new work and say so in load reports.
	Leaving *bool `json:"leaving,omitempty"`
	// StallMS stops all steps for a time, in milliseconds.
	StallMS int `json:"stall_ms,omitempty"`
	// Break closes the connections of all token streams, which go on.
	Break bool `json:"break,omitempty"`
	// TokenTimeMS changes the time of a step, in milliseconds.
	TokenTimeMS int `json:"token_time_ms,omitempty"`
}

// Stats count what an engine did.
type Stats struct {
	// Generated tokens of answers, Prefilled tokens of prompts and prior text.
	Generated int `json:"generated"`
	Prefilled int `json:"prefilled"`
	// Recomputed are the prefilled tokens of attempts that went on after
	// prior text: another engine had computed them before.
	Recomputed  int `json:"recomputed"`
	CacheHits   int `json:"cache_hits"`
	CacheMisses int `json:"cache_misses"`
	Started     int `json:"started"`
	Resumed     int `json:"resumed"`
	Exported    int `json:"exported"`
	Imported    int `json:"imported"`
	Cancelled   int `json:"cancelled"`
	Refused     int `json:"refused"`
	Running     int `json:"running"`
}
