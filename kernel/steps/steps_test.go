package steps

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/place"
)

// Fixes the seed in CI; local runs draw new histories each time.
func init() {
	if os.Getenv("CI") != "" {
		_ = flag.Set("rapid.seed", "20261202")
	}
}

func spec() Spec {
	return Spec{Trainer: "t", Step: 1, Prompts: []string{"p", "q"}, GroupSize: 2, MaxTokens: 10, StalenessBound: 1}
}

func zeroLength(string) ident.Tokens { return 0 }

func byLength(t interface{ Fatal(...any) }) place.Policy {
	policy, err := place.Policies.New(place.Longest)
	if err != nil {
		t.Fatal(err)
	}
	return policy
}

func sampleOf(a Attempt, version ident.Version) *Sample {
	return &Sample{ID: "s", Slot: a.Slot, Spans: []Span{{Version: version, Tokens: 5}}}
}

// trainerModel is a trainer and two owners of the same step, one of them outdated: pulls
// go to either, responses are lost, and versions are published.
type trainerModel struct {
	owners   []*Tracker
	attempts [][]Attempt
	have     Set
	received map[ident.Slot]int
	version  ident.Version
}

func (m *trainerModel) owner(t *rapid.T) int {
	return rapid.IntRange(0, len(m.owners)-1).Draw(t, "owner")
}

func (m *trainerModel) start(t *rapid.T) {
	o := m.owner(t)
	if a, ok := m.owners[o].Next(); ok {
		m.attempts[o] = append(m.attempts[o], a)
	}
}

func (m *trainerModel) fill(t *rapid.T) {
	o := m.owner(t)
	if len(m.attempts[o]) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.attempts[o])-1).Draw(t, "attempt")
	version := ident.Version(rapid.IntRange(1, int(m.version)).Draw(t, "version"))
	// An attempt may finish twice, as after a late response.
	m.owners[o].Fill(m.attempts[o][i], sampleOf(m.attempts[o][i], version))
}

func (m *trainerModel) fail(t *rapid.T) {
	o := m.owner(t)
	if n := len(m.attempts[o]); n > 0 {
		m.owners[o].Fail(m.attempts[o][n-1])
	}
}

func (m *trainerModel) publish(*rapid.T) { m.version++ }

func (m *trainerModel) pull(t *rapid.T) {
	samples := m.owners[m.owner(t)].HandOver(m.have, m.version, rapid.IntRange(1, 4).Draw(t, "most"))
	if rapid.Bool().Draw(t, "answer lost") {
		return
	}
	for _, s := range samples {
		m.received[s.Slot]++
		m.have.Add(s.Slot)
		if m.version-s.Oldest() > 1 {
			t.Fatalf("slot %d was handed over %d versions behind", s.Slot, m.version-s.Oldest())
		}
	}
}

func (m *trainerModel) check(t *rapid.T) {
	for slot, n := range m.received {
		if n > 1 {
			t.Fatalf("slot %d was handed over %d times", slot, n)
		}
	}
	for _, l := range m.owners {
		missing, running, ready, held := l.Counts()
		if missing < 0 || running < 0 || ready < 0 || missing+running+ready+held != l.Spec.Slots() {
			t.Fatalf("counts do not add up to the number of slots: missing %d, running %d, ready %d, held %d", missing, running, ready, held)
		}
	}
}

func TestEachSlotIsHandedOverOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &trainerModel{received: map[ident.Slot]int{}, version: 1, attempts: make([][]Attempt, 2)}
		m.owners = []*Tracker{New(spec(), Set{}, zeroLength, byLength(t)), New(spec(), Set{}, zeroLength, byLength(t))}
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "fill": m.fill, "fail": m.fail, "publish": m.publish, "pull": m.pull, "": m.check,
		})
	})
}

func TestLedger(t *testing.T) {
	t.Run("the slots expected longest start first", func(t *testing.T) {
		l := New(spec(), Set{}, func(p string) ident.Tokens {
			if p == "q" {
				return 9
			}
			return 1
		}, byLength(t))
		if a, _ := l.Next(); a.Prompt != "q" {
			t.Fatalf("started %q first", a.Prompt)
		}
	})
	t.Run("an attempt that gets too old is given up early", func(t *testing.T) {
		l := New(spec(), Set{}, zeroLength, byLength(t))
		a, _ := l.Next()
		if !l.RecordProgress(a, 3, 1) {
			t.Fatal("attempt cancelled within the staleness bound")
		}
		l.ObserveVersion(3)
		if l.RecordProgress(a, 4, 1) || l.Waste.Stale == 0 {
			t.Fatal("attempt kept beyond the staleness bound, or its tokens not counted as waste")
		}
	})
	t.Run("what was handed over is not made again until the trainer lacks it", func(t *testing.T) {
		l := New(spec(), Set{}, zeroLength, byLength(t))
		a, _ := l.Next()
		l.Fill(a, sampleOf(a, 1))
		l.HandOver(Set{}, 1, 4)
		l.ObserveVersion(9)
		if missing := l.Missing(); missing != 3 {
			t.Fatalf("%d slots missing, want 3: a sample that the trainer may hold must not be generated again", missing)
		}
		l.HandOver(Set{}, 9, 4)
		if missing := l.Missing(); missing != 4 {
			t.Fatalf("%d slots missing, want 4: a stale sample that the trainer lacks must be dropped", missing)
		}
	})
	t.Run("version 0 is a version", func(t *testing.T) {
		l := New(spec(), Set{}, zeroLength, byLength(t))
		l.ObserveVersion(2)
		a, _ := l.Next()
		if l.Fill(a, sampleOf(a, 0)) {
			t.Fatal("a sample of version 0 was accepted beyond the staleness bound")
		}
	})
	t.Run("a next owner gets what is ready and held", func(t *testing.T) {
		l := New(spec(), Set{}, zeroLength, byLength(t))
		a, _ := l.Next()
		l.Fill(a, sampleOf(a, 1))
		var have Set
		have.Add(3)
		l.HandOver(have, 1, 0)
		held, ready := l.Export()
		next := New(spec(), held, zeroLength, byLength(t))
		for _, s := range ready {
			next.ImportSample(s)
		}
		if _, _, r, h := next.Counts(); r != 1 || h != 1 {
			t.Fatalf("ready %d, held %d, want 1 each", r, h)
		}
	})
}
