// Package plug is the registry that maps a name in the settings to an
// implementation. Implementations register themselves from their own files.
package plug

import (
	"slices"
	"strings"
	"sync"

	"croftmoor.dev/kernel/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Unknown means that no implementation has the name.
const Unknown Kind = "Unknown"

// Registry maps names to makers of T. The zero value is ready; entries are
// guarded by mu.
type Registry[T any] struct {
	mu        sync.RWMutex
	factories map[string]func() T
}

// Register adds a maker under name. It panics on a repeated name, since that
// is a mistake in the program.
func (r *Registry[T]) Register(name string, factory func() T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.factories[name]; ok {
		panic("plug: registered twice: " + name)
	}
	if r.factories == nil {
		r.factories = map[string]func() T{}
	}
	r.factories[name] = factory
}

// New makes the implementation registered under name.
func (r *Registry[T]) New(name string) (T, error) {
	r.mu.RLock()
	factory, ok := r.factories[name]
	r.mu.RUnlock()
	if !ok {
		var none T
		err := fault.New("plug.New", Unknown, "no implementation named "+name)
		err.Do = "use one of " + strings.Join(r.Names(), ", ")
		return none, err
	}
	return factory(), nil
}

// Names lists the registered names in order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	names := make([]string, 0, len(r.factories))
	for name := range r.factories {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
