package exper

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"croftmoor.dev/kernel/fault"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = vg.Length(14)
)

var barColors = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255}, color.RGBA{R: 255, G: 127, B: 14, A: 255},
	color.RGBA{R: 44, G: 160, B: 44, A: 255}, color.RGBA{R: 148, G: 103, B: 189, A: 255},
}

// Plot draws the median idle shares, a group of bars for each scenario.
func Plot(path string, rows []*Row) error {
	p := plot.New()
	p.Title.Text = "Trainer idle share (median over seeds)"
	p.Y.Label.Text = "share of time"
	p.Y.Min = 0
	groups, policies := axes(rows)
	for i, policy := range policies {
		values := make(plotter.Values, len(groups))
		for j, g := range groups {
			g.policy = policy
			values[j] = medianOf(rows, g)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return fault.Wrap("exper.Plot", Invalid, err, path)
		}
		bars.Color = barColors[i%len(barColors)]
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	names := make([]string, 0, len(groups))
	for _, g := range groups {
		names = append(names, g.deployment+"\n"+g.scenario)
	}
	p.NominalX(names...)
	p.Legend.Top = true
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fault.Wrap("exper.Plot", Invalid, err, path)
	}
	return nil
}

// axes lists the groups (cells without their policy) and the policies.
func axes(rows []*Row) (groups []cell, policies []string) {
	seenGroup, seenPolicy := map[cell]bool{}, map[string]bool{}
	for _, c := range cells(rows) {
		if !seenPolicy[c.policy] {
			seenPolicy[c.policy] = true
			policies = append(policies, c.policy)
		}
		c.policy = ""
		if !seenGroup[c] {
			seenGroup[c] = true
			groups = append(groups, c)
		}
	}
	return groups, policies
}

func medianOf(rows []*Row, c cell) float64 {
	var of []*Row
	for _, r := range rows {
		if cellOf(r) == c {
			of = append(of, r)
		}
	}
	return median(of, func(r *Row) float64 { return r.TrainerIdleShare })
}
