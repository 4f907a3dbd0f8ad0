package steps

import (
	"fmt"
	"testing"

	"croftmoor.dev/kernel/ident"
)

func bigSpec() Spec {
	s := Spec{Trainer: "t", Step: 1, GroupSize: 4, MaxTokens: 1024, StalenessBound: 2}
	for i := range 1024 {
		s.Prompts = append(s.Prompts, fmt.Sprintf("family-%d|prompt %d", i%32, i))
	}
	return s
}

func BenchmarkStepOf4096(b *testing.B) {
	spec := bigSpec()
	b.ReportAllocs()
	for b.Loop() {
		l := New(spec, Set{}, func(p string) ident.Tokens { return ident.Tokens(len(p)) }, byLength(b))
		var have Set
		for {
			a, ok := l.Next()
			if !ok {
				break
			}
			l.Fill(a, sampleOf(a, 1))
		}
		for !l.Complete() {
			for _, s := range l.HandOver(have, 1, 256) {
				have.Add(s.Slot)
			}
			l.HandOver(have, 1, 0)
		}
	}
}
