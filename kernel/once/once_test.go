package once

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/views"
)

// In CI, rapid uses a fixed seed; elsewhere every run draws new histories.
func init() {
	if os.Getenv("CI") != "" {
		_ = flag.Set("rapid.seed", "20261202")
	}
}

// shardModel runs one shard at three instances, with lost and delayed messages and views
// that instances learn late. Invariant: no id is granted twice.
type shardModel struct {
	names    []ident.InstanceName
	shards   map[ident.InstanceName]*Shard
	log      views.State
	offset   ident.Offset
	records  []pendingRecord
	runs     map[ident.RequestID]int
	attempts int64
	now      clock.Millis
}

// pendingRecord is a claim whose Op is in flight to the backup.
type pendingRecord struct {
	primary ident.InstanceName
	backup  ident.InstanceName
	op      Op
}

const modelWindow = 10 * clock.Minute

func newShardModel() *shardModel {
	m := &shardModel{
		names: []ident.InstanceName{"a", "b", "c"}, shards: map[ident.InstanceName]*Shard{},
		runs: map[ident.RequestID]int{}, now: clock.Minute,
	}
	for _, name := range m.names {
		m.shards[name] = &Shard{Self: name, RepeatWindow: modelWindow}
	}
	return m
}

func (m *shardModel) drawInstance(t *rapid.T) ident.InstanceName {
	return rapid.SampledFrom(m.names).Draw(t, "instance")
}

// drawShard draws an instance for which the condition holds, or returns nil.
func (m *shardModel) drawShard(t *rapid.T, condition func(*Shard) bool) *Shard {
	var fit []*Shard
	for _, name := range m.names {
		if condition(m.shards[name]) {
			fit = append(fit, m.shards[name])
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return rapid.SampledFrom(fit).Draw(t, "shard")
}

func isPrimary(s *Shard) bool { return s.View().Primary == s.Self }

// propose draws a view that the policy allows: based on the proposer's own view, and only
// from an instance that holds the state.
func (m *shardModel) propose(t *rapid.T) {
	s := m.drawShard(t, func(s *Shard) bool { return s.View().Epoch == 0 || s.HasState() })
	if s == nil {
		return
	}
	self, view := s.Self, s.View()
	p := views.Proposal{Base: view.Epoch, Primary: self, Backup: m.drawInstance(t)}
	swap := view.Primary == self && s.Synced() && view.Backup != "" && rapid.Bool().Draw(t, "swap")
	switch {
	case view.Epoch == 0:
	case swap:
		p.Primary, p.Backup = view.Backup, self
	case !s.HasState():
		return
	}
	m.append(p)
}

func (m *shardModel) append(p views.Proposal) {
	m.offset++
	m.log.Apply([]views.Proposal{p}, m.offset, m.now)
}

// learn applies the newest view at one instance.
func (m *shardModel) learn(t *rapid.T) {
	m.shards[m.drawInstance(t)].ApplyView(m.log.Views[0], m.now)
}

func (m *shardModel) install(t *rapid.T) {
	primary := m.drawShard(t, (*Shard).NeedsInstall)
	if primary == nil {
		return
	}
	snapshot := primary.Snapshot(0)
	backup := m.shards[primary.View().Backup]
	if backup.Install(snapshot, primary.Self) == nil && rapid.Bool().Draw(t, "acknowledged") {
		primary.ConfirmInstall(snapshot.Epoch)
	}
}

func (m *shardModel) claim(t *rapid.T) {
	id := ident.RequestID(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "id"))
	primary := m.drawShard(t, isPrimary)
	if primary == nil {
		return
	}
	m.attempts++
	request := Request{ID: id, Runner: "runner", Attempt: m.attempts}
	entry, op, err := primary.Claim(request, m.now, func(bool) string { return "" })
	if err != nil || entry.Status != Pending {
		return
	}
	if primary.View().Backup == "" {
		m.confirm(primary, op)
		return
	}
	m.records = append(m.records, pendingRecord{primary: primary.Self, backup: primary.View().Backup, op: op})
}

func (m *shardModel) confirm(primary *Shard, op Op) {
	if primary.Confirm(op) != nil {
		primary.Abort(op)
		return
	}
	m.runs[op.Entry.ID]++
}

// deliver ends one pending record: the Op may not arrive, and its acknowledgement may be
// lost.
func (m *shardModel) deliver(t *rapid.T) {
	if len(m.records) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.records)-1).Draw(t, "record")
	r := m.records[i]
	m.records = slices.Delete(m.records, i, i+1)
	primary := m.shards[r.primary]
	var err error = &Error{Kind: NotReady}
	if b, ok := m.shards[r.backup]; ok && rapid.Bool().Draw(t, "arrives") {
		err = b.Record(r.op, r.primary)
	}
	if err != nil || rapid.Bool().Draw(t, "answer lost") {
		primary.Abort(r.op)
		return
	}
	m.confirm(primary, r.op)
}

