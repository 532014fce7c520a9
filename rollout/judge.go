package rollout

import (
	"fmt"
	"math"
	"slices"

	"github.com/samber/lo"
)

// Verdict compares the target of a roll-out with the old versions.
type Verdict struct {
	// Bad reports that the target is worse than the old versions. Sure reports that the evidence suffices for a
	// rollback; a bad verdict that is not sure only delays the promotion.
	Bad, Sure bool
	// Route is the route on which the target is worse; empty if it is so over all routes.
	Route string
	// Reason states the evidence in one line; empty if the target is not bad.
	Reason string
	// BadAnswers is the number of failed and slow answers of the target beyond what the old versions' share of
	// such answers explains. It is for reports; Bad and Sure decide.
	BadAnswers int64
}

const (
	// sureZ and suspectZ are the values of the test statistic from which a difference is sure and suspected.
	// Chance exceeds them in 3 of 100,000 and 2 of 10,000 comparisons.
	sureZ, suspectZ = 4.0, 3.5
	// sharedZ is the value below which the target and the old versions have the same fault. Few old answers are known
	// from the steps of the promotion.
	sharedZ = 1.5
	// minFailed and minSlow are the least numbers of bad answers for a sure verdict, and minSuspect is that of
	// failed ones for a suspicion.
	minFailed, minSlow, minSuspect = 5, 8, 4
	// excessVerdict is the number of bad answers beyond the old versions' share that is a verdict by itself. It
	// is below the 50 bad answers from which the time to roll back counts.
	excessVerdict = 40
	// slowBuckets is the distance from the bucket of the old versions' 90th percentile to the first slow bucket:
	// 1.5 is 2.3 quarter octaves, and answers are spread over the bucket of the percentile.
	slowBuckets = 3
	// minPercentile is the least number of old answers from which a 90th percentile is taken.
	minPercentile = 20
)

// criteria are the least differences between the shares of the target and the old versions that count.
type criteria struct {
	// failed and slow are for a verdict from few answers. Slow answers come in clusters: while a queue is long, all
	// of its requests are late, so that the test takes chance for proof.
	failed, slow float64
	// manyFailed and manySlow are for the verdict from excessVerdict answers.
	manyFailed, manySlow float64
}

var (
	// together are the criteria while all versions get requests. Bad targets fail one answer in seven or more. The
	// canaries carry up to a third more than the old upstreams do and cannot share it among many: in simulated
	// bursts up to 26 in 100 of their answers were slow for that reason. A version that is five times slower
	// exceeds 45 in 100.
	together = criteria{failed: 0.03, slow: 0.3, manyFailed: 0, manySlow: 0.1}
	// afterwards are the criteria after the promotion. The old versions get no requests then, so that a burst or
	// content that crashes upstreams shows at the target only.
	afterwards = criteria{failed: 0.05, slow: 0.5, manyFailed: 0.05, manySlow: 0.5}
)

// Judge returns the verdict on the target over the routes one by one and together. The evidence of all versions
// must be from the same time.
func Judge(target string, old []string, e Evidence) Verdict {
	return judge(target, old, e, together)
}

// JudgePromoted is Judge for PhasePromoting, in which the evidence of the old versions is from an earlier time:
// small differences in failures and moderate ones in slowness do not count.
func JudgePromoted(target string, old []string, e Evidence) Verdict {
	return judge(target, old, e, afterwards)
}

func judge(target string, old []string, e Evidence, least criteria) Verdict {
	routes, total := byRoute(target, old, e)
	out := compare("", &total.target, &total.old, least)
	names := lo.Keys(routes)
	slices.Sort(names)
	for _, name := range names {
		v := compare(name, &routes[name].target, &routes[name].old, least)
		v.BadAnswers = max(v.BadAnswers, out.BadAnswers)
		out.BadAnswers = v.BadAnswers
		if v.Bad && !out.Bad || v.Sure && !out.Sure {
			out = v
		}
	}
	return out
}

// sharedByOld reports whether evidence, of which that on a route or on all routes (empty) is enough for a comparison, shows
// no difference between the target and the old versions.
func sharedByOld(target string, old []string, e Evidence, route string) bool {
	routes, p := byRoute(target, old, e)
	if known := routes[route]; route != "" && known != nil {
		p = known
	}
	if p.old.Ended < minPercentile {
		return false
	}
	return failedAnswers(&p.target, &p.old).z() < sharedZ && slowAnswers(&p.target, &p.old).z() < sharedZ
}

// versions are the counts of the target and of the old versions together.
type versions struct{ target, old Counts }

