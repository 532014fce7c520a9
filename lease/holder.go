package lease

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

// Terms counts the terms that this host began and ended. Its label is "begun" or a Reason.
var Terms = metrics.New("lease_terms_total", "Terms of duties that this host held, by what happened.")

// Eras counts the new eras of the key-value service in which this host read a lease. Its label is eraHolding or
// eraWaiting.
var Eras = metrics.New("lease_eras_total", "New eras of the key-value service in which a lease was read, by whether this host held it.")

// These are the labels of the metric Eras.
const (
	eraHolding = "holding"
	eraWaiting = "waiting"
)

// termBegun is the label of the metric Terms for a term that began. A term that ended is labelled
// with its Reason.
const termBegun = "begun"

// Options configures a Holder. A zero field selects its default.
type Options struct {
	// TTL is how long a lease lasts without a renewal. Zero means 6 s.
	TTL time.Duration
	// Candidate reports whether this host may hold the lease. It is called before each attempt to
	// acquire or renew; a holder for which it returns false releases the lease. Nil means always.
	Candidate func() bool
	// Elapsed is the clock that leases are measured by. Nil means clock.SinceBoot.
	Elapsed clock.Elapsed
}

const (
	defaultTTL = 6 * time.Second
	// renewalsPerTTL is the number of renewal attempts per lease TTL.
	renewalsPerTTL = 3
	// clockMarginDivisor is the divisor of the lease TTL that gives the safety margin (1/8 of the
	// TTL). A term ends earlier by this margin because the clocks of two hosts may run at different
	// speeds.
	clockMarginDivisor = 8
)

// Holder competes for the lease of one duty, a job that one host at a time does, and renews it.
// Use New.
type Holder struct {
	store   kv.Store
	name    string
	host    string
	logger  hclog.Logger
	options Options

	// seen is the newest stored lease value that this host has read or written, version is its
	// version in the store, and seenSince is when this host first observed it, by options.Elapsed.
	seen      duty
	version   kv.Version
	seenSince time.Duration
	// asOf is a version of the store at which seen was stored. It names the era also if the lease is missing.
	asOf kv.Version
}

// New returns a Holder that competes for the lease called name on behalf of host.
func New(store kv.Store, name, host string, logger hclog.Logger, options Options) *Holder {
	if options.TTL == 0 {
		options.TTL = defaultTTL
	}
	if options.Candidate == nil {
		options.Candidate = func() bool { return true }
	}
	if options.Elapsed == nil {
		options.Elapsed = clock.SinceBoot
	}
	return &Holder{store: store, name: name, host: host, logger: logger, options: options}
}

// Run competes for the lease until ctx ends. During each term of this host it calls lead, with a
// context that is cancelled when the term ends. After a term Run competes again.
func (h *Holder) Run(ctx context.Context, lead func(context.Context, *Term)) {
	ctx = kv.WithPurpose(ctx, purpose)
	for ctx.Err() == nil {
		sent := h.options.Elapsed()
		if h.options.Candidate() && h.observe(ctx) && h.acquire(ctx) {
			h.hold(ctx, sent, lead)
		}
		interval := h.options.TTL / renewalsPerTTL
		wait.For(ctx, interval/2+rand.N(interval))
	}
}

// observe reads the stored lease and reports whether it is free: never written, released, or
// unchanged for longer than the longest lease that its last holder may have.
func (h *Holder) observe(ctx context.Context) bool {
	entry, asOf, err := h.read(ctx)
	if err != nil || h.outdated(entry, asOf) {
		return false
	}
	if changed := asOf.Era() != h.asOf.Era(); changed || entry.Version > h.version {
		seen, ok := decode(entry)
		if !ok {
			seen = duty{}
		}
		if changed {
			h.logEra(asOf.Era(), seen.Fence, false)
		}
		if !ok && entry.Version != 0 {
			// No term can have had a greater fencing number.
			seen = duty{Fence: max(uint64(entry.Version), h.seen.Fence)}
			events.LeaseUnreadable.Log(h.logger, "duty", h.name, "revision", uint64(entry.Version), "bytes", len(entry.Value))
		}
		h.seen, h.version, h.seenSince = seen, entry.Version, h.options.Elapsed()
	}
	h.asOf = asOf
	return h.free()
}

