package loads

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/ident"
)

// FurthestBehind returns the loads of the engines that are most versions behind,
// whatever steps need: the baseline that Plan is measured against.
func FurthestBehind(engines []Engine, models []Model, most int) []Load {
	var all []Load
	for _, e := range engines {
		for _, m := range models {
			if !e.Barred && e.Has[m.Name] < m.Newest {
				all = append(all, Load{Engine: e.Name, Model: m.Name, Has: e.Has[m.Name], Version: m.Newest})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Load) int { return cmp.Compare(a.Has-a.Version, b.Has-b.Version) })
	ordered := map[ident.BackendName]bool{}
	all = slices.DeleteFunc(all, func(l Load) bool {
		again := ordered[l.Engine]
		ordered[l.Engine] = true
		return again
	})
	return all[:min(max(most, 0), len(all))]
}
