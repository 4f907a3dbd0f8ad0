// Package loads decides which engine loads the newest version of which model next.
// The weight store serves only a few loads at a time, so with several models an engine
// can't load every version. Plan gives each load to the engine and model for which the
// steps gain most. The package has no I/O and no state.
package loads

import (
	"croftmoor.dev/kernel/ident"
)

// Engine is a model engine that can be ordered to load weights.
type Engine struct {
	Name ident.BackendName
	// Speed is the engine's usual speed as a multiple of the median engine's.
	Speed float64
	// Versions is the version of each model that the engine has, or will have when
	// the load in progress ends.
	Versions map[ident.Model]ident.Version
	// Unavailable engines can't be ordered to load now.
	Unavailable bool
}

// Step is the set of items of one step that wait for engines, or are expected soon.
type Step struct {
	// MinVersion is the oldest version that may run the items.
	MinVersion ident.Version
	// Work is the expected length of the items, in tokens.
	Work float64
	// Waiting is true if the items wait now, and false if they are expected.
	Waiting bool
}

// Model is a model whose newest version engines may load.
type Model struct {
	Name   ident.Model
	Newest ident.Version
	Steps  []Step
}

// Load is an order to an engine to load a version of a model.
type Load struct {
	Engine ident.BackendName
	Model  ident.Model
	// PreviousVersion is the version that the engine has before the load.
	PreviousVersion ident.Version
	Version         ident.Version
}

const (
	// loadingCost is the share of an engine's value to a waiting step that is lost
	// while it loads, because it takes no new items of the model.
	loadingCost = 0.3
	// speedWeight is the share of the gain of a step's first engine that depends on
	// that engine's speed; the rest is for having an engine at all.
	speedWeight = 0.1
	// minSpeed is the lowest speed that the planner assumes, so that a slow engine
	// keeps a small gain and is chosen last.
	minSpeed = 0.05
)

// planner is the state of one call of Plan: the engines as they will be when the loads
// chosen so far have ended.
type planner struct {
	engines []Engine
	models  []Model
}

// Plan returns at most limit loads to order now, the most valuable first, with at most
// one for each engine. It does not change its arguments.
func Plan(engines []Engine, models []Model, limit int) []Load {
	p := &planner{engines: make([]Engine, 0, len(engines)), models: models}
	for _, e := range engines {
		versions := make(map[ident.Model]ident.Version, len(e.Versions))
		for model, version := range e.Versions {
			versions[model] = version
		}
		e.Versions = versions
		p.engines = append(p.engines, e)
	}
	var chosen []Load
	for len(chosen) < limit {
		load, engine, ok := p.best()
		if !ok {
			break
		}
		chosen = append(chosen, load)
		p.engines[engine].Versions[load.Model] = load.Version
		p.engines[engine].Unavailable = true
	}
	return chosen
}

// best returns the load with the highest positive gain and the index of its engine, or
// false if there is none.
func (p *planner) best() (Load, int, bool) {
	var best Load
	index, bestGain := -1, 0.0
	for _, m := range p.models {
		totals := p.totalSpeeds(m)
		for i, e := range p.engines {
			if e.Unavailable || e.Versions[m.Name] >= m.Newest {
				continue
			}
			if g := p.gain(e, m, totals); g > bestGain {
				index, bestGain = i, g
				best = Load{Engine: e.Name, Model: m.Name, PreviousVersion: e.Versions[m.Name], Version: m.Newest}
			}
		}
	}
	return best, index, index >= 0
}

// totalSpeeds returns, for each step of a model, the sum of sharedSpeed over the engines
// that can run it, as a multiple of the median engine's speed.
func (p *planner) totalSpeeds(m Model) []float64 {
	totals := make([]float64, len(m.Steps))
	for _, e := range p.engines {
		for n, s := range m.Steps {
			if e.Versions[m.Name] >= s.MinVersion {
				totals[n] += p.sharedSpeed(e, m)
			}
		}
	}
	return totals
}

// gain returns the value of a load in tokens: the share of the steps' work that the
// engine newly serves, less the cost of not serving a waiting step while it loads. The
// fewer engines a step has, the higher the gain. totals is the result of totalSpeeds.
func (p *planner) gain(e Engine, m Model, totals []float64) float64 {
	gain := 0.0
	speed := p.sharedSpeed(e, m)
	for n, s := range m.Steps {
		switch {
		case e.Versions[m.Name] < s.MinVersion && m.Newest >= s.MinVersion:
			gain += s.Work * speed / (totals[n] + speed) * (1 - speedWeight + speedWeight*speed)
		case e.Versions[m.Name] >= s.MinVersion && s.Waiting:
			gain -= loadingCost * s.Work * speed / totals[n]
		}
	}
	return gain
}

// sharedSpeed returns the engine's speed, a multiple of the median engine's, divided by
// the number of models that it serves, the given one included.
func (p *planner) sharedSpeed(e Engine, m Model) float64 {
	otherModels := 0
	for _, other := range p.models {
		if other.Name != m.Name && serves(e, other) {
			otherModels++
		}
	}
	speed := max(e.Speed, minSpeed)
	return speed / float64(1+otherModels)
}

// serves reports whether an engine can run a step of a model.
func serves(e Engine, m Model) bool {
	for _, s := range m.Steps {
		if e.Versions[m.Name] >= s.MinVersion {
			return true
		}
	}
	return false
}