// read returns the stored lease and a version of the store at which it was stored. The entry has version 0 if the lease
// is missing.
func (h *Holder) read(ctx context.Context) (kv.Entry, kv.Version, error) {
	key := keyPrefix + h.name
	entry, err := h.store.Get(ctx, key)
	if kv.ReasonOf(err) != kv.ReasonNotFound {
		return entry, entry.Version, err
	}
	entry, asOf, err := kv.Lookup(ctx, h.store, key)
	if entry.Version != 0 { // written since
		asOf = entry.Version
	}
	return entry, asOf, err
}

// outdated reports whether an entry is older than the one last observed. Versions of different eras compare by era; a
// missing lease has none.
func (h *Holder) outdated(entry kv.Entry, asOf kv.Version) bool {
	return asOf.Era() < h.asOf.Era() || asOf.Era() == h.asOf.Era() && entry.Version < h.version
}

// free reports whether no host can hold the lease that was last observed.
func (h *Holder) free() bool {
	longest, now := max(h.seen.ttl(), h.options.TTL), h.options.Elapsed()
	era := h.asOf.Era()
	switch {
	case h.version == 0:
		return now-h.missingSince() > longest
	case h.seen.Released && h.seen.Era == era:
		return true
	default:
		return now-h.seenSince > longest
	}
}

// missingSince returns the earliest time for which the missing lease is known to have had no holder that is not stored.
// Since the present era began, every term has been stored.
func (h *Holder) missingSince() time.Duration {
	if h.asOf.Era() == 0 {
		return neverHeld
	}
	sight, ok := kv.EraSightOf(h.store)
	if !ok || sight.Era != h.asOf.Era() {
		return h.seenSince
	}
	return min(h.seenSince, h.options.Elapsed()-time.Since(sight.Since))
}

// neverHeld stands for a lease that no host has held yet.
const neverHeld = time.Duration(math.MinInt64 / 2)

// logEra logs and counts that the lease was read in a new era of the store.
func (h *Holder) logEra(era kv.Era, stored uint64, holding bool) {
	if h.asOf == 0 {
		return // the first observation
	}
	label := eraWaiting
	if holding {
		label = eraHolding
	}
	Eras.Inc(label)
	events.LeaseEra.Log(h.logger, "duty", h.name, "era", uint64(era), "stored", stored, "holding", holding)
}

// acquire begins a term by writing the next fencing number, and reports whether the write won.
func (h *Holder) acquire(ctx context.Context) bool {
	return h.write(ctx, duty{Holder: h.host, Fence: h.nextFence()}) == kv.OutcomeApplied
}

// nextFence returns a fencing number that no term has had. Numbers of terms that began in the present era are greater
// than all versions of the eras before, and the stored lease may lack terms of those only.
func (h *Holder) nextFence() uint64 {
	if h.seen.Fence < uint64(kv.VersionOf(h.asOf.Era(), 0)) {
		return uint64(h.asOf) + 1
	}
	return h.seen.Fence + 1
}

