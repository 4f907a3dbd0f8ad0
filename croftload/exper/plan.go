package exper

import (
	"context"
	"fmt"
	"io"
	"strings"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
)

// Plan is the runs of an experiment. Empty lists mean all.
type Plan struct {
	Bin         string
	Dir         string
	Clock       *clock.Clock
	Span        clock.Millis
	Seeds       []int64
	Deployments []string
	Scenarios   []string
	Policies    []string
	Progress    io.Writer
}

// Run runs everything, one run after another.
func (p *Plan) Run(ctx context.Context) ([]*Row, error) {
	runs, err := p.runs()
	if err != nil {
		return nil, err
	}
	rows := make([]*Row, 0, len(runs))
	for i, run := range runs {
		_, _ = fmt.Fprintf(p.Progress, "run %d of %d: %s %s %s seed %d\n",
			i+1, len(runs), run.Deployment.Name, run.Scenario.Name, run.Policy.Name, run.Seed)
		row, err := run.Measure(ctx)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (p *Plan) runs() ([]*Run, error) {
	deployments, err := choose("deployment", Deployments, p.Deployments, func(d Deployment) string { return d.Name })
	if err != nil {
		return nil, err
	}
	scenarios, err := choose("scenario", Scenarios, p.Scenarios, func(s Scenario) string { return s.Name })
	if err != nil {
		return nil, err
	}
	policies, err := choose("policy", Policies, p.Policies, func(o Policy) string { return o.Name })
	if err != nil {
		return nil, err
	}
	var runs []*Run
	for _, d := range deployments {
		for _, s := range scenarios {
			for _, o := range policies {
				for _, seed := range p.Seeds {
					runs = append(runs, &Run{
						Deployment: d, Scenario: s, Policy: o, Seed: seed, Span: p.Span, Bin: p.Bin, Dir: p.Dir, Clock: p.Clock,
					})
				}
			}
		}
	}
	return runs, nil
}

// choose returns the named values, or all if no name is given.
func choose[T any](what string, all []T, names []string, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var chosen []T
	for _, name := range names {
		found := false
		for _, value := range all {
			if strings.EqualFold(nameOf(value), name) {
				chosen = append(chosen, value)
				found = true
			}
		}
		if !found {
			known := make([]string, 0, len(all))
			for _, value := range all {
				known = append(known, nameOf(value))
			}
			return nil, fault.New("exper.choose", Invalid, "no "+what+" named "+name+"; there are "+strings.Join(known, ", "))
		}
	}
	return chosen, nil
}
