package drive

import (
	"croftmoor.dev/croftfake/engine"
	"croftmoor.dev/kernel/steps"
)

// CountMislabelled counts the samples with a token whose version label is not a
// version that an engine generated that token with.
func CountMislabelled(labels map[string][]steps.Span, made map[string][]engine.TokenRun) int64 {
	var wrong int64
	for id, spans := range labels {
		if !correctlyLabelled(spans, made[id]) {
			wrong++
		}
	}
	return wrong
}

// correctlyLabelled reports whether each token of a sample was generated with the
// version in its label.
func correctlyLabelled(spans []steps.Span, made []engine.TokenRun) bool {
	index := 0
	for _, span := range spans {
		for range span.Tokens {
			if !generatedWith(made, index, int64(span.Version)) {
				return false
			}
			index++
		}
	}
	return true
}

// generatedWith reports whether the token at index was generated with the version.
func generatedWith(made []engine.TokenRun, index int, version int64) bool {
	for _, m := range made {
		if m.Version == version && index >= m.Index && index < m.Index+m.Tokens {
			return true
		}
	}
	return false
}

// CountRepeatedRuns counts the request IDs that were run more than once, and those
// that were run although their caller was told that they were not.
func CountRepeatedRuns(runs map[string]int, outcomes map[string]Outcome) (doubled, liedNotRun int64) {
	for id, n := range runs {
		if n > 1 {
			doubled++
		}
		if n > 0 && outcomes[id] == NotRun {
			liedNotRun++
		}
	}
	return doubled, liedNotRun
}
