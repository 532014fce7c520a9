package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/metrics"
)

// Key identifies content that a request carries: the digest of a prompt part that other
// requests may share, or of the whole request.
type Key uint64

// String returns the digest in hexadecimal.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// MaxKeys limits the keys of one request.
const MaxKeys = 21

const (
	// begunCrashes is the number of crashes after which content is quarantined if the
	// upstreams had begun their answers to it and no answer to it ever succeeded.
	begunCrashes = 2
	// provenCrashes is the number of such crashes if earlier answers succeeded.
	provenCrashes = 3
	// requestCrashes and partCrashes are the numbers of crashes after which whole requests
	// and parts are quarantined if no answer had begun. A whole request is rarely repeated
	// by chance.
	requestCrashes, partCrashes = 3, 5
	// sharedCrashes is the number of crashes from which a part that only waited at upstreams
	// is shared with all hosts, so that they tell when they answered it.
	sharedCrashes = 3
	// simultaneousSpan groups crashes that may have one outside cause, such as the loss of
	// a failure domain. See Tracker.independent.
	simultaneousSpan = 200 * time.Millisecond
	// recentAnswerSpan is the time after an answer to content in which the content counts as popular: it may
	// be at several upstreams at once.
	recentAnswerSpan = 3 * time.Second
	// sameCrashSpan is the time within which reports of one upstream are of the same crash.
	// An upstream needs longer to start again.
	sameCrashSpan = time.Second
	// minQuarantine is how long content is quarantined after the fewest crashes that
	// quarantine it. Each further crash doubles the time, up to Expiry.
	minQuarantine = time.Minute
	// trialTimeout is the time after which the trial of quarantined content counts as
	// undecided, and another may begin.
	trialTimeout = 10 * time.Second
	// maxCrashes limits the crashes in memory, maxAccountReports the reports of one client
	// account, and maxReports those of one crash.
	maxCrashes, maxAccountReports, maxReports = 128, 96, 16
	// maxSets limits the quarantined sets in memory.
	maxSets = 64
	// maxAnswered is the number of keys in each of two generations for which the last
	// answer on this host is remembered.
	maxAnswered = 4096
)

// Changes counts the changes of the quarantined sets at this host, by kind of change.
var Changes = metrics.New("quarantine_changes_total", "Changes of the content that this host refuses because it crashes upstreams, by kind of change.")

// Kinds of changes, also labels of the Changes counter.
const (
	ChangeImposed  = "imposed"  // by the evidence that this host knows
	ChangeReceived = "received" // from another host
	ChangeLoaded   = "loaded"   // from the key-value service
	ChangeLifted   = "lifted"
)

// Set is quarantined content: requests that carry all of its keys are refused.
type Set struct {
	// Keys are sorted.
	Keys []Key
	// Crashes is the number of crashes that are evidence against the content.
	Crashes int
	// At is the time of the newest of these crashes.
	At time.Time
	// Lost reports that the evidence is lost attempts, without proof that upstreams ended.
	Lost bool
	// Sudden reports that the evidence lies within one simultaneousSpan. An answer to the content shortly before
	// refutes it.
	Sudden bool
	// Since is the time of the first loss or crash that is evidence; set only if Lost or Sudden is true.
	Since time.Time

	stored  bool // whether the key-value service holds the set
	trialAt time.Time
}

// Until returns when a trial of the content is due.
func (s *Set) Until() time.Time {
	fewest := begunCrashes
	if s.Lost {
		fewest = requestLosses
	}
	span := minQuarantine << min(max(s.Crashes-fewest, 0), 16)
	return s.At.Add(min(span, Expiry))
}

// In reports whether a request with these keys carries all keys of the set.
func (s *Set) In(keys []Key) bool {
	return !slices.ContainsFunc(s.Keys, func(k Key) bool { return !slices.Contains(keys, k) })
}

