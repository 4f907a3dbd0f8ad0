package avoid

import (
	"testing"

	"croftmoor.dev/kernel/clock"
)

func wantHas(t *testing.T, s *Set[string], key string, now clock.Millis, want bool) {
	t.Helper()
	if got := s.Has(key, now); got != want {
		t.Errorf("%s at %d: %v, want %v", key, now, got, want)
	}
}

func TestSet(t *testing.T) {
	t.Run("the zero value is empty", func(t *testing.T) {
		wantHas(t, &Set[string]{}, "a", 0, false)
	})
	t.Run("a key is held until its time", func(t *testing.T) {
		var s Set[string]
		s.Add("a", 10, 20)
		wantHas(t, &s, "a", 19, true)
		wantHas(t, &s, "a", 20, false)
	})
	t.Run("keys whose time is up take no memory", func(t *testing.T) {
		var s Set[int]
		for now := range clock.Millis(1000) {
			s.Add(int(now), now, now+5)
		}
		if s.Len() > 6 {
			t.Errorf("%d keys are held, want 6 at most", s.Len())
		}
	})
}
