package toggle

import (
	"testing"

	"croftmoor.dev/kernel/fault"
)

func TestWithout(t *testing.T) {
	s, err := Without("Moves")
	if err != nil || s.Enabled(Moves) || !s.Enabled(Patience) || !(Set{}).Enabled(Moves) {
		t.Errorf("Moves enabled: %v, Patience: %v, Moves by default: %v, error %v", s.Enabled(Moves), s.Enabled(Patience), Set{}.Enabled(Moves), err)
	}
	if _, err := Without("Moves", "Magic"); fault.KindOf[Kind](err) != Unknown {
		t.Errorf("error %v, want kind Unknown", err)
	}
	if _, err := Without(Names()...); err != nil {
		t.Error(err)
	}
}
