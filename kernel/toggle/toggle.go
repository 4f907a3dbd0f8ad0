// Package toggle names the mechanisms that can be switched off one by one, to
// measure what each is worth; docs/POLICY.md has the table. In service all are on.
package toggle

import (
	"slices"
	"strings"

	"croftmoor.dev/kernel/fault"
)

// Mechanism is one that can be switched off.
type Mechanism string

// Mechanisms.
const (
	// Planning orders the loads that steps gain most from; without it, engines that
	// are furthest behind load first.
	Planning Mechanism = "Planning"
	// EarlyOrders orders the next load before the engine tells that the last ended.
	EarlyOrders Mechanism = "EarlyOrders"
	// Succession lets a new life of the last holder order versions at once.
	Succession Mechanism = "Succession"
	// Moves go on with a text at a faster engine.
	Moves Mechanism = "Moves"
	// Patience has items that have time leave engines room.
	Patience Mechanism = "Patience"
	// Progress keeps the beginnings of texts while the rest is made.
	Progress Mechanism = "Progress"
	// Avoidance keeps items from engines that failed, were full or went silent.
	Avoidance Mechanism = "Avoidance"
	// Detour reaches the log through other instances.
	Detour Mechanism = "Detour"
	// Resting prefers servers to which an idle connection is open.
	Resting Mechanism = "Resting"
	// Scaling orders spot engines for what regular ones have no slots for.
	Scaling Mechanism = "Scaling"
)

var mechanisms = []Mechanism{Planning, EarlyOrders, Succession, Moves, Patience, Progress, Avoidance, Detour, Resting, Scaling}

// Kind classifies the errors of this package.
type Kind string

// Unknown means that there is no such mechanism.
const Unknown Kind = "Unknown"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Set is the mechanisms that are switched off; the zero value has none.
type Set struct {
	disabled []Mechanism
}

// Without returns a set of the named mechanisms; it refuses unknown names.
func Without(names ...string) (Set, error) {
	var s Set
	for _, name := range names {
		if !slices.Contains(mechanisms, Mechanism(name)) {
			err := fault.New("toggle.Without", Unknown, "no mechanism "+name)
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

// Enabled tells whether a mechanism is in use.
func (s Set) Enabled(m Mechanism) bool { return !slices.Contains(s.disabled, m) }