// Tracker decides from the crash evidence of all hosts which content is quarantined. Use
// NewTracker. Its methods are safe for concurrent use.
type Tracker struct {
	// trialHost reports whether this host runs the trials of sets with this first key.
	trialHost func(Key) bool
	changed   func(change string, set Set)

	enforced atomic.Pointer[map[Key][]*Set] // by the first key of each set

	mu       sync.Mutex
	crashes  []*crash // in the order of their times
	losses   lossTable
	sets     []*Set
	answered map[Key]time.Time // by suspected key: the newest answer on any host
	// recent holds the newest answers of this host in two generations.
	recent    [2]map[Key]time.Time
	rotatedAt time.Time // when the newer generation began
	log       recordLog
	ends      endLog
	peers     map[string]*peer // by host
	// peerSeenAt is when the last message of another host arrived.
	peerSeenAt time.Time
	// collectedAt is when the last request of another host arrived.
	collectedAt time.Time
	// loaded is whether the sets in the key-value service have been read, by this host or
	// by one that sent it all of its records.
	loaded bool
	lifted [][]Key // keys of lifted sets that the key-value service may still hold
}

// NewTracker returns a Tracker without evidence. trialHost reports whether this host is the
// one that tries quarantined content with the given first key again. changed is called
// after each change of the quarantined sets; it must not block or call the tracker.
func NewTracker(trialHost func(Key) bool, changed func(change string, set Set)) *Tracker {
	t := &Tracker{trialHost: trialHost, changed: changed, answered: map[Key]time.Time{}, log: newRecordLog(), peers: map[string]*peer{}}
	t.recent = [2]map[Key]time.Time{{}, {}}
	t.enforced.Store(&map[Key][]*Set{})
	return t
}

// Refused reports whether a request with these keys must not be sent to an upstream, and
// when a trial of its content is due; zero if the content is not quarantined. When the trial
// is due, one host lets one request at a time pass.
func (t *Tracker) Refused(keys []Key, now time.Time) (until time.Time, refused bool) {
	enforced := *t.enforced.Load()
	if len(enforced) == 0 {
		return time.Time{}, false
	}
	for _, key := range keys {
		for _, set := range enforced[key] {
			if set.In(keys) {
				return set.Until(), !t.tries(set, now)
			}
		}
	}
	return time.Time{}, false
}

// tries reports whether a request may run as the trial of a set, and begins the trial.
func (t *Tracker) tries(set *Set, now time.Time) bool {
	if now.Before(set.Until()) || !t.trialHost(set.Keys[0]) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(set.trialAt) < trialTimeout {
		return false
	}
	set.trialAt = now
	return true
}

// Answered records that an upstream began an answer to a request with these keys at the
// given time and did not crash. Such content is not the cause of earlier crashes.
func (t *Tracker) Answered(keys []Key, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		if at.After(t.recent[0][key]) {
			t.recent[0][key] = at
		}
		t.announce(key)
	}
	if len(t.recent[0]) > maxAnswered {
		t.rotateAnswers(at)
	}
}

// Proven reports whether this host knows a successful answer to other requests for each
// key. Keys without one may be the cause of a crash.
func (t *Tracker) Proven(keys []Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !slices.ContainsFunc(keys, func(k Key) bool { return t.lastAnswer(k).IsZero() })
}

// Add records a crash that this host observed.
func (t *Tracker) Add(c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.seenAt = c.At
	t.add(c, localSource)
}

// Evidence returns the number of crashes that are known for a key since its last answer, and how many of
// them count for a verdict.
func (t *Tracker) Evidence(key Key) (known, counted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := lo.Filter(t.crashes, func(c *crash, _ int) bool { return c.has(key) && c.at.After(t.lastAnswer(key)) })
	return len(crashes), t.independent(key, false, crashes)
}

// add merges the evidence of a host and updates the quarantined sets. The caller holds
// t.mu.
func (t *Tracker) add(c Crash, source uint64) {
	if !t.merge(c) {
		return
	}
	if !c.Begun && source != localSource && !t.repeated(c) {
		return // too little to act on, or to tell other hosts
	}
	t.log.append(logRecord{kind: recordCrash, crash: c}, source)
	for _, key := range c.Keys {
		t.announce(key)
	}
	t.extendTried(c)
	t.evaluate(c.At)
}

// repeated reports whether the whole request of a report was in another crash, or one of its
// parts in nearly enough crashes for quarantine. When a failure domain is lost, hundreds of
// requests wait at its upstreams; most of them are in one crash only. The caller holds t.mu.
func (t *Tracker) repeated(c Crash) bool {
	for i, key := range c.Keys {
		with := lo.Filter(t.crashes, func(known *crash, _ int) bool { return known.has(key) })
		if i == 0 && len(with) > 1 || t.independent(key, i > 0, with) >= sharedCrashes {
			return true
		}
	}
	return false
}

