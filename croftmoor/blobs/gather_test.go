package blobs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/tail"
)

// fakeLog is a log of one stream with the records first to last, each of size bytes. A record
// begins with its offset.
type fakeLog struct {
	first, last ident.Offset
	size        int
	// hold, if set, blocks reads until it is closed. asked, if set, receives the offset of
	// each read.
	hold  chan struct{}
	asked chan ident.Offset
	fail  error

	mu    sync.Mutex
	reads int
}

func (l *fakeLog) record(offset ident.Offset) []byte {
	text := fmt.Sprintf("%d.", offset)
	return []byte(text + strings.Repeat("x", max(l.size-len(text), 0)))
}

// ReadSome returns the records from an offset on that fit, at least one.
func (l *fakeLog) ReadSome(ctx context.Context, _ ident.Stream, from ident.Offset, maxBytes int, _ clock.Millis) (tail.Batch, error) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	if l.asked != nil {
		l.asked <- from
	}
	if l.hold != nil {
		select {
		case <-l.hold:
		case <-ctx.Done():
			return tail.Batch{}, ctx.Err()
		}
	}
	if l.fail != nil {
		return tail.Batch{}, l.fail
	}
	batch := tail.Batch{First: l.first, Next: l.last + 1}
	bytes := 0
	for at := max(from, l.first); at <= l.last && (bytes == 0 || bytes+l.size <= maxBytes); at++ {
		batch.Records = append(batch.Records, tail.Record{Offset: at, Data: l.record(at)})
		bytes += l.size
	}
	return batch, nil
}

func newStore(log *fakeLog) *Store {
	return &Store{Reader: log, Clock: clock.New(), CacheBytes: 1 << 20}
}

// textsAt returns texts of one record each.
func textsAt(offsets ...ident.Offset) [][]jobs.Span {
	var texts [][]jobs.Span
	for _, offset := range offsets {
		texts = append(texts, []jobs.Span{{Stream: "texts.0", First: offset, Count: 1}})
	}
	return texts
}

// wantOffsets checks that texts are those at the wanted offsets, in order.
func wantOffsets(t *testing.T, texts []string, want ...ident.Offset) {
	t.Helper()
	var got []string
	for _, text := range texts {
		got = append(got, strings.SplitN(text, ".", 2)[0])
	}
	var wanted []string
	for _, offset := range want {
		wanted = append(wanted, fmt.Sprint(offset))
	}
	if !slices.Equal(got, wanted) {
		t.Errorf("texts at %v, want %v", got, wanted)
	}
}

const (
	noLimit = 1 << 20
	// shortTerm elapses during a test, longTerm does not.
	shortTerm = 20 * clock.Millis(1)
	longTerm  = 10 * clock.Second
)

func TestTexts(t *testing.T) {
	t.Run("come in the order in which they are asked for", func(t *testing.T) {
		log := &fakeLog{first: 1, last: 50, size: 100}
		texts, err := newStore(log).Texts(t.Context(), textsAt(30, 2, 17), noLimit, longTerm)
		if err != nil {
			t.Fatal(err)
		}
		wantOffsets(t, texts, 30, 2, 17)
	})
	t.Run("parts are joined by line feeds, records of a part by nothing", func(t *testing.T) {
		log := &fakeLog{first: 1, last: 9, size: 2}
		parts := []jobs.Span{{Stream: "texts.0", First: 1, Count: 2}, {Stream: "texts.0", First: 5, Count: 1}}
		texts, err := newStore(log).Texts(t.Context(), [][]jobs.Span{parts, nil}, noLimit, longTerm)
		if err != nil || !slices.Equal(texts, []string{"1.2.\n5.", ""}) {
			t.Errorf("%q, error %v", texts, err)
		}
	})
	t.Run("no more are read than fit", func(t *testing.T) {
		log := &fakeLog{first: 1, last: 4000, size: 1000}
		store := newStore(log)
		offsets := make([]ident.Offset, 0, 400)
		for n := range 400 {
			offsets = append(offsets, ident.Offset(1+10*n))
		}
		texts, err := store.Texts(t.Context(), textsAt(offsets...), 20_000, longTerm)
		if err != nil || len(texts) < 20 || len(texts) > 60 {
			t.Errorf("%d texts, error %v, want some 20", len(texts), err)
		}
	})
	t.Run("records larger than expected are read all the same", func(t *testing.T) {
		log := &fakeLog{first: 1, last: 30, size: 100_000}
		texts, err := newStore(log).Texts(t.Context(), textsAt(1, 2, 3, 30), noLimit, longTerm)
		if err != nil {
			t.Fatal(err)
		}
		wantOffsets(t, texts, 1, 2, 3, 30)
	})
	t.Run("one that the log has dropped ends those before it, and is no text if it is first", func(t *testing.T) {
		log := &fakeLog{first: 5, last: 30, size: 100}
		store := newStore(log)
		texts, err := store.Texts(t.Context(), textsAt(20, 2, 21), noLimit, longTerm)
		if err != nil {
			t.Fatal(err)
		}
		wantOffsets(t, texts, 20)
		if _, err := store.Texts(t.Context(), textsAt(2, 20), noLimit, longTerm); fault.KindOf[Kind](err) != Gone {
			t.Errorf("error %v, want Gone", err)
		}
	})
	t.Run("a log that fails is tried again, and then is unavailable", func(t *testing.T) {
		log := &fakeLog{fail: errors.New("busy")}
		_, err := newStore(log).Texts(t.Context(), textsAt(1), noLimit, longTerm)
		if fault.KindOf[Kind](err) != Unavailable || log.reads != textAttempts {
			t.Errorf("error %v after %d reads, want Unavailable after %d", err, log.reads, textAttempts)
		}
	})
}