func (m *shardModel) settle(t *rapid.T) {
	primary := m.drawShard(t, isPrimary)
	if primary == nil {
		return
	}
	for _, entry := range primary.Entries() {
		if entry.Status == Granted {
			op, ok := primary.Settle(Settlement{ID: entry.ID, Runner: entry.Runner, Attempt: entry.Attempt, Outcome: Ran})
			if b := m.shards[primary.View().Backup]; ok && b != nil && rapid.Bool().Draw(t, "arrives") {
				_ = b.Record(op, primary.Self)
			}
			return
		}
	}
}

func (m *shardModel) check(t *rapid.T) {
	for id, n := range m.runs {
		if n > 1 {
			t.Fatalf("id %s was granted %d times", id, n)
		}
	}
}

func TestShardGrantsAnIDOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newShardModel()
		t.Repeat(map[string]func(*rapid.T){
			"propose": m.propose, "learn": m.learn, "install": m.install, "claim": m.claim,
			"deliver": m.deliver, "settle": m.settle, "": m.check,
		})
	})
}

// testNow is the current time in the tests of single claims.
const testNow = clock.Minute

// newPrimary returns a shard at instance a under the given view.
func newPrimary(t *testing.T, view views.View) *Shard {
	t.Helper()
	s := &Shard{Self: "a", RepeatWindow: clock.Minute}
	s.ApplyView(view, testNow)
	return s
}

func grants(bool) string { return "" }

func assertStatus(t *testing.T, s *Shard, r Request, now clock.Millis, want Status) Entry {
	t.Helper()
	entry, op, err := s.Claim(r, now, grants)
	if err != nil || entry.Status != want {
		t.Fatalf("claim of %s: %v %v, want %s", r.ID, entry, err, want)
	}
	if want == Pending && s.Confirm(op) != nil {
		t.Fatalf("the claim of %s was not confirmed", r.ID)
	}
	return entry
}

func TestClaim(t *testing.T) {
	const now = testNow
	first := views.View{Epoch: 1, Primary: "a"}
	t.Run("a settled id is free or has its answer", func(t *testing.T) {
		s := newPrimary(t, first)
		e := assertStatus(t, s, Request{ID: "x", Runner: "r", Attempt: 1}, now, Pending)
		s.Settle(Settlement{ID: "x", Runner: "r", Attempt: e.Attempt, Outcome: DidNotRun})
		assertStatus(t, s, Request{ID: "x", Runner: "r", Attempt: 2}, now, Pending)
		s.Settle(Settlement{ID: "x", Runner: "r", Attempt: 2, Outcome: Ran})
		assertStatus(t, s, Request{ID: "x", Runner: "r", Attempt: 3}, now, Done)
	})
	t.Run("a late settlement of an earlier flight frees nothing", func(t *testing.T) {
		s := newPrimary(t, first)
		assertStatus(t, s, Request{ID: "x", Runner: "r", Attempt: 2}, now, Pending)
		if _, ok := s.Settle(Settlement{ID: "x", Runner: "r", Attempt: 1, Outcome: DidNotRun}); ok {
			t.Fatal("the settlement of another attempt was applied")
		}
		assertStatus(t, s, Request{ID: "x", Runner: "r", Attempt: 3}, now, Granted)
	})
	t.Run("after a loss, ids that may have run before are unknown", func(t *testing.T) {
		s := newPrimary(t, views.View{Epoch: 9, Base: 5, Primary: "a", Lost: true})
		assertStatus(t, s, Request{ID: "x"}, now+1, Unknown)
		assertStatus(t, s, Request{ID: "old", Issued: now - 1}, now+1, Unknown)
		assertStatus(t, s, Request{ID: "new", Issued: now + maxSkew + 1}, now+maxSkew+2, Pending)
		assertStatus(t, s, Request{ID: "x"}, now+clock.Minute, Pending)
	})
	t.Run("the guard keeps a cut-off primary from granting", func(t *testing.T) {
		s := newPrimary(t, first)
		_, _, err := s.Claim(Request{ID: "x"}, now, func(alone bool) string { return fmt.Sprint("alone ", alone) })
		if err == nil {
			t.Fatal("the claim was granted although the guard refused")
		}
	})
}
