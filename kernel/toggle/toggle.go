// Package toggle defines the mechanisms that can be disabled individually to measure
// their effect; docs/POLICY.md lists the results. All are enabled by default.
package toggle

import (
	"slices"
	"strings"

	"croftmoor.dev/kernel/fault"
)

// Mechanism is the name of a mechanism that can be disabled.
type Mechanism string

// Mechanisms that can be disabled.
const (
	// Planning loads new weights first where open steps benefit most. Without it, the
	// engines with the oldest weights load first.
	Planning Mechanism = "Planning"
	// EarlyOrders orders the next weight load when the previous one should be complete,
	// before the engine reports it.
	EarlyOrders Mechanism = "EarlyOrders"
	// Succession lets a restarted lease holder order weight loads again without waiting
	// for the lease of its previous process to expire.
	Succession Mechanism = "Succession"
	// Moves continues texts on a faster engine.
	Moves Mechanism = "Moves"
	// Patience delays items of jobs that are not due soon, which leaves engines to more
	// urgent items.
	Patience Mechanism = "Patience"
	// Progress saves partial texts, so that another instance can resume them.
	Progress Mechanism = "Progress"
	// Avoidance keeps items away from engines that failed, were full or stopped
	// responding.
	Avoidance Mechanism = "Avoidance"
	// Detour sends log requests through other instances if the log is unreachable.
	Detour Mechanism = "Detour"
	// Resting prefers backend servers to which an idle connection is open.
	Resting Mechanism = "Resting"
	// Scaling requests spot engines for items that exceed the slots of regular engines.
	Scaling Mechanism = "Scaling"
)

var mechanisms = []Mechanism{Planning, EarlyOrders, Succession, Moves, Patience, Progress, Avoidance, Detour, Resting, Scaling}

// Kind classifies the errors of this package.
type Kind string

// Unknown means that a name is not a mechanism.
const Unknown Kind = "Unknown"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Set is a set of disabled mechanisms. The zero value disables none.
type Set struct {
	disabled []Mechanism
}

// Without returns the set that disables the named mechanisms, or an error of kind Unknown.
func Without(names ...string) (Set, error) {
	var s Set
	for _, name := range names {
		if !slices.Contains(mechanisms, Mechanism(name)) {
			err := fault.New("toggle.Without", Unknown, "unknown mechanism "+name)
			err.Do = "choose among " + strings.Join(Names(), ", ")
			return Set{}, err
		}
		s.disabled = append(s.disabled, Mechanism(name))
	}
	return s, nil
}

// Names returns the names of all mechanisms.
func Names() []string {
	names := make([]string, 0, len(mechanisms))
	for _, m := range mechanisms {
		names = append(names, string(m))
	}
	return names
}

// Enabled reports whether a mechanism is enabled.
func (s Set) Enabled(m Mechanism) bool { return !slices.Contains(s.disabled, m) }
