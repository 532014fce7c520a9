package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// suspicion is the evidence against one key: the crashes at which a request with the key was
// a suspect and after which no request with the key was answered.
type suspicion struct {
	key     Key
	part    bool     // whether the key is that of a part in some request
	crashes []*crash // in the order of their times
	begun   []*crash // those at which the upstream had begun an answer to the key
	// partners are the keys that are in each of the crashes in the same request as the
	// key, including the key itself; begunPartners are those of the crashes in begun.
	partners, begunPartners []Key
}

// spans divides crashes or losses, which are in the order of their times, into those that lie within
// simultaneousSpan of the first one.
func spans[E interface{ time() time.Time }](ends []E) [][]E {
	var out [][]E
	for i, e := range ends {
		if i == 0 || e.time().Sub(out[len(out)-1][0].time()) >= simultaneousSpan {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], e)
	}
	return out
}

// independent returns how many of the crashes, which are in the order of their times, are evidence of their own
// against a key. Crashes within simultaneousSpan may have one outside cause. They count as one against popular
// content, which may be at all upstreams that the cause ends. Otherwise, all of them count against a whole
// request, which is hardly at several upstreams at once; against a part, which several requests may carry, only
// the first one and those of repeats: an outside cause ends upstreams that have the content already. The
// caller holds t.mu.
func (t *Tracker) independent(key Key, part bool, crashes []*crash) int {
	all := spans(crashes)
	if len(all) == 0 || t.answeredLately(key, all[len(all)-1][0].at) {
		return len(all)
	}
	if !part {
		return len(crashes)
	}
	return lo.SumBy(all, func(span []*crash) int { return 1 + repeats(span[1:], key) })
}

// answeredLately reports whether an answer to a key is known from the time shortly before the given time.
// The caller holds t.mu.
func (t *Tracker) answeredLately(key Key, at time.Time) bool {
	answered := t.lastAnswer(key)
	return !answered.IsZero() && at.Sub(answered) < recentAnswerSpan
}

// cause returns the content that is quarantined if the evidence suffices. Two crashes suffice
// if the upstreams had begun their answers and no answer to the content has ever succeeded:
// an outside cause rarely meets the start of an answer twice. The caller holds t.mu.
func (t *Tracker) cause(s *suspicion) (keys []Key, sufficient bool) {
	keys, neverAnswered := t.unproven(s.begunPartners)
	if neverAnswered && len(s.begun) >= begunCrashes || t.independent(s.key, s.part, s.begun) >= provenCrashes {
		return keys, true
	}
	waiting := requestCrashes
	if s.part {
		waiting = partCrashes
	}
	keys, _ = t.unproven(s.partners)
	return keys, t.independent(s.key, s.part, s.crashes) >= waiting
}

// evaluate puts the quarantined sets in force that explain the known crashes. The caller
// holds t.mu.
func (t *Tracker) evaluate(now time.Time) {
	sets, known := t.explain(now)
	for _, s := range slices.Clone(t.sets) {
		if s.Lost {
			continue
		}
		// A set whose evidence is known, but explained otherwise by now, was wrong.
		complete := lo.EveryBy(s.Keys, func(k Key) bool { return known[k] >= s.Crashes })
		if complete && !slices.ContainsFunc(sets, func(other Set) bool { return other.In(s.Keys) }) {
			t.drop(s)
		}
	}
	for _, set := range sets {
		t.impose(set, ChangeImposed, localSource)
	}
}

// crashesByKey returns the number of crashes by key, whether or not the key was answered since.
func crashesByKey(crashes []*crash) map[Key]int {
	out := map[Key]int{}
	for _, c := range crashes {
		for _, k := range lo.Uniq(lo.FlatMap(c.reports, func(r Crash, _ int) []Key { return r.Keys })) {
			out[k]++
		}
	}
	return out
}

// explain returns the content that explains the known crashes, and the number of crashes by
// key. It selects the content with the most evidence first; crashes that this
// content explains are no evidence against other content. The caller holds t.mu.
func (t *Tracker) explain(now time.Time) (sets []Set, known map[Key]int) {
	rest := lo.Filter(t.crashes, func(c *crash, _ int) bool { return now.Sub(c.at) < Expiry })
	known = crashesByKey(rest)
	for len(sets) < maxSets {
		set, found := t.strongest(t.suspicions(rest))
		if !found {
			break
		}
		sets = append(sets, set)
		rest = lo.Reject(rest, func(c *crash, _ int) bool {
			return slices.ContainsFunc(c.reports, func(r Crash) bool { return set.In(r.Keys) })
		})
	}
	return sets, known
}

// strongest returns the content with the most evidence that suffices for quarantine. The
// caller holds t.mu.
func (t *Tracker) strongest(suspicions map[Key]*suspicion) (set Set, found bool) {
	var best *suspicion
	for key, s := range suspicions {
		keys, sufficient := t.cause(s)
		if !sufficient || best != nil && s.compare(best) <= 0 {
			continue
		}
		if !slices.Contains(keys, key) || explainedByOther(suspicions, key) {
			continue // the cause is one of the others, which have the same evidence
		}
		best = s
		last := s.crashes[len(s.crashes)-1].at
		set = Set{Keys: keys, Crashes: max(t.independent(s.key, s.part, s.crashes), len(s.begun)), At: last}
		if first := s.crashes[0].at; last.Sub(first) < simultaneousSpan && len(s.begun) < begunCrashes {
			set.Sudden, set.Since = true, first
		}
	}
	return set, best != nil
}

