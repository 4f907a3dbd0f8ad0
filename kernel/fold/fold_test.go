package fold

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
	"croftmoor.dev/kernel/views"
)

// In CI, rapid uses a fixed seed; elsewhere every run draws new histories.
func init() {
	if os.Getenv("CI") != "" {
		_ = flag.Set("rapid.seed", "20261202")
	}
}

// logModel is a log with expiring records, and readers that start late, miss records, or
// adopt a state from a peer. Invariants: all readers agree at each offset, and the
// revision of no reader decreases.
type logModel struct {
	records []tail.Record
	first   ident.Offset
	readers []*Reader
	seen    []ident.Revision
}

func newLogModel() *logModel {
	return &logModel{first: 1, readers: []*Reader{{}}, seen: []ident.Revision{0}}
}

func (m *logModel) next() ident.Offset {
	return m.first + ident.Offset(len(m.records))
}

func (m *logModel) append(data []byte) {
	m.records = append(m.records, tail.Record{Offset: m.next(), At: clock.Millis(m.next()), Data: data})
}

func (m *logModel) change(t *rapid.T) {
	reader := m.readers[rapid.IntRange(0, len(m.readers)-1).Draw(t, "operator's instance")]
	state := reader.Current()
	if state == nil {
		return
	}
	n := rapid.IntRange(1, 9).Draw(t, "rate")
	text := fmt.Sprintf(`{"Team":"t","Limits":[{"Class":"c","Rate":%d}]}`, n)
	data, err := ChangeRecord(conf.Change{
		ID: ident.RecordID(fmt.Sprint(m.next())), Team: "t", Base: state.Conf.Teams["t"].Revision, Text: []byte(text),
	})
	if err != nil {
		t.Fatal(err)
	}
	m.append(data)
	if rapid.Bool().Draw(t, "appended twice") {
		m.append(data)
	}
}

func (m *logModel) view(t *rapid.T) {
	data, err := ViewsRecord([]views.Proposal{{Shard: 1, Base: ident.Offset(rapid.IntRange(0, 5).Draw(t, "base")), Primary: "a"}})
	if err != nil {
		t.Fatal(err)
	}
	m.append(data)
}

func (m *logModel) checkpoint(t *rapid.T) {
	state := m.readers[rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader")].Current()
	if state == nil {
		return
	}
	data, err := CheckpointRecord(state)
	if err != nil {
		t.Fatal(err)
	}
	m.append(data)
}

func (m *logModel) read(t *rapid.T) {
	r := m.readers[rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader")]
	from := m.first
	if s := r.Current(); s != nil {
		from = max(from, s.UpTo+1)
	}
	records := m.records[from-m.first:]
	records = records[:rapid.IntRange(0, len(records)).Draw(t, "read")]
	r.Apply(tail.Batch{First: m.first, Next: m.next(), Records: records})
}

// expire drops records, but only those that a checkpoint covers.
func (m *logModel) expire(*rapid.T) {
	for i := len(m.records) - 1; i >= 0; i-- {
		base, ok := decodeCheckpoint(m.records[i])
		if !ok || base.UpTo < m.first {
			continue
		}
		cut := base.UpTo + 1 - m.first
		m.records = m.records[cut:]
		m.first += cut
		return
	}
}

func (m *logModel) join(*rapid.T) {
	if len(m.readers) < 4 {
		m.readers = append(m.readers, &Reader{})
		m.seen = append(m.seen, 0)
	}
}

func (m *logModel) adopt(t *rapid.T) {
	from := m.readers[rapid.IntRange(0, len(m.readers)-1).Draw(t, "from")].Current()
	if from != nil {
		m.readers[rapid.IntRange(0, len(m.readers)-1).Draw(t, "to")].Adopt(from)
	}
}

func (m *logModel) check(t *rapid.T) {
	byOffset := map[ident.Offset]string{}
	for i, r := range m.readers {
		s := r.Current()
		if s == nil {
			continue
		}
		revision := s.Conf.Revision()
		if revision < m.seen[i] {
			t.Fatalf("reader %d went back from revision %d to %d", i, m.seen[i], revision)
		}
		m.seen[i] = revision
		data, err := EncodeState(s)
		if err != nil {
			t.Fatal(err)
		}
		if other, ok := byOffset[s.UpTo]; ok && other != string(data) {
			t.Fatalf("two states at offset %d:\n%s\n%s", s.UpTo, other, data)
		}
		byOffset[s.UpTo] = string(data)
	}
}

func TestReadersAgreeAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLogModel()
		t.Repeat(map[string]func(*rapid.T){
			"change": m.change, "view": m.view, "checkpoint": m.checkpoint, "read": m.read,
			"expire": m.expire, "join": m.join, "adopt": m.adopt, "": m.check,
		})
	})
}

func FuzzDecodeState(f *testing.F) {
	data, err := EncodeState(newState())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"UpTo":3,"Conf":{"Teams":[{"Team":"t","Text":{}}]},"Views":[]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodeState(data)
		(&Reader{}).Apply(tail.Batch{First: 1, Next: 2, Records: []tail.Record{{Offset: 1, Data: data}}})
	})
}
