package drive

import (
	"croftmoor.dev/croftfake/engine"
	"croftmoor.dev/kernel/steps"
)

// CountMislabelled counts the samples of which a token carries a version that no
// engine used for that token.
func CountMislabelled(labels map[string][]steps.Span, made map[string][]engine.TokenRun) int64 {
	var wrong int64
	for id, spans := range labels {
		if !labelled(spans, made[id]) {
			wrong++
		}
	}
	return wrong
}

func labelled(spans []steps.Span, made []engine.TokenRun) bool {
	index := 0
	for _, span := range spans {
		for range span.Tokens {
			if !madeWith(made, index, int64(span.Version)) {
				return false
			}
			index++
		}
	}
	return true
}

func madeWith(made []engine.TokenRun, index int, version int64) bool {
	for _, m := range made {
		if m.Version == version && index >= m.Index && index < m.Index+m.Tokens {
			return true
		}
	}
	return false
}

// CountRepeatedRuns counts the ids that were run more than once, and LiedNotRun those
// that were run although their caller was told "not run".
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
