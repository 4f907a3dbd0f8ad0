// Package loads decides which engine loads which model's newest version next.
// The weight store serves a few loads at a time, so that with several models not
// every engine can follow every version: each load goes where the steps that wait
// or are about to come gain most. The package is pure.
package loads

import (
	"croftmoor.dev/kernel/ident"
)

// Engine is a model engine as a load may find it.
type Engine struct {
	Name ident.BackendName
	// Speed is its usual speed as a multiple of the median engine's.
	Speed float64
	// Versions are the versions that it has, or will have once the load that it
	// carries out has ended.
	Versions map[ident.Model]ident.Version
	// Unavailable tells that it can't be ordered to load now.
	Unavailable bool
}

// Step is items of one step that wait for engines, or are expected to.
type Step struct {
	// MinVersion is the oldest version that may run them.
	MinVersion ident.Version
	// Work is what they are expected to take, in tokens.
	Work float64
	// Waiting tells that the items wait now.
	Waiting bool
}

// Model is a model whose newest version engines may load.
type Model struct {
	Name   ident.Model
	Newest ident.Version
	Steps  []Step
}

// Load is one load to order.
type Load struct {
	Engine ident.BackendName
	Model  ident.Model
	// PreviousVersion is the version that the engine has before.
	PreviousVersion ident.Version
	Version         ident.Version
}

const (
	// loadingCost is what it costs that an engine takes no new items of the model
	// while it loads, as a share of what it is worth to the step that waits.
	loadingCost = 0.3
	// speedWeight is how much a step's first engine is chosen by its worth; the rest is
	// for having one at all.
	speedWeight = 0.1
	// minSpeed keeps an engine that has turned slow in the running, behind others.
	minSpeed = 0.05
)

// plan is the state of a planning: what engines will have once the loads chosen
// so far have ended.
type plan struct {
	engines []Engine
	models  []Model
}

// Plan returns the loads to order now, most valuable first, no more than most.
func Plan(engines []Engine, models []Model, limit int) []Load {
	p := &plan{engines: make([]Engine, 0, len(engines)), models: models}
	for _, e := range engines {
		has := make(map[ident.Model]ident.Version, len(e.Versions))
		for model, version := range e.Versions {
			has[model] = version
		}
		e.Versions = has
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

// best returns the load that is worth most now.
func (p *plan) best() (Load, int, bool) {
	var best Load
	index, bestGain := -1, 0.0
	for _, m := range p.models {
		supply := p.supplies(m)
		for i, e := range p.engines {
			if e.Unavailable || e.Versions[m.Name] >= m.Newest {
				continue
			}
			if g := p.gain(e, m, supply); g > bestGain {
				index, bestGain = i, g
				best = Load{Engine: e.Name, Model: m.Name, PreviousVersion: e.Versions[m.Name], Version: m.Newest}
			}
		}
	}
	return best, index, index >= 0
}

// supplies returns for each step of a model what the engines that can run it are
// worth together.
func (p *plan) supplies(m Model) []float64 {
	supply := make([]float64, len(m.Steps))
	for _, e := range p.engines {
		for n, s := range m.Steps {
			if e.Versions[m.Name] >= s.MinVersion {
				supply[n] += p.sharedSpeed(e, m)
			}
		}
	}
	return supply
}

// gain returns what a load is worth: the first engines of a step count most, and
// an engine that serves a waiting step does not do so while it loads.
func (p *plan) gain(e Engine, m Model, supply []float64) float64 {
	gain := 0.0
	worth := p.sharedSpeed(e, m)
	for n, s := range m.Steps {
		switch {
		case e.Versions[m.Name] < s.MinVersion && m.Newest >= s.MinVersion:
			gain += s.Work * worth / (supply[n] + worth) * (1 - speedWeight + speedWeight*worth)
		case e.Versions[m.Name] >= s.MinVersion && s.Waiting:
			gain -= loadingCost * s.Work * worth / supply[n]
		}
	}
	return gain
}

// sharedSpeed returns what an engine counts for a model: it is shared by all models whose
// steps it serves.
func (p *plan) sharedSpeed(e Engine, m Model) float64 {
	otherModels := 0
	for _, other := range p.models {
		if other.Name != m.Name && serves(e, other) {
			otherModels++
		}
	}
	speed := max(e.Speed, minSpeed)
	return speed / float64(1+otherModels)
}

// serves tells whether an engine can run a step of a model.
func serves(e Engine, m Model) bool {
	for _, s := range m.Steps {
		if e.Versions[m.Name] >= s.MinVersion {
			return true
		}
	}
	return false
}
