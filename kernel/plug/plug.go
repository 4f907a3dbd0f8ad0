// Package plug is a registry that maps names in the settings to implementations. Each
// implementation registers itself from its own file.
package plug

import (
	"slices"
	"strings"
	"sync"

	"croftmoor.dev/kernel/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Unknown marks a name without an implementation.
const Unknown Kind = "Unknown"

// Registry maps names to factories of T. The zero value is ready to use. The mutex mu
// guards factories.
type Registry[T any] struct {
	mu        sync.RWMutex
	factories map[string]func() T
}

// Register adds a factory under name. It panics if the name is taken, which is a
// programming error.
func (r *Registry[T]) Register(name string, factory func() T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.factories[name]; ok {
		panic("plug: duplicate registration of " + name)
	}
	if r.factories == nil {
		r.factories = map[string]func() T{}
	}
	r.factories[name] = factory
}

// New returns a new instance of the implementation registered under name. An unknown
// name yields an Unknown error that lists the registered ones.
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

// Names returns the registered names in alphabetical order.
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
