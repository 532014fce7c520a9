package agent

import (
	"cmp"
	"slices"

	"github.com/cardamompier/cardamompier/rollout"
)

// Status shows operators one pool's roll-out as this host sees it.
type Status struct {
	Host     string `json:"host"`
	Pool     string `json:"pool"`
	Target   string `json:"target"`
	Revision uint64 `json:"revision"`
	// Phase is empty until a directive or a record is known.
	Phase rollout.Phase `json:"phase"`
	// Open reports whether this host may send requests to the target in the canary phase.
	Open       bool     `json:"open"`
	Share      float64  `json:"share"`
	Old        []string `json:"old,omitempty"`
	Stopped    string   `json:"stopped,omitempty"`
	Published  bool     `json:"published"`
	BadAnswers int64    `json:"bad_answers"`
	AtOld      int64    `json:"at_old"`
	AtTarget   int64    `json:"at_target"`
	// DirectiveAgeMS is the time since the newest directive; -1 if there was none.
	DirectiveAgeMS int64      `json:"directive_age_ms"`
	DurationMS     int64      `json:"duration_ms"`
	Evidence       []Evidence `json:"evidence,omitempty"`
}

// Evidence is this host's counts of one version on one route.
type Evidence struct {
	Version string `json:"version"`
	Route   string `json:"route"`
	Ended   int64  `json:"ended"`
	Failed  int64  `json:"failed"`
}

// Status returns the newest roll-out of each pool, sorted by pool.
func (a *Agent) Status() []Status {
	out := []Status{}
	a.eachPool(func(p *pool) {
		if s := p.current.Load().state; s.ordered() {
			out = append(out, p.status(s))
		}
	})
	slices.SortFunc(out, func(x, y Status) int { return cmp.Compare(x.Pool, y.Pool) })
	return out
}

func (p *pool) status(s *state) Status {
	now := p.agent.Elapsed()
	st := Status{
		Host: p.agent.Host, Pool: p.name, Target: s.order.Target, Revision: s.order.Revision, Phase: s.phase, Open: s.exposes(now),
		Share: s.promotedShare(now), Old: s.old, Stopped: s.stopped, Published: s.done, BadAnswers: s.bad, DirectiveAgeMS: -1,
		DurationMS: s.order.Duration.Milliseconds(),
	}
	if s.phase == rollout.PhaseComplete {
		st.Share = 1
	}
	if s.heardAt != 0 {
		st.DirectiveAgeMS = (now - s.heardAt).Milliseconds()
	}
	st.AtOld, _, st.AtTarget = p.inFlightAt(s.order.Target)
	for key, counts := range s.recorder.Snapshot() {
		st.Evidence = append(st.Evidence, Evidence{Version: key.Version, Route: key.Route, Ended: counts.Ended, Failed: counts.Failed})
	}
	slices.SortFunc(st.Evidence, func(x, y Evidence) int {
		return cmp.Or(cmp.Compare(x.Version, y.Version), cmp.Compare(x.Route, y.Route))
	})
	return st
}
