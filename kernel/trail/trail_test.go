package trail

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"croftmoor.dev/kernel/clock"
)

// Guards against callers who have a line written for each of their connections.
func TestBoundedDecisions(t *testing.T) {
	const many = 1000
	var out bytes.Buffer
	manual := clock.NewManual(100 * clock.Second)
	tr := &Trail{Log: zerolog.New(&out), Clock: manual}
	for range many {
		tr.AddBounded(Decision{ID: "crowd", Action: Refuse, Choice: "413"})
	}
	wantLines(t, &out, boundedPerSecond)
	manual.Advance(clock.Second)
	tr.AddBounded(Decision{ID: "next", Action: Refuse, Choice: "413"})
	wantLines(t, &out, boundedPerSecond+1)
	if want := `"Unwritten":980`; !strings.Contains(out.String(), want) {
		t.Errorf("no line has %s", want)
	}
	tr.Add(Decision{ID: "other", Action: Refuse, Choice: "NotRun"})
	wantLines(t, &out, boundedPerSecond+2)
	if len(tr.Decisions("next")) != 1 {
		t.Error("a bounded decision is not kept in memory")
	}
}

func wantLines(t *testing.T, out *bytes.Buffer, want int) {
	t.Helper()
	if got := strings.Count(out.String(), "\n"); got != want {
		t.Errorf("%d lines, want %d", got, want)
	}
}