// compare returns a positive number if there is more evidence against s than against other.
func (s *suspicion) compare(other *suspicion) int {
	return cmp.Or(cmp.Compare(len(s.begun), len(other.begun)), cmp.Compare(len(s.crashes), len(other.crashes)), cmp.Compare(other.key, s.key))
}

// suspicions returns the evidence of some crashes against each suspected key. The caller
// holds t.mu.
func (t *Tracker) suspicions(crashes []*crash) map[Key]*suspicion {
	out := map[Key]*suspicion{}
	for _, c := range crashes {
		partners, parts := map[Key][]Key{}, map[Key]bool{}
		for _, r := range c.reports {
			for _, k := range r.Keys[1:] {
				parts[k] = true
			}
			live := lo.Filter(r.Keys, func(k Key, _ int) bool { return c.at.After(t.lastAnswer(k)) })
			for _, k := range live {
				partners[k] = lo.Union(partners[k], live)
			}
		}
		for k, together := range partners {
			s := out[k]
			if s == nil {
				s = &suspicion{key: k, partners: together}
				out[k] = s
			}
			s.part = s.part || parts[k]
			s.crashes = append(s.crashes, c)
			s.partners = lo.Intersect(s.partners, together)
			if c.reports[0].Begun {
				if s.begun = append(s.begun, c); len(s.begun) == 1 {
					s.begunPartners = together
				}
				s.begunPartners = lo.Intersect(s.begunPartners, together)
			}
		}
	}
	return out
}

// explainedByOther reports whether a key of other requests is a suspect in all crashes of
// the given key and at least as often, so that the given key may only have been in its
// company.
func explainedByOther(suspicions map[Key]*suspicion, key Key) bool {
	s := suspicions[key]
	for other, o := range suspicions {
		if !slices.Contains(s.partners, other) && !slices.Contains(o.partners, key) && len(o.crashes) >= len(s.crashes) && lo.Every(o.crashes, s.crashes) {
			return true
		}
	}
	return false
}

// unproven returns, sorted, the keys for which no answer is known from any time, and true.
// If there is no such key, it returns all keys and false. The caller holds t.mu.
func (t *Tracker) unproven(keys []Key) (out []Key, neverAnswered bool) {
	out = lo.Filter(keys, func(k Key, _ int) bool { return t.lastAnswer(k).IsZero() })
	neverAnswered = len(out) > 0
	if !neverAnswered {
		out = slices.Clone(keys)
	}
	slices.Sort(out)
	return out, neverAnswered
}

// impose quarantines a set, or merges it with the known set of the same keys. Sets that
// contain all keys of another set are dropped. The caller holds t.mu.
func (t *Tracker) impose(set Set, change string, source uint64) {
	for _, s := range t.sets {
		if slices.Equal(s.Keys, set.Keys) {
			t.extend(s, set)
			return
		}
		if s.In(set.Keys) {
			return
		}
	}
	for _, s := range slices.Clone(t.sets) {
		if set.In(s.Keys) {
			t.drop(s)
		}
	}
	if len(t.sets) >= maxSets {
		t.drop(slices.MinFunc(t.sets, func(a, b *Set) int { return a.At.Compare(b.At) }))
	}
	t.sets = append(t.sets, &set)
	t.log.append(logRecord{kind: recordSet, crash: Crash{At: set.At, Keys: set.Keys}, crashes: set.Crashes, lost: set.Lost, sudden: set.Sudden, since: set.Since}, source)
	t.publish()
	Changes.Inc(change)
	t.changed(change, set)
}

// extend merges newer evidence into a known set. The caller holds t.mu.
func (t *Tracker) extend(known *Set, set Set) {
	if set.Crashes <= known.Crashes && !set.At.After(known.At) {
		return
	}
	merged := *known
	merged.Crashes = max(known.Crashes, set.Crashes)
	merged.Lost = known.Lost && set.Lost
	merged.Sudden = known.Sudden && set.Sudden
	merged.stored = known.stored || set.stored
	if set.At.After(known.At) {
		merged.At = set.At
	}
	t.sets[slices.Index(t.sets, known)] = &merged
	t.publish()
}

// drop lifts the quarantine of a set. The caller holds t.mu.
func (t *Tracker) drop(s *Set) {
	t.sets = slices.DeleteFunc(t.sets, func(known *Set) bool { return known == s })
	if len(t.lifted) < maxSets {
		t.lifted = append(t.lifted, s.Keys)
	}
	t.publish()
	Changes.Inc(ChangeLifted)
	t.changed(ChangeLifted, *s)
}

// publish puts the sets in force for Refused. The caller holds t.mu.
func (t *Tracker) publish() {
	enforced := make(map[Key][]*Set, len(t.sets))
	for _, s := range t.sets {
		enforced[s.Keys[0]] = append(enforced[s.Keys[0]], s)
	}
	t.enforced.Store(&enforced)
}

// Sets returns the quarantined sets, sorted by their keys.
func (t *Tracker) Sets() []Set {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := lo.Map(t.sets, func(s *Set, _ int) Set { return *s })
	slices.SortFunc(out, func(a, b Set) int { return slices.Compare(a.Keys, b.Keys) })
	return out
}

// extendTried extends the quarantine of each set whose content crashed an upstream again,
// also if the evidence that imposed it has expired. The caller holds t.mu.
func (t *Tracker) extendTried(c Crash) {
	for _, s := range slices.Clone(t.sets) {
		if c.At.Sub(s.At) >= simultaneousSpan && s.In(c.Keys) {
			t.extend(s, Set{Keys: s.Keys, Crashes: s.Crashes + 1, At: c.At, Lost: s.Lost})
		}
	}
}
