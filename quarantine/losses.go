package quarantine

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// requestLosses and partLosses are the numbers of attempts, lost one after the other, after
	// which a whole request and a part that was never answered are quarantined without proof that
	// an upstream ended. A link or a connection fails regardless of the content that it carries.
	requestLosses, partLosses = 3, 6
	// sharedRequestLosses and sharedPartLosses are the numbers of losses from which they are shared
	// with all hosts, so that these tell when they answered the content.
	sharedRequestLosses, sharedPartLosses = 2, 3
	// maxLostKeys limits the keys with losses in each of two generations.
	maxLostKeys = 4096
	// maxLossTimes limits the losses of one key: more than the number that quarantines it.
	maxLossTimes = 2 * partLosses
	// maxLossSets limits the quarantined sets that follow from losses alone.
	maxLossSets = maxSets / 2
)

// loss is an attempt that ended without a complete answer.
type loss struct {
	upstream uint64
	at       time.Time
	seenAt   time.Time // when this host learned of it
	// repeat is Crash.repeats for the key.
	repeat bool
}

func (l loss) time() time.Time { return l.at }

// lossRecord holds the attempts with a key that were lost since the last answer to it.
type lossRecord struct {
	part   bool   // whether the key is that of a part in some request
	losses []loss // in the order of their times
}

// lossTable holds losses by key in two generations, the newer one first. The zero value is ready
// to use.
type lossTable struct {
	generations [2]map[Key]*lossRecord
	rotatedAt   time.Time
}

func (l *lossTable) get(key Key) *lossRecord {
	for _, generation := range l.generations {
		if r := generation[key]; r != nil {
			return r
		}
	}
	return nil
}

// add records a loss and returns false if it is known.
func (l *lossTable) add(key Key, part bool, lost loss) bool {
	r := l.get(key)
	if r == nil {
		r = &lossRecord{}
	}
	if i := slices.IndexFunc(r.losses, func(known loss) bool {
		return known.upstream == lost.upstream && known.at.Sub(lost.at).Abs() < sameCrashSpan
	}); i >= 0 {
		r.losses[i].repeat = r.losses[i].repeat && lost.repeat
		return false
	}
	r.part = r.part || part
	r.losses = append(r.losses, lost)
	slices.SortStableFunc(r.losses, func(a, b loss) int { return a.at.Compare(b.at) })
	r.losses = r.losses[max(0, len(r.losses)-maxLossTimes):]
	if l.generations[0] == nil || len(l.generations[0]) >= maxLostKeys {
		l.rotate(lost.at)
	}
	delete(l.generations[1], key)
	l.generations[0][key] = r
	return true
}

// rotate begins a new generation and forgets the one before the last.
func (l *lossTable) rotate(now time.Time) {
	l.generations, l.rotatedAt = [2]map[Key]*lossRecord{{}, l.generations[0]}, now
}

// clear removes the losses of a key up to the time of an answer to it.
func (l *lossTable) clear(key Key, answeredAt time.Time) {
	r := l.get(key)
	if r == nil {
		return
	}
	r.losses = lo.Filter(r.losses, func(known loss, _ int) bool { return known.at.After(answeredAt) })
	if len(r.losses) == 0 {
		delete(l.generations[0], key)
		delete(l.generations[1], key)
	}
}

// newest returns the time of the newest loss of a key; zero if there is none.
func (l *lossTable) newest(key Key) time.Time {
	if r := l.get(key); r != nil {
		return r.losses[len(r.losses)-1].at
	}
	return time.Time{}
}

// seenBefore reports whether this host knew at the given time of a loss of a key after since.
func (l *lossTable) seenBefore(key Key, since, at time.Time) bool {
	r := l.get(key)
	return r != nil && slices.ContainsFunc(r.losses, func(known loss) bool { return known.at.After(since) && !known.seenAt.After(at) })
}

// count returns the number of losses of a key that count. Losses within simultaneousSpan may have one outside
// cause: only the first one of them and repeats count, or only the first one if the key is popular.
func (r *lossRecord) count(popular bool) int {
	all := spans(r.losses)
	if popular {
		return len(all)
	}
	return lo.SumBy(all, func(span []loss) int {
		return 1 + lo.CountBy(span[1:], func(known loss) bool { return known.repeat })
	})
}

// lossCount returns the number of losses of a key that count, and whether the key is that of a part. The
// caller holds t.mu.
func (t *Tracker) lossCount(key Key) (n int, part bool) {
	r := t.losses.get(key)
	if r == nil {
		return 0, false
	}
	return r.count(t.answeredLately(key, r.lastSpan())), r.part
}

