package loads

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/ident"
)

// FurthestBehind returns at most limit loads, one for each engine, for the engines that
// are the most versions behind. It ignores the steps, and serves as the baseline for
// Plan.
func FurthestBehind(engines []Engine, models []Model, limit int) []Load {
	var all []Load
	for _, e := range engines {
		for _, m := range models {
			if !e.Unavailable && e.Versions[m.Name] < m.Newest {
				all = append(all, Load{Engine: e.Name, Model: m.Name, PreviousVersion: e.Versions[m.Name], Version: m.Newest})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Load) int { return cmp.Compare(a.PreviousVersion-a.Version, b.PreviousVersion-b.Version) })
	ordered := map[ident.BackendName]bool{}
	all = slices.DeleteFunc(all, func(l Load) bool {
		again := ordered[l.Engine]
		ordered[l.Engine] = true
		return again
	})
	return all[:min(max(limit, 0), len(all))]
}