// write replaces the stored lease, provided that its version is still the one last observed. The outcome is unknown if
// the era of the store has changed since.
func (h *Holder) write(ctx context.Context, d duty) kv.Outcome {
	d.Nonce, d.TTLMS, d.Era = uuid.New(), h.options.TTL.Milliseconds(), h.asOf.Era()
	value, err := cbor.Marshal(d)
	if err != nil {
		return kv.OutcomeNotApplied
	}
	w := kv.Write{Key: keyPrefix + h.name, Value: value, Expect: h.version}
	result := kv.Swap(ctx, h.store, w, func(entry kv.Entry) kv.Match {
		stored, ok := decode(entry)
		switch {
		case ok && stored.Nonce == d.Nonce:
			return kv.MatchOwn
		case ok && stored.Fence < d.Fence:
			return kv.MatchOther
		default:
			return kv.MatchUnknown
		}
	})
	if result.Outcome != kv.OutcomeApplied {
		return result.Outcome
	}
	if result.Version.Era() != d.Era {
		// The store has come back from a copy meanwhile and gives out the same revisions again: the value that was
		// replaced is not known.
		return kv.OutcomeUnknown
	}
	h.seen, h.version, h.asOf, h.seenSince = d, result.Version, result.Version, h.options.Elapsed()
	return kv.OutcomeApplied
}

// hold runs lead and renews the term until the term ends. The argument sent is when the write that
// acquired the lease was sent.
func (h *Holder) hold(ctx context.Context, sent time.Duration, lead func(context.Context, *Term)) {
	termCtx, term := newTerm(ctx, h, sent)
	if !term.Valid() {
		term.end(&Error{Duty: h.name, Reason: ReasonLapsed})
		return
	}
	Terms.Inc(termBegun)
	events.LeaseTaken.Log(h.logger, "duty", h.name, "fence", term.Fence)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		lead(termCtx, term)
	}()
	reason := h.renew(termCtx, term, ended)
	age, left := term.Age(), term.Remaining()
	term.end(&Error{Duty: h.name, Reason: reason})
	<-ended
	Terms.Inc(string(reason))
	events.LeaseEnded.Log(h.logger, "duty", h.name, "fence", term.Fence, "reason", string(reason),
		"age_ms", age.Milliseconds(), "left_ms", left.Milliseconds())
	if reason == ReasonStopped && left > 0 {
		h.release(ctx, term)
	}
}

// renew extends the term periodically until the term ends, and returns the reason of the end.
func (h *Holder) renew(ctx context.Context, term *Term, ended <-chan struct{}) Reason {
	ticker := wait.NewTicker(h.options.TTL / renewalsPerTTL)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return ReasonStopped
		case <-ctx.Done():
			if term.Valid() {
				return ReasonStopped
			}
			return ReasonLapsed
		case <-ticker.C:
		}
		if !term.Valid() {
			return ReasonLapsed
		}
		if !h.options.Candidate() {
			return ReasonStopped
		}
		sent := h.options.Elapsed()
		switch outcome := h.write(ctx, duty{Holder: h.host, Fence: term.Fence}); {
		case outcome == kv.OutcomeApplied && !term.extend(sent):
			return ReasonLapsed
		case outcome != kv.OutcomeApplied && h.replaced(ctx, term):
			return ReasonReplaced
		}
	}
}

// replaced reads the stored lease and reports whether another term has begun. Otherwise it records the
// version that the next renewal replaces, but doesn't extend the term: after a renewal by this host whose answer was
// lost, and after the store has come back from a copy that shows an earlier term or none.
func (h *Holder) replaced(ctx context.Context, term *Term) bool {
	entry, asOf, err := h.read(ctx)
	if err != nil || h.outdated(entry, asOf) {
		return false
	}
	stored, ok := decode(entry)
	if !ok && entry.Version != 0 {
		return false
	}
	if stored.Fence > term.Fence {
		return true
	}
	if asOf.Era() != h.asOf.Era() {
		h.logEra(asOf.Era(), stored.Fence, true)
	}
	h.seen, h.version, h.asOf = stored, entry.Version, asOf
	return false
}

// release marks the stored lease as free, so that another host can acquire it without waiting for
// the lease to expire. It is called after lead has returned.
func (h *Holder) release(ctx context.Context, term *Term) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.options.TTL/renewalsPerTTL)
	defer cancel()
	h.write(ctx, duty{Holder: h.host, Fence: term.Fence, Released: true})
}