func TestTextsInTime(t *testing.T) {
	t.Run("when the term is over, what is there is given", func(t *testing.T) {
		log := &fakeLog{first: 1, last: 900, size: 100}
		store := newStore(log)
		if _, err := store.Texts(t.Context(), textsAt(1), noLimit, longTerm); err != nil {
			t.Fatal(err)
		}
		log.hold = make(chan struct{})
		texts, err := store.Texts(t.Context(), textsAt(1, 800), noLimit, shortTerm)
		if err != nil {
			t.Fatal(err)
		}
		wantOffsets(t, texts, 1)
		close(log.hold)
	})
	t.Run("the first text is waited for beyond the term", func(t *testing.T) {
		log := &fakeLog{first: 1, last: 9, size: 100, hold: make(chan struct{})}
		var group conc.WaitGroup
		group.Go(func() {
			clock.New().Sleep(t.Context(), 3*shortTerm)
			close(log.hold)
		})
		texts, err := newStore(log).Texts(t.Context(), textsAt(1), noLimit, shortTerm)
		group.Wait()
		if err != nil {
			t.Fatal(err)
		}
		wantOffsets(t, texts, 1)
	})
	t.Run("what comes when its caller has left is there for the next one", func(t *testing.T) {
		log := &fakeLog{first: 1, last: 9, size: 100, hold: make(chan struct{}), asked: make(chan ident.Offset, 9)}
		store := newStore(log)
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		group.Go(func() {
			if _, err := store.Texts(ctx, textsAt(1), noLimit, longTerm); fault.KindOf[Kind](err) != Unavailable {
				t.Errorf("error %v, want Unavailable", err)
			}
		})
		<-log.asked
		cancel()
		group.Wait()
		close(log.hold)
		store.group.Wait()
		if _, err := store.Texts(t.Context(), textsAt(1), noLimit, longTerm); err != nil || log.reads != 1 {
			t.Errorf("error %v after %d reads, want one", err, log.reads)
		}
	})
}

func TestReadsAreShared(t *testing.T) {
	log := &fakeLog{first: 1, last: 9, size: 100, hold: make(chan struct{}), asked: make(chan ident.Offset, 9)}
	store := newStore(log)
	var group conc.WaitGroup
	for range 20 {
		group.Go(func() {
			if _, err := store.Texts(t.Context(), textsAt(1, 2), noLimit, longTerm); err != nil {
				t.Error(err)
			}
		})
	}
	<-log.asked
	close(log.hold)
	group.Wait()
	if log.reads != 1 {
		t.Errorf("%d reads for 20 callers, want one", log.reads)
	}
}

func TestExtentFor(t *testing.T) {
	const record = 1000
	cases := []struct {
		name   string
		offset ident.Offset
		others []ident.Offset
		bytes  int
		wanted []ident.Offset
	}{
		{"a single record", 7, nil, minReadBytes, []ident.Offset{7}},
		{"with those behind it, not with those before it", 7, []ident.Offset{3, 30, 19}, 26_400, []ident.Offset{7, 19, 30}},
		{"not across a wide gap", 1, []ident.Offset{2, 100}, minReadBytes, []ident.Offset{1, 2}},
		{"not beyond the bound of a read", 1, []ident.Offset{12, 24, 33, 41}, 26_400, []ident.Offset{1, 12, 24}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := extentFor(tc.offset, tc.others, record, 32*record)
			if got.first != tc.offset || got.bytes != tc.bytes || !slices.Equal(got.offsets, tc.wanted) {
				t.Errorf("%+v, want %d bytes for %v", got, tc.bytes, tc.wanted)
			}
		})
	}
}

// panickingLog is a log whose first read panics.
type panickingLog struct {
	fakeLog
	panicked sync.Once
}

func (p *panickingLog) ReadSome(ctx context.Context, stream ident.Stream, from ident.Offset, maxBytes int, wait clock.Millis) (tail.Batch, error) {
	p.panicked.Do(func() { panic("a defect") })
	return p.fakeLog.ReadSome(ctx, stream, from, maxBytes, wait)
}

