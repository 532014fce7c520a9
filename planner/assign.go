package planner

import "sort"

// Load is the predicted work for one model with its adapters.
type Load struct {
	Model string
	// Adapters that the model's requests name.
	Adapters []string
	// Work is in capacity units.
	Work float64
}

// Engine is a warm host with what it runs now.
type Engine struct {
	ID            string
	FailureDomain string
	Capacity      float64
	Model         string
	Adapters      []string
}

// Assignment is the wanted state of one engine.
type Assignment struct {
	EngineID string
	Model    string
	Adapters []string
}

// Assign gives each engine a model, in proportion to the models' work. An
// engine keeps its model while that model lacks capacity, since a change
// copies weights; a model's engines are spread over the failure domains.
// Every model with work gets at least one engine while there are enough.
func Assign(loads []Load, engines []Engine) []Assignment {
	if len(loads) == 0 || len(engines) == 0 {
		return nil
	}
	a := newAssigner(loads, engines)
	a.keepCurrent()
	a.fillRest()
	return a.result()
}

type assigner struct {
	loads   []Load
	engines []Engine
	// quota is the capacity that each model may hold.
	quota []float64
	held  []float64
	// capacity is that of all engines.
	capacity float64
	// model is the index in loads of each engine's model; -1 while free.
	model []int
}

func newAssigner(loads []Load, engines []Engine) *assigner {
	a := &assigner{
		loads: append([]Load{}, loads...), engines: append([]Engine{}, engines...),
		held: make([]float64, len(loads)), quota: make([]float64, len(loads)), model: make([]int, len(engines)),
	}
	sort.Slice(a.loads, func(i, j int) bool { return a.loads[i].Model < a.loads[j].Model })
	sort.Slice(a.engines, func(i, j int) bool { return a.engines[i].ID < a.engines[j].ID })
	capacity, work := 0.0, 0.0
	for _, e := range a.engines {
		capacity += e.Capacity
	}
	a.capacity = capacity
	for _, l := range a.loads {
		work += l.Work
	}
	for i, l := range a.loads {
		a.quota[i] = capacity / float64(len(loads))
		if work > 0 {
			a.quota[i] = capacity * l.Work / work
		}
	}
	for i := range a.model {
		a.model[i] = -1
	}
	return a
}

// keepCurrent leaves engines with their model while it is below its quota
// and enough engines stay free for the models that none runs.
func (a *assigner) keepCurrent() {
	free := len(a.engines)
	for first := true; ; first = false {
		for e, engine := range a.engines {
			l := a.loadOf(engine.Model)
			if l < 0 || a.model[e] >= 0 || first != (a.held[l] == 0) {
				continue
			}
			if first || (a.held[l]+engine.Capacity/2 <= a.quota[l] && free > a.unserved()) {
				a.give(e, l)
				free--
			}
		}
		if !first {
			return
		}
	}
}

// loadOf returns the index of a model's load; -1 when it has none.
func (a *assigner) loadOf(model string) int {
	for l, load := range a.loads {
		if load.Model == model {
			return l
		}
	}
	return -1
}

// unserved counts the models with work that no engine was given to.
func (a *assigner) unserved() int {
	n := 0
	for l, load := range a.loads {
		if load.Work > 0 && a.held[l] == 0 {
			n++
		}
	}
	return n
}

// fillRest gives each free engine to the model that lacks most, counting a
// model without any engine first.
func (a *assigner) fillRest() {
	for {
		l := a.neediest()
		e := a.freeEngine(l)
		if e < 0 {
			return
		}
		a.give(e, l)
	}
}

func (a *assigner) give(engine, load int) {
	a.model[engine] = load
	a.held[load] += a.engines[engine].Capacity
}

func (a *assigner) neediest() int {
	best, bestLack := 0, -1.0
	for l := range a.loads {
		lack := a.quota[l] - a.held[l]
		if a.held[l] == 0 && a.loads[l].Work > 0 {
			lack += a.capacity
		}
		if l == 0 || lack > bestLack {
			best, bestLack = l, lack
		}
	}
	return best
}

// freeEngine returns the free engine in the failure domain where the model
// has the fewest; -1 when none is free.
func (a *assigner) freeEngine(load int) int {
	inDomain := map[string]int{}
	for e, l := range a.model {
		if l == load {
			inDomain[a.engines[e].FailureDomain]++
		}
	}
	best := -1
	for e, l := range a.model {
		if l >= 0 {
			continue
		}
		if best < 0 || inDomain[a.engines[e].FailureDomain] < inDomain[a.engines[best].FailureDomain] {
			best = e
		}
	}
	return best
}

func (a *assigner) result() []Assignment {
	out := make([]Assignment, 0, len(a.engines))
	for e, l := range a.model {
		out = append(out, Assignment{EngineID: a.engines[e].ID, Model: a.loads[l].Model, Adapters: a.loads[l].Adapters})
	}
	return out
}
