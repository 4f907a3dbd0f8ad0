package batch

import (
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

// engineStarts maps an engine's ListName, which a restart keeps, to the name of the start
// that a view of the fleet lists. It is computed once per view, which may have thousands
// of engines.
type engineStarts struct {
	view   *fleet.View
	listed map[string]ident.BackendName
}

// listedStarts returns the starts in the current view. The caller holds mu.
func (r *Runner) listedStarts() engineStarts {
	view := r.Fleet.View()
	if r.starts.view == view {
		return r.starts
	}
	r.starts = engineStarts{view: view, listed: map[string]ident.BackendName{}}
	for _, members := range view.Backends {
		for _, m := range members {
			name := ident.BackendName(m.Name)
			r.starts.listed[name.ListName()] = name
		}
	}
	return r.starts
}

// restarted reports whether another start of the engine is listed. What ran at the
// earlier start is lost, and waiting for its timeout would be useless.
func (s engineStarts) restarted(engine ident.BackendName) bool {
	name, listed := s.listed[engine.ListName()]
	return listed && name != engine
}