// lastAnswer returns when an answer to a request with the key last began; zero if none is
// known. The caller holds t.mu.
func (t *Tracker) lastAnswer(key Key) time.Time {
	newest := t.answered[key]
	for _, generation := range t.recent {
		if at := generation[key]; at.After(newest) {
			newest = at
		}
	}
	return newest
}

// announce shares the newest answer of this host if it is news about a suspected key. The
// caller holds t.mu.
func (t *Tracker) announce(key Key) {
	if at := t.lastAnswer(key); at.After(t.answered[key]) {
		t.clear(key, at, localSource)
	}
}

// accusedSince returns the time of the newest crash after the given time that is evidence
// against a key; zero if there is none. The caller holds t.mu.
func (t *Tracker) accusedSince(key Key, since time.Time) time.Time {
	var newest time.Time
	for _, s := range t.sets {
		if slices.Contains(s.Keys, key) && s.At.After(newest) {
			newest = s.At
		}
	}
	for _, c := range t.crashes {
		if c.at.After(newest) && c.has(key) {
			newest = c.at
		}
	}
	if lost := t.losses.newest(key); lost.After(newest) {
		newest = lost
	}
	if !newest.After(since) {
		return time.Time{}
	}
	return newest
}

// clear records an answer to a request with a suspected key if it is the first one known or
// later than a crash that no known answer followed. It removes the key from quarantined sets whose
// crashes are older. The caller holds t.mu.
func (t *Tracker) clear(key Key, at time.Time, source uint64) {
	known := t.answered[key]
	accused := t.accusedSince(key, known)
	if accused.IsZero() || !known.IsZero() && !at.After(accused) {
		return
	}
	t.answered[key] = at
	t.log.append(logRecord{kind: recordAnswer, crash: Crash{At: at, Keys: []Key{key}}}, source)
	t.clearLosses(key, at)
	weakened := t.refuteSudden()
	for _, s := range slices.Clone(t.sets) {
		if !slices.Contains(s.Keys, key) {
			continue
		}
		if !at.After(s.At) {
			weakened = weakened || !s.Lost
			continue
		}
		t.drop(s)
		if rest := without(s.Keys, key); len(rest) > 0 {
			t.impose(Set{Keys: rest, Crashes: s.Crashes, At: s.At}, ChangeImposed, localSource)
		}
	}
	if weakened {
		t.evaluate(at)
	}
}

// refuteSudden lifts the quarantine of sets that rest on crashes at one time and whose content was answered
// shortly before, and reports whether there were any. The caller holds t.mu.
func (t *Tracker) refuteSudden() (lifted bool) {
	for _, s := range slices.Clone(t.sets) {
		if s.Sudden && slices.ContainsFunc(s.Keys, func(k Key) bool { return t.lastAnswer(k).After(s.Since.Add(-recentAnswerSpan)) }) {
			t.drop(s)
			lifted = true
		}
	}
	return lifted
}

// without returns a copy of keys without one of them.
func without(keys []Key, key Key) []Key {
	return slices.DeleteFunc(slices.Clone(keys), func(k Key) bool { return k == key })
}

// RemoveExpired removes crashes and records older than Expiry, answers older than at most twice
// Expiry, and quarantined sets whose trial has been due for Expiry without a result.
func (t *Tracker) RemoveExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpiredCrashes(now)
	maps.DeleteFunc(t.answered, func(_ Key, at time.Time) bool { return now.Sub(at) >= Expiry })
	if now.Sub(t.rotatedAt) >= Expiry {
		t.rotateAnswers(now)
	}
	if now.Sub(t.losses.rotatedAt) >= Expiry {
		t.losses.rotate(now)
	}
	t.log.records = slices.DeleteFunc(t.log.records, func(r logRecord) bool { return now.Sub(r.crash.At) >= Expiry })
	for _, s := range slices.Clone(t.sets) {
		if now.Sub(s.Until()) >= Expiry {
			t.drop(s)
		}
	}
}

// removeExpiredCrashes removes the crashes older than Expiry. The caller holds t.mu.
func (t *Tracker) removeExpiredCrashes(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(known *crash) bool { return now.Sub(known.at) >= Expiry })
}

// rotateAnswers begins a new generation of this host's answers and forgets the one before the
// last. The caller holds t.mu.
func (t *Tracker) rotateAnswers(now time.Time) {
	t.recent, t.rotatedAt = [2]map[Key]time.Time{{}, t.recent[0]}, now
}
