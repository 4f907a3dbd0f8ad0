package exper

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// cell is a deployment's scenario under one policy.
type cell struct {
	deployment string
	scenario   string
	policy     string
}

// Table writes the medians over the seeds, and the spread of idle time.
func Table(out io.Writer, rows []*Row) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "DEPLOYMENT\tSCENARIO\tPOLICY\tSEEDS\tIDLE\tIDLE MIN..MAX\tSTALE P50\tP99\tMAX\tWASTE\tLIVE ON TIME\tP50\tP99 MS\tRETRY\tAPPENDS/S\tCPU\tBROKEN\t")
	for _, c := range cells(rows) {
		of := slices.DeleteFunc(slices.Clone(rows), func(r *Row) bool { return cellOf(r) != c })
		idle := sorted(of, func(r *Row) float64 { return r.TrainerIdleShare })
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.3f\t%.3f..%.3f\t%.0f\t%.0f\t%.0f\t%.3f\t%.4f\t%.0f\t%.0f\t%.3f\t%.2f\t%.2f\t%.0f\t\n",
			c.deployment, c.scenario, c.policy, len(of), middle(idle), idle[0], idle[len(idle)-1],
			median(of, func(r *Row) float64 { return float64(r.StalenessP50) }),
			median(of, func(r *Row) float64 { return float64(r.StalenessP99) }),
			median(of, func(r *Row) float64 { return float64(r.StalenessMax) }),
			median(of, func(r *Row) float64 { return r.WastedTokenShare }),
			median(of, func(r *Row) float64 { return r.LiveOnTimeShare }),
			median(of, func(r *Row) float64 { return float64(r.LiveP50Millis) }),
			median(of, func(r *Row) float64 { return float64(r.LiveP99Millis) }),
			median(of, func(r *Row) float64 { return r.RetryAmplification }),
			median(of, func(r *Row) float64 { return r.AppendsPerSecond }),
			median(of, func(r *Row) float64 { return r.CPUShare }),
			sum(of, func(r *Row) float64 { return float64(r.BrokenPromises) }))
	}
	return table.Flush()
}

func cellOf(r *Row) cell {
	return cell{deployment: r.Deployment, scenario: r.Scenario, policy: r.Policy}
}

// cells lists the cells in the order of their first rows.
func cells(rows []*Row) []cell {
	var list []cell
	for _, r := range rows {
		if !slices.Contains(list, cellOf(r)) {
			list = append(list, cellOf(r))
		}
	}
	return list
}

func sorted(rows []*Row, of func(*Row) float64) []float64 {
	values := make([]float64, 0, len(rows))
	for _, r := range rows {
		values = append(values, of(r))
	}
	slices.Sort(values)
	return values
}

func median(rows []*Row, of func(*Row) float64) float64 {
	return middle(sorted(rows, of))
}

func middle(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return values[len(values)/2]
}

func sum(rows []*Row, of func(*Row) float64) float64 {
	total := 0.0
	for _, r := range rows {
		total += of(r)
	}
	return total
}
