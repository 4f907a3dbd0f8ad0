// Package avoid remembers what not to use for a while, such as instances that failed lately.
package avoid

import "croftmoor.dev/kernel/clock"

// Set holds keys until a time each. The zero value is empty. It is not safe for concurrent
// use.
type Set[K comparable] struct {
	until map[K]clock.Millis
}

// Add adds a key until a time, and drops the keys whose time is up.
func (s *Set[K]) Add(key K, now, until clock.Millis) {
	for other, end := range s.until {
		if end <= now {
			delete(s.until, other)
		}
	}
	if s.until == nil {
		s.until = map[K]clock.Millis{}
	}
	s.until[key] = until
}

// Has reports whether a key is in the set.
func (s *Set[K]) Has(key K, now clock.Millis) bool {
	end, known := s.until[key]
	return known && now < end
}

// Len returns the number of keys held, of which some may be over.
func (s *Set[K]) Len() int { return len(s.until) }
