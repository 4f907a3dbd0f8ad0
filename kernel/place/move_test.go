package place

import "testing"

func TestMove(t *testing.T) {
	policy, err := Policies.New(Longest)
	if err != nil {
		t.Fatal(err)
	}
	// An engine a third slower than the median of the users' deployments: 52 ms an
	// event in place of 39.
	slow := Moving{Last: true, Left: 100, Rate: 19, Other: 25.6}
	for _, c := range []struct {
		name   string
		change func(*Moving)
		want   bool
	}{
		{"a long rest on an engine that is a third slower", func(*Moving) {}, true},
		{"a rest so short that the move takes what it saves", func(m *Moving) { m.Left = 20 }, false},
		{"an engine that is hardly faster", func(m *Moving) { m.Other = 20.5 }, false},
		{"an engine that is slower", func(m *Moving) { m.Other = 18 }, false},
		{"a step that still waits for other samples", func(m *Moving) { m.Last = false }, false},
		{"an answer that was moved often enough", func(m *Moving) { m.Moves = maxMoves }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			moving := slow
			c.change(&moving)
			if got := policy.Move(moving); got != c.want {
				t.Errorf("moves: %v, want %v", got, c.want)
			}
		})
	}
}
