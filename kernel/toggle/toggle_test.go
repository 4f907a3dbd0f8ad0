package toggle

import (
	"testing"

	"croftmoor.dev/kernel/fault"
)

func TestWithout(t *testing.T) {
	s, err := Without("Moves")
	if err != nil || s.On(Moves) || !s.On(Patience) || !(Set{}).On(Moves) {
		t.Errorf("moves %v, patience %v, by default %v, error %v", s.On(Moves), s.On(Patience), Set{}.On(Moves), err)
	}
	if _, err := Without("Moves", "Magic"); fault.KindOf[Kind](err) != Unknown {
		t.Errorf("error %v, want an unknown mechanism refused", err)
	}
	if _, err := Without(Names()...); err != nil {
		t.Error(err)
	}
}