// byRoute returns the counts by route and over all routes.
func byRoute(target string, old []string, e Evidence) (routes map[string]*versions, total *versions) {
	routes, total = map[string]*versions{}, &versions{}
	for key, counts := range e {
		v := routes[key.Route]
		if v == nil {
			v = &versions{}
			routes[key.Route] = v
		}
		switch {
		case key.Version == target:
			v.target.Add(counts)
			total.target.Add(counts)
		case slices.Contains(old, key.Version):
			v.old.Add(counts)
			total.old.Add(counts)
		}
	}
	return routes, total
}

// compare returns the verdict on one route, or on all of them if the route is empty.
func compare(route string, target, old *Counts, least criteria) Verdict {
	failed := failedAnswers(target, old)
	slow := slowAnswers(target, old)
	out := Verdict{Route: route, BadAnswers: int64(failed.excess() + slow.excess())}
	out.add(failed, minFailed, least.failed, least.manyFailed)
	out.add(slow, minSlow, least.slow, least.manySlow)
	if !out.Bad && failed.bad >= minSuspect && failed.difference() > least.failed && failed.z() >= suspectZ {
		out.Bad, out.Reason = true, failed.String()
	}
	if !out.Bad {
		out.Route = ""
	}
	return out
}

// add takes the result of one test into the verdict. A difference of more than few is sure from a number of bad answers
// on, and one of more than many from excessVerdict answers on.
func (v *Verdict) add(p proportions, bad int64, few, many float64) {
	difference := p.difference()
	sure := difference > few && p.bad >= bad && p.z() >= sureZ ||
		difference > many && p.excess() >= excessVerdict && (p.oldAll == 0 || p.z() >= sureZ)
	if sure && !v.Sure {
		v.Bad, v.Sure, v.Reason = true, true, p.String()
	}
}

// failedAnswers returns the failed answers.
func failedAnswers(target, old *Counts) proportions {
	return proportions{kind: "failed", bad: target.Failed, all: target.Ended, oldBad: old.Failed, oldAll: old.Ended}
}

// slowAnswers returns the answers slower than 1.5 times the old versions' 90th percentile.
func slowAnswers(target, old *Counts) proportions {
	out := proportions{kind: "slow", all: lo.Sum(target.Latency[:]), oldAll: lo.Sum(old.Latency[:])}
	if out.oldAll < minPercentile {
		return proportions{kind: out.kind}
	}
	percentile, below := 0, old.Latency[0]
	for ; below*10 < out.oldAll*9; below += old.Latency[percentile] {
		percentile++
	}
	if first := percentile + slowBuckets; first < Buckets {
		out.bad, out.oldBad = lo.Sum(target.Latency[first:]), lo.Sum(old.Latency[first:])
	}
	return out
}

// proportions are the bad answers among all answers of the target and of the old versions.
type proportions struct {
	kind                     string
	bad, all, oldBad, oldAll int64
}

// String returns the numbers for a verdict's reason.
func (p proportions) String() string {
	return fmt.Sprintf("%d of %d answers %s, %d of %d at old versions", p.bad, p.all, p.kind, p.oldBad, p.oldAll)
}

// smoothed adds one good and one bad answer to those of the old versions, so that a target without any
// comparison is bad only if many more than half of its answers are.
func (p proportions) smoothed() proportions {
	p.oldBad++
	p.oldAll += 2
	return p
}

// excess returns the number of the target's bad answers beyond the smoothed share of the old versions, or 0.
func (p proportions) excess() float64 {
	s := p.smoothed()
	return max(0, float64(s.bad)-float64(s.all)*float64(s.oldBad)/float64(s.oldAll))
}

// difference returns by how much the target's share of bad answers is larger than that of the old versions. It is
// 0 without bad answers.
func (p proportions) difference() float64 {
	if p.all == 0 {
		return 0
	}
	if p.oldAll == 0 {
		p = p.smoothed()
	}
	return float64(p.bad)/float64(p.all) - float64(p.oldBad)/float64(p.oldAll)
}

// z returns the signed root of the likelihood ratio for two proportions, or 0 if the target's is not the larger one.
// Unlike the difference over its standard error, it is close to normal for few bad answers among many.
func (p proportions) z() float64 {
	if p.all == 0 || p.oldAll == 0 || p.difference() <= 0 {
		return 0
	}
	pooled := float64(p.bad+p.oldBad) / float64(p.all+p.oldAll)
	ratio := likelihoodRatio(p.bad, p.all, pooled) + likelihoodRatio(p.oldBad, p.oldAll, pooled)
	return math.Sqrt(max(0, 2*ratio))
}

// likelihoodRatio returns the logarithm of how much likelier bad of all answers are under their own share than
// under the pooled one.
func likelihoodRatio(bad, all int64, pooled float64) float64 {
	term := func(n int64, pooled float64) float64 {
		if n <= 0 {
			return 0
		}
		return float64(n) * math.Log(float64(n)/float64(all)/pooled)
	}
	return term(bad, pooled) + term(all-bad, 1-pooled)
}