func TestReadThatPanics(t *testing.T) {
	log := &panickingLog{fakeLog: fakeLog{first: 1, last: 9, size: 100}}
	store := &Store{Reader: log, Clock: clock.New(), CacheBytes: 1 << 20}
	t.Run("its records can be read again", func(t *testing.T) {
		texts, err := store.Texts(t.Context(), textsAt(1), noLimit, longTerm)
		if err != nil {
			t.Fatal(err)
		}
		wantOffsets(t, texts, 1)
	})
	t.Run("it is told at the stop", func(t *testing.T) {
		defer func() {
			if recover() == nil {
				t.Error("the panic was lost")
			}
		}()
		store.Stop()
	})
}

func TestLogThatRefusesIsNotAskedAtOnce(t *testing.T) {
	log := &fakeLog{fail: errors.New("busy")}
	store := newStore(log)
	start := store.Clock.Mono()
	_, err := store.Texts(t.Context(), textsAt(1), noLimit, longTerm)
	if elapsed := store.Clock.Mono() - start; fault.KindOf[Kind](err) != Unavailable || elapsed < clock.Second {
		t.Errorf("error %v after %d ms, want Unavailable after a second and more", err, elapsed)
	}
}

func TestFirstTextIsGivenWhateverItsSize(t *testing.T) {
	log := &fakeLog{first: 1, last: 9, size: 1000}
	store := newStore(log)
	long := [][]jobs.Span{{{Stream: "texts.0", First: 1, Count: 4}}, {{Stream: "texts.0", First: 5, Count: 1}}}
	for _, name := range []string{"from the log", "from memory"} {
		t.Run(name, func(t *testing.T) {
			const most = 2500
			texts, err := store.Texts(t.Context(), long, most, longTerm)
			if err != nil || len(texts) == 0 || len(texts[0]) != 4*log.size {
				t.Errorf("%d texts, error %v, want the first one", len(texts), err)
			}
		})
	}
}

func TestSilentStreamKeepsNoOtherOut(t *testing.T) {
	silent := &fakeLog{hold: make(chan struct{})}
	healthy := &fakeLog{first: 1, last: 99, size: 100}
	store := &Store{Reader: twoStreams{silent: silent, healthy: healthy}, Clock: clock.New(), CacheBytes: 1 << 20}
	ctx, cancel := context.WithTimeout(t.Context(), (3 * clock.Second).Duration())
	defer cancel()
	var group conc.WaitGroup
	for n := range 8 {
		group.Go(func() {
			_, _ = store.Texts(ctx, [][]jobs.Span{{{Stream: "silent.0", First: ident.Offset(1 + 100*n), Count: 1}}}, noLimit, shortTerm)
		})
	}
	store.Clock.Sleep(ctx, 100)
	for n := range 5 {
		start := store.Clock.Mono()
		_, err := store.Get(ctx, jobs.Span{Stream: "texts.0", First: ident.Offset(1 + n), Count: 1})
		if elapsed := store.Clock.Mono() - start; err != nil || elapsed > clock.Second {
			t.Errorf("error %v after %d ms, want the blob within a second", err, elapsed)
		}
	}
	cancel()
	close(silent.hold)
	group.Wait()
}

// twoStreams is a log with a stream that does not answer and a healthy one.
type twoStreams struct{ silent, healthy *fakeLog }

func (l twoStreams) ReadSome(ctx context.Context, name ident.Stream, from ident.Offset, maxBytes int, wait clock.Millis) (tail.Batch, error) {
	if name == "silent.0" {
		return l.silent.ReadSome(ctx, name, from, maxBytes, wait)
	}
	return l.healthy.ReadSome(ctx, name, from, maxBytes, wait)
}

func TestNothingBeginsAfterTheStop(t *testing.T) {
	log := &fakeLog{first: 1, last: 99, size: 100}
	store := newStore(log)
	var group conc.WaitGroup
	for n := range 50 {
		group.Go(func() {
			_, _ = store.Get(t.Context(), jobs.Span{Stream: "texts.0", First: ident.Offset(1 + n), Count: 1})
		})
	}
	store.Stop()
	group.Wait()
	log.mu.Lock()
	reads := log.reads
	log.mu.Unlock()
	if _, err := store.Get(t.Context(), jobs.Span{Stream: "other.0", First: 1, Count: 1}); fault.KindOf[Kind](err) != Unavailable || log.reads != reads {
		t.Errorf("error %v, %d reads more, want Unavailable and none", err, log.reads-reads)
	}
}

func TestPauseEndsWithTheTerm(t *testing.T) {
	log := &fakeLog{first: 1, last: 900, size: 100}
	store := newStore(log)
	if _, err := store.Texts(t.Context(), textsAt(1), noLimit, longTerm); err != nil {
		t.Fatal(err)
	}
	log.fail = errors.New("busy")
	const term = 200 * clock.Millis(1)
	start := store.Clock.Mono()
	texts, err := store.Texts(t.Context(), textsAt(1, 800), noLimit, term)
	if elapsed := store.Clock.Mono() - start; err != nil || len(texts) != 1 || elapsed > term+100 {
		t.Errorf("%d texts after %d ms, error %v, want one after %d", len(texts), elapsed, err, term)
	}
}
