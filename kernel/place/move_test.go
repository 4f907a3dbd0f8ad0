package place

import "testing"

func TestMove(t *testing.T) {
	policy, err := Policies.New(Longest)
	if err != nil {
		t.Fatal(err)
	}
	// The other engine is a third faster.
	slow := MoveCandidate{LastOfStep: true, TokensLeft: 100, Rate: 19, OtherRate: 25.6}
	for _, c := range []struct {
		name   string
		change func(*MoveCandidate)
		want   bool
	}{
		{"a long rest on an engine that is a third slower", func(*MoveCandidate) {}, true},
		{"a rest so short that the move takes what it saves", func(m *MoveCandidate) { m.TokensLeft = 20 }, false},
		{"an engine that is hardly faster", func(m *MoveCandidate) { m.OtherRate = 20.5 }, false},
		{"an engine that is slower", func(m *MoveCandidate) { m.OtherRate = 18 }, false},
		{"a step that still waits for other samples", func(m *MoveCandidate) { m.LastOfStep = false }, false},
		{"an answer that was moved often enough", func(m *MoveCandidate) { m.Moves = maxMoves }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			moving := slow
			c.change(&moving)
			if got := policy.ShouldMove(moving); got != c.want {
				t.Errorf("ShouldMove = %v, want %v", got, c.want)
			}
		})
	}
}
