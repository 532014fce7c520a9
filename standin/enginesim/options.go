package enginesim

import "time"

// Options configure an Engine. The zero value is a fast engine without limits.
type Options struct {
	ID string // name of the engine
	// TokenTime is the duration of a step with one stream. Default 5 ms.
	TokenTime time.Duration
	// StreamTime is added to the duration of a step for each further stream.
	StreamTime time.Duration
	// PrefillTime is the time to compute one token of a prompt or of prior answer text.
	PrefillTime time.Duration
	// MaxRunning limits the streams in a step; zero means no limit.
	MaxRunning int
	// CacheBlocks is the capacity of the prefix cache, in blocks of 64 bytes. Default 1024.
	CacheBlocks int
	// CacheTokenBytes is the size of an exported KV cache in bytes per token. Default 64.
	CacheTokenBytes int
	// NoExport disables the export and import of KV caches.
	NoExport bool
	// EventLag is the age at which cache events become visible to readers.
	EventLag time.Duration
	// EventLoss is the n for which every n-th cache event is lost; zero loses none.
	EventLoss uint64
	// ReportLag is the minimum age of the load reports that the engine returns.
	ReportLag time.Duration
	// CrashMark is text in a prompt that makes the engine call Crash; empty means none.
	CrashMark string
	// Crash ends the process. It is required with CrashMark.
	Crash func()
	// IgnoreFence makes the engine accept orders with old fencing numbers.
	IgnoreFence bool
	// Salt makes the generated text differ between engines, as sampling does.
	Salt uint64
}

const (
	defaultTokenTime       = 5 * time.Millisecond
	defaultCacheBlocks     = 1024
	defaultCacheTokenBytes = 64
)

// withDefaults returns the options with defaults in place of zero values.
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

// Control is a test's change to a running engine. Nil and zero fields change nothing.
type Control struct {
	// Leaving makes the engine reject new attempts and report in its load reports that it
	// is leaving.
	Leaving *bool `json:"leaving,omitempty"`
	// StallMS stops all steps for this time, in milliseconds.
	StallMS int `json:"stall_ms,omitempty"`
	// Break closes the connections of all token streams. The engine continues to generate
	// the streams, so that callers can resume them.
	Break bool `json:"break,omitempty"`
	// TokenTimeMS replaces Options.TokenTime, in milliseconds.
	TokenTimeMS int `json:"token_time_ms,omitempty"`
}

// Stats counts the work of an engine since its start.
type Stats struct {
	// Generated counts the tokens of answers, Prefilled the computed tokens of prompts and
	// of prior answer text.
	Generated int `json:"generated"`
	Prefilled int `json:"prefilled"`
	// Recomputed counts the prefilled tokens of attempts that continue an answer of another
	// engine, which had computed these tokens before.
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
