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
	// Has are the versions that it has, or will have once the load that it
	// carries out has ended.
	Has map[ident.Model]ident.Version
	// Barred tells that it can't be ordered to load now.
	Barred bool
}

// Step is items of one step that wait for engines, or are expected to.
type Step struct {
	// Least is the oldest version that may run them.
	Least ident.Version
	// Work is what they are expected to take, in tokens.
	Work float64
	// Waits tells that the items wait now.
	Waits bool
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
	// Has is the version that the engine has before.
	Has     ident.Version
	Version ident.Version
}

const (
	// blocked is what it costs that an engine takes no new items of the model
	// while it loads, as a share of what it is worth to the step that waits.
	blocked = 0.3
	// choice is how much a step's first engine is chosen by its worth; the rest is
	// for having one at all.
	choice = 0.1
	// leastSpeed keeps an engine that has turned slow in the running, behind others.
	leastSpeed = 0.05
)

// plan is the state of a planning: what engines will have once the loads chosen
// so far have ended.
type plan struct {
	engines []Engine
	models  []Model
}

// Plan returns the loads to order now, most valuable first, no more than most.
func Plan(engines []Engine, models []Model, most int) []Load {
	p := &plan{engines: make([]Engine, 0, len(engines)), models: models}
	for _, e := range engines {
		has := make(map[ident.Model]ident.Version, len(e.Has))
		for model, version := range e.Has {
			has[model] = version
		}
		e.Has = has
		p.engines = append(p.engines, e)
	}
	var chosen []Load
	for len(chosen) < most {
		load, engine, ok := p.best()
		if !ok {
			break
		}
		chosen = append(chosen, load)
		p.engines[engine].Has[load.Model] = load.Version
		p.engines[engine].Barred = true
	}
	return chosen
}

// best returns the load that is worth most now.
func (p *plan) best() (Load, int, bool) {
	var best Load
	at, most := -1, 0.0
	for _, m := range p.models {
		supply := p.supplies(m)
		for i, e := range p.engines {
			if e.Barred || e.Has[m.Name] >= m.Newest {
				continue
			}
			if g := p.gain(e, m, supply); g > most {
				at, most = i, g
				best = Load{Engine: e.Name, Model: m.Name, Has: e.Has[m.Name], Version: m.Newest}
			}
		}
	}
	return best, at, at >= 0
}

// supplies returns for each step of a model what the engines that can run it are
// worth together.
func (p *plan) supplies(m Model) []float64 {
	supply := make([]float64, len(m.Steps))
	for _, e := range p.engines {
		for n, s := range m.Steps {
			if e.Has[m.Name] >= s.Least {
				supply[n] += p.worth(e, m)
			}
		}
	}
	return supply
}

// gain returns what a load is worth: the first engines of a step count most, and
// an engine that serves a waiting step does not do so while it loads.
func (p *plan) gain(e Engine, m Model, supply []float64) float64 {
	gain := 0.0
	worth := p.worth(e, m)
	for n, s := range m.Steps {
		switch {
		case e.Has[m.Name] < s.Least && m.Newest >= s.Least:
			gain += s.Work * worth / (supply[n] + worth) * (1 - choice + choice*worth)
		case e.Has[m.Name] >= s.Least && s.Waits:
			gain -= blocked * s.Work * worth / supply[n]
		}
	}
	return gain
}

// worth returns what an engine counts for a model: it is shared by all models whose
// steps it serves.
func (p *plan) worth(e Engine, m Model) float64 {
	others := 0
	for _, other := range p.models {
		if other.Name != m.Name && serves(e, other) {
			others++
		}
	}
	speed := max(e.Speed, leastSpeed)
	return speed / float64(1+others)
}

// serves tells whether an engine can run a step of a model.
func serves(e Engine, m Model) bool {
	for _, s := range m.Steps {
		if e.Has[m.Name] >= s.Least {
			return true
		}
	}
	return false
}
