package planner

import "sort"

// Load is the predicted work for one model, with the adapters used by its requests.
type Load struct {
	Model string
	// Adapters lists the adapters that requests for the model name.
	Adapters []string
	// Work is the predicted work in capacity units.
	Work float64
}

// Engine is a warm host with the model and adapters that it runs now.
type Engine struct {
	ID            string
	FailureDomain string
	Capacity      float64
	Model         string
	Adapters      []string
}

// Assignment is the model and adapters that one engine should run.
type Assignment struct {
	EngineID string
	Model    string
	Adapters []string
}

// Assign assigns a model to each engine so that capacity is proportional to the models' work.
// An engine retains its model while that model lacks capacity, since a change copies weights.
// The engines of a model are spread over the failure domains. Every model with work gets at
// least one engine if there are enough engines.
func Assign(loads []Load, engines []Engine) []Assignment {
	if len(loads) == 0 || len(engines) == 0 {
		return nil
	}
	a := newAssigner(loads, engines)
	a.keepCurrent()
	a.assignFree()
	return a.result()
}

type assigner struct {
	loads   []Load
	engines []Engine
	// quota is each model's share of the total capacity, in proportion to its work.
	quota    []float64
	assigned []float64
	// capacity is the total capacity of all engines.
	capacity float64
	// model holds, for each engine, the index of its model in loads; -1 while the engine is free.
	model []int
}

func newAssigner(loads []Load, engines []Engine) *assigner {
	a := &assigner{
		loads: append([]Load{}, loads...), engines: append([]Engine{}, engines...),
		assigned: make([]float64, len(loads)), quota: make([]float64, len(loads)), model: make([]int, len(engines)),
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

// keepCurrent assigns engines to the model that they run already. The first engine of each model
// always stays. A further one stays if the model is below its quota by at least half of that
// engine's capacity and the free engines outnumber the models with work that have no engine.
func (a *assigner) keepCurrent() {
	free := len(a.engines)
	for firstPass := true; ; firstPass = false {
		for e, engine := range a.engines {
			l := a.loadOf(engine.Model)
			if l < 0 || a.model[e] >= 0 || firstPass != (a.assigned[l] == 0) {
				continue
			}
			if firstPass || (a.assigned[l]+engine.Capacity/2 <= a.quota[l] && free > a.unserved()) {
				a.assign(e, l)
				free--
			}
		}
		if !firstPass {
			return
		}
	}
}

// loadOf returns the index in loads of the named model, or -1 if the model has no load.
func (a *assigner) loadOf(model string) int {
	for l, load := range a.loads {
		if load.Model == model {
			return l
		}
	}
	return -1
}

// unserved counts the models that have work and no assigned engine.
func (a *assigner) unserved() int {
	n := 0
	for l, load := range a.loads {
		if load.Work > 0 && a.assigned[l] == 0 {
			n++
		}
	}
	return n
}

// assignFree assigns each free engine to the model with the largest shortfall. Models with work
// and no engine come first.
func (a *assigner) assignFree() {
	for {
		l := a.largestShortfall()
		e := a.freeEngine(l)
		if e < 0 {
			return
		}
		a.assign(e, l)
	}
}

func (a *assigner) assign(engine, load int) {
	a.model[engine] = load
	a.assigned[load] += a.engines[engine].Capacity
}

func (a *assigner) largestShortfall() int {
	best, bestShortfall := 0, -1.0
	for l := range a.loads {
		shortfall := a.quota[l] - a.assigned[l]
		if a.assigned[l] == 0 && a.loads[l].Work > 0 {
			shortfall += a.capacity
		}
		if l == 0 || shortfall > bestShortfall {
			best, bestShortfall = l, shortfall
		}
	}
	return best
}

// freeEngine returns a free engine from the failure domain in which the model has the fewest
// engines, or -1 if no engine is free.
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