// lastSpan returns the time of the first loss within simultaneousSpan before the newest one.
func (r *lossRecord) lastSpan() time.Time {
	newest := r.losses[len(r.losses)-1].at
	first, _ := lo.Find(r.losses, func(known loss) bool { return newest.Sub(known.at) < simultaneousSpan })
	return first.at
}

// AddLoss records an attempt of this host that ended without a complete answer. It is weaker evidence
// than Add: the upstream may have ended, or only the connection to it. Begun is not used.
func (t *Tracker) AddLoss(c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(c.Keys) == 0 {
		return
	}
	all := c
	c.Begun, c.seenAt = false, c.At
	c.Keys = append(c.Keys[:1:1], lo.Filter(c.Keys[1:], func(k Key, _ int) bool { return t.lastAnswer(k).IsZero() })...)
	c.repeats = repeatsAmong(c.Keys, all.repeatOf)
	t.addLoss(c, localSource)
}

// addLoss merges a loss of a host and updates the quarantined sets. The caller holds t.mu.
func (t *Tracker) addLoss(c Crash, source uint64) {
	isNew := false
	for i, key := range c.Keys {
		isNew = t.losses.add(key, i > 0, loss{upstream: c.Upstream, at: c.At, seenAt: c.seenAt, repeat: c.repeatOf(key)}) || isNew
	}
	if !isNew || source != localSource && !t.lostRepeatedly(c.Keys) {
		return // known, or too little to tell other hosts
	}
	t.log.append(logRecord{kind: recordLoss, crash: c}, source)
	for _, key := range c.Keys {
		t.announce(key)
	}
	t.extendTried(c)
	for _, key := range c.Keys {
		t.judgeLosses(key)
	}
}

// lostRepeatedly reports whether one of the keys was lost so often that all hosts must know. The
// caller holds t.mu.
func (t *Tracker) lostRepeatedly(keys []Key) bool {
	return slices.ContainsFunc(keys, func(key Key) bool {
		n, part := t.lossCount(key)
		if part {
			return n >= sharedPartLosses && t.lastAnswer(key).IsZero()
		}
		return n >= sharedRequestLosses
	})
}

// judgeLosses quarantines a key that was lost often enough since its last answer. The caller holds
// t.mu.
func (t *Tracker) judgeLosses(key Key) {
	n, sufficient := t.lossVerdict(key)
	if !sufficient {
		return
	}
	t.makeRoomForLossSet(key)
	losses := t.losses.get(key).losses
	first, last := losses[0].at, losses[len(losses)-1].at
	t.impose(Set{Keys: []Key{key}, Crashes: n, At: last, Lost: true, Sudden: last.Sub(first) < simultaneousSpan, Since: first}, ChangeImposed, localSource)
}

// lossVerdict returns the number of losses of a key and whether they suffice for quarantine. The
// caller holds t.mu.
func (t *Tracker) lossVerdict(key Key) (n int, sufficient bool) {
	n, part := t.lossCount(key)
	if part {
		return n, n >= partLosses && t.lastAnswer(key).IsZero()
	}
	return n, n >= requestLosses
}

// makeRoomForLossSet lifts the oldest set that follows from losses alone if there are too many of
// them and the key is in none yet. The caller holds t.mu.
func (t *Tracker) makeRoomForLossSet(key Key) {
	lost := lo.Filter(t.sets, func(s *Set, _ int) bool { return s.Lost })
	if len(lost) >= maxLossSets && t.lossSet(key) == nil {
		t.drop(slices.MinFunc(lost, func(a, b *Set) int { return a.At.Compare(b.At) }))
	}
}

// clearLosses removes the losses of a key that an answer refutes, and lifts the quarantine that rests
// on them. The caller holds t.mu.
func (t *Tracker) clearLosses(key Key, answeredAt time.Time) {
	t.losses.clear(key, answeredAt)
	if s := t.lossSet(key); s != nil && answeredAt.After(s.Since) {
		t.liftUnlessLost(key)
	}
}

// lossSet returns the quarantined set that follows from losses of a key alone; nil if there is none. The
// caller holds t.mu.
func (t *Tracker) lossSet(key Key) *Set {
	set, _ := lo.Find(t.sets, func(s *Set) bool { return s.Lost && slices.Equal(s.Keys, []Key{key}) })
	return set
}

// liftUnlessLost lifts the quarantine that follows from losses of a key, unless the known losses suffice for
// it. The caller holds t.mu.
func (t *Tracker) liftUnlessLost(key Key) {
	if _, sufficient := t.lossVerdict(key); sufficient {
		return
	}
	if s := t.lossSet(key); s != nil {
		t.drop(s)
	}
}
