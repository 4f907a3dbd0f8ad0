package once

import (
	"strconv"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/views"
)

func BenchmarkClaimAndSettle(b *testing.B) {
	s := &Shard{Self: "a", RepeatWindow: clock.Minute}
	s.ApplyView(views.View{Epoch: 1, Primary: "a"}, 0)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		id := ident.RequestID(strconv.Itoa(n))
		_, op, err := s.Claim(Request{ID: id, Runner: "a", Attempt: 1}, 1, grants)
		if err != nil || s.Confirm(op) != nil {
			b.Fatal("not granted")
		}
		s.Settle(Settlement{ID: id, Runner: "a", Attempt: 1, Outcome: Ran})
	}
}
