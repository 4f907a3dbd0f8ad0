package tail

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// fakeLog applies each ticket once. It can refuse an append, or lose its call or its response.
type fakeLog struct {
	mu      sync.Mutex
	records []string
	answers map[Ticket]ident.Offset
	calls   int
	// failureOf returns the failure of the nth call.
	failureOf func(call int) failure
}

type failure int

const (
	noFailure failure = iota
	refused
	answerLost
	callLost
)

func (l *fakeLog) AppendOnce(_ context.Context, _ ident.Stream, ticket Ticket, records [][]byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	f := l.failureOf(l.calls)
	if f == refused {
		return 0, fault.New("fake", Refused, "busy")
	}
	if f == callLost {
		return 0, fault.New("fake", Unknown, "lost on the way")
	}
	first, done := l.answers[ticket]
	if !done {
		first = ident.Offset(len(l.records) + 1)
		for _, r := range records {
			l.records = append(l.records, string(r))
		}
		l.answers[ticket] = first
	}
	if f == answerLost {
		return 0, fault.New("fake", Unknown, "answer lost")
	}
	return first, nil
}

func (l *fakeLog) at(offset ident.Offset) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[offset-1]
}

func runWriter(t *testing.T, log *fakeLog) *Writer {
	t.Helper()
	log.answers = map[Ticket]ident.Offset{}
	w := &Writer{Log: log, Clock: clock.New(), Producer: "p", MaxBytes: 1000}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	for w.queueOf("s") == nil {
		time.Sleep(time.Millisecond)
	}
	return w
}

// writeMany appends from several goroutines and checks that each record is stored once, at the
// offset that its writer got.
func writeMany(t *testing.T, w *Writer, log *fakeLog) {
	t.Helper()
	const writers = 20
	var group conc.WaitGroup
	for i := range writers {
		group.Go(func() {
			a, b := "a"+string(rune('A'+i)), "b"+string(rune('A'+i))
			first, err := w.Write(t.Context(), "s", []byte(a), []byte(b))
			if err != nil || log.at(first) != a || log.at(first+1) != b {
				t.Errorf("writer %d: offset %d, error %v", i, first, err)
			}
		})
	}
	group.Wait()
	if n := len(log.records); n != 2*writers {
		t.Errorf("%d records, want %d", n, 2*writers)
	}
}

func TestWriter(t *testing.T) {
	failures := map[string]func(int) failure{
		"a log that works":                    func(int) failure { return noFailure },
		"answers that are lost":               func(n int) failure { return map[bool]failure{true: answerLost, false: noFailure}[n%2 == 1] },
		"calls that are lost":                 func(n int) failure { return map[bool]failure{true: callLost, false: noFailure}[n%2 == 1] },
		"refusals":                            func(n int) failure { return map[bool]failure{true: refused, false: noFailure}[n%2 == 1] },
		"a lost answer, a refusal, a success": func(n int) failure { return []failure{noFailure, answerLost, refused}[n%3] },
	}
	for name, failureOf := range failures {
		t.Run(name, func(t *testing.T) {
			log := &fakeLog{failureOf: failureOf}
			writeMany(t, runWriter(t, log), log)
		})
	}
}

func writeBriefly(t *testing.T, w *Writer) Kind {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := w.Write(ctx, "s", []byte("x"))
	return fault.KindOf[Kind](err)
}

func TestWriterGivesUp(t *testing.T) {
	t.Run("refused means that the log never gets it", func(t *testing.T) {
		log := &fakeLog{failureOf: func(n int) failure { return map[bool]failure{true: refused, false: noFailure}[n < 8] }}
		w := runWriter(t, log)
		if kind := writeBriefly(t, w); kind != Refused {
			t.Fatalf("kind %q, want Refused", kind)
		}
		if _, err := w.Write(t.Context(), "s", []byte("y")); err != nil {
			t.Fatal(err)
		}
		if len(log.records) != 1 || log.records[0] != "y" {
			t.Errorf("records %v: a record reported as refused was appended", log.records)
		}
	})
	t.Run("without a word it may have", func(t *testing.T) {
		log := &fakeLog{failureOf: func(int) failure { return answerLost }}
		if kind := writeBriefly(t, runWriter(t, log)); kind != Unknown {
			t.Errorf("kind %q, want Unknown", kind)
		}
	})
}

// Guards against retries without a delay to a log that resets each connection at once.
func TestResetAppendsPause(t *testing.T) {
	log := &fakeLog{failureOf: func(int) failure { return callLost }}
	w := runWriter(t, log)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err := w.Write(ctx, "s", []byte("a"))
	if kind := fault.KindOf[Kind](err); kind != Unknown {
		t.Errorf("error %v, want Unknown", err)
	}
	const most = 8
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.calls > most {
		t.Errorf("%d calls in half a second, want %d at most", log.calls, most)
	}
}
