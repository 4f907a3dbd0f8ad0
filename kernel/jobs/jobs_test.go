package jobs

import (
	"flag"
	"os"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Fixes the seed in CI; local runs draw new histories each time.
func init() {
	if os.Getenv("CI") != "" {
		_ = flag.Set("rapid.seed", "20261202")
	}
}

func accept(job ident.Job, minVersion ident.Version, items ...ident.Item) Accept {
	a := Accept{Job: job, Host: "h", Prefix: "/p/", Service: "s", Model: "m", MinVersion: minVersion, WantedGroups: 1}
	for _, id := range items {
		a.Items = append(a.Items, ItemSpec{ID: id, Group: "g", Expect: 100, Body: Span{Stream: "bodies.1", First: 3, Count: 1}})
	}
	return a
}

// fold applies records in order to a new state.
func fold(records ...Record) *State {
	b := NewState()
	for i, r := range records {
		b.Apply(ident.Offset(i+1), r, clock.Millis(i))
	}
	return b
}

func TestCodec(t *testing.T) {
	partial := Partial{Texts: []Span{{Stream: "texts.2", First: 9, Count: 2}}, Events: 7, Versions: []ident.Version{1, 2}, Complete: true}
	timing := Timing{Engine: "e", Events: 7, Millis: 300}
	records := []Record{
		accept("j", 2, "a", "b"),
		Claim{Job: "j", By: "i", Engine: "e", Targets: []Target{{Index: 1, Replaces: 4}}},
		Claim{Job: "j", By: "i", Engine: "e", Targets: []Target{{Index: 2}}, Dealer: "d"},
		Yield{Job: "j", By: "i", Index: 1, Partial: partial, Failed: true, Timing: timing},
		SavePartial{Job: "j", By: "i", Index: 1, Partial: partial},
		Finish{Job: "j", By: "i", Index: 1, Outcome: Completed, Versions: []ident.Version{3}, Score: "s", Texts: partial.Texts, Events: 7, Timing: timing},
		End{Job: "j"}, Heartbeat{By: "i", Zone: "z", Leaving: true, Address: "1.2.3.4:5"}, Heartbeat{By: "i", Zone: "z", Start: 9},
		Heartbeat{By: "i", Zone: "z", Start: 9, Roles: []HeldRole{{Role: "r", Fence: 5}, {Role: "q", Fence: 7}}},
		Hold{Role: "r", By: "i", Replaces: 5}, LoadOrder{Role: "r", Fence: 5, Engine: "e", Model: "m", Version: 6},
		LoadOrder{Role: "r", Fence: 5, Engine: "e", Model: "m", Version: 6, Within: 7}, OrderSettled{Engine: "e", Order: 8},
		Loaded{Engine: "e", Model: "m", Version: 6}, Avoid{By: "i", Engine: "e", Millis: 7}, Defer{Job: "j", By: "i", Index: 2, Millis: 7},
	}
	for _, r := range records {
		got, err := Decode(Encode(r))
		if err != nil || !reflect.DeepEqual(got, r) {
			t.Errorf("%T was decoded as %+v (%v), want %+v", r, got, err, r)
		}
	}
	t.Run("a record of a newer program is passed over", func(t *testing.T) {
		if got, err := Decode([]byte{120}); got != nil || err != nil {
			t.Errorf("got %v, %v", got, err)
		}
	})
	t.Run("a cut record is an error", func(t *testing.T) {
		data := Encode(records[0])
		if _, err := Decode(data[:len(data)-3]); err == nil {
			t.Error("no error")
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(accept("j", 1, "a")))
	f.Add(Encode(End{Job: "j"}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if r, err := Decode(data); err == nil && r != nil {
			fold(r)
		}
	})
}

func claimOf(job ident.Job, by ident.InstanceName, index int, replaces ident.Offset) Claim {
	return Claim{Job: job, By: by, Engine: "e", Targets: []Target{{Index: index, Replaces: replaces}}}
}

func TestClaims(t *testing.T) {
	job := accept("j", 1, "a")
	t.Run("of two that replace nothing the first counts", func(t *testing.T) {
		b := fold(job, claimOf("j", "x", 0, 0), claimOf("j", "y", 0, 0))
		if got := b.Jobs["j"].Items[0].Owner; got != "x" {
			t.Errorf("owner %q, want x", got)
		}
	})
	t.Run("one that names the claim that stands replaces it", func(t *testing.T) {
		b := fold(job, claimOf("j", "x", 0, 0), claimOf("j", "y", 0, 2))
		if got := b.Jobs["j"].Items[0].Owner; got != "y" || b.Loads["e"].Items != 1 {
			t.Errorf("owner %q with load %d, want y with 1", got, b.Loads["e"].Items)
		}
	})
	t.Run("an ended job has none", func(t *testing.T) {
		b := fold(job, claimOf("j", "x", 0, 0), End{Job: "j"}, claimOf("j", "y", 0, 0))
		if b.Jobs["j"].Items[0].Claim != 0 || len(b.Loads) != 0 {
			t.Errorf("claim %d, loads %v", b.Jobs["j"].Items[0].Claim, b.Loads)
		}
	})
	t.Run("a yield of another than the owner leaves the claim", func(t *testing.T) {
		b := fold(job, claimOf("j", "x", 0, 0), Yield{Job: "j", By: "y", Partial: Partial{Events: 3}})
		if i := b.Jobs["j"].Items[0]; i.Owner != "x" || i.Partial.Events != 3 {
			t.Errorf("owner %q, %d events saved", i.Owner, i.Partial.Events)
		}
	})
}

// An acceptance that was written late must not run the items of a job that is over.
func TestJobThatIsOverIsNotAcceptedAgain(t *testing.T) {
	job, claim := accept("j", 1, "a"), claimOf("j", "x", 0, 0)
	cases := []struct {
		name string
		fold func(*State)
	}{
		{"its reader has dropped it after its end", func(b *State) {
			b.Apply(1, job, 0)
			b.Apply(2, End{Job: "j"}, 1)
			b.Forget(2, 2)
		}},
		{"its reader has dropped it", func(b *State) {
			b.Apply(1, job, 0)
			b.Forget(2, 2)
		}},
		{"the log has dropped its acceptance, but not its end", func(b *State) { b.Apply(2, End{Job: "j"}, 1) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := NewState()
			tc.fold(b)
			b.Apply(3, job, 3)
			b.Apply(4, claim, 4)
			if j := b.Jobs["j"]; j != nil && j.Open() || b.Loads["e"].Items != 0 {
				t.Errorf("job open %v with %d items claimed, want none", j != nil && j.Open(), b.Loads["e"].Items)
			}
			const later = clock.Minute
			b.Forget(later, later)
			if len(b.Closed) != 0 {
				t.Errorf("%d ids kept for good", len(b.Closed))
			}
		})
	}
}

func TestFaults(t *testing.T) {
	b := fold(accept("j", 1, "a", "b"), claimOf("j", "x", 0, 0), Yield{Job: "j", By: "x", Failed: true})
	if got := b.Jobs["j"].Items[0].FailedOn; len(got) != 1 || got[0] != "e" || b.FailureRates["e"] == 0 {
		t.Errorf("failed on %v, failure rate %v, want e once", got, b.FailureRates["e"])
	}
	before := b.FailureRates["e"]
	b.Apply(9, claimOf("j", "x", 1, 0), 0)
	b.Apply(10, Finish{Job: "j", By: "x", Index: 1, Outcome: Completed}, 0)
	if b.FailureRates["e"] >= before {
		t.Errorf("failure rate stayed at %v after a completed item", b.FailureRates["e"])
	}
}

func TestBrought(t *testing.T) {
	kept := Partial{Texts: []Span{{Stream: "t", First: 1, Count: 1}}, Events: 4, Versions: []ident.Version{2}}
	cases := []struct {
		name       string
		minVersion ident.Version
		want       int
	}{{"a text of fitting versions is taken over", 2, 4}, {"one that is too old is not", 3, 0}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := fold(accept("j", 1, "a"), SavePartial{Job: "j", Partial: kept}, End{Job: "j"}, accept("k", c.minVersion, "a"))
			item := b.Jobs["k"].Items[0]
			if !item.CarriedOver || item.Partial.Events != c.want {
				t.Errorf("carried over %v with %d events, want %d", item.CarriedOver, item.Partial.Events, c.want)
			}
		})
	}
}

func TestHolds(t *testing.T) {
	t.Run("of two that follow the same hold the first counts", func(t *testing.T) {
		b := fold(Hold{Role: "r", By: "x"}, Hold{Role: "r", By: "y", Replaces: 1}, Hold{Role: "r", By: "z", Replaces: 1})
		if h := b.RoleHolders["r"]; h.By != "y" || h.Fence != 2 {
			t.Errorf("role held by %q with fence %d, want y with 2", h.By, h.Fence)
		}
	})
	t.Run("an order under an older fence does not count", func(t *testing.T) {
		b := fold(Hold{Role: "r", By: "x"}, Hold{Role: "r", By: "y", Replaces: 1}, LoadOrder{Role: "r", Fence: 1, Engine: "e", Model: "m", Version: 2})
		if w := b.Weights[EngineModel{Engine: "e", Model: "m"}]; w.Ordered != 0 {
			t.Errorf("ordered %d, want none", w.Ordered)
		}
	})
}

func TestLives(t *testing.T) {
	b := fold(Heartbeat{By: "n~1", Zone: "z", Start: 1}, Heartbeat{By: "m~1", Zone: "z", Start: 2}, Heartbeat{By: "n~2", Zone: "z", Start: 3})
	if b.Alive("n~1", 0) || !b.Alive("n~2", 0) || !b.Alive("m~1", 0) {
		t.Error("a restart must supersede the earlier runs of the same instance, and only these")
	}
	b.ShiftLastHeard(1000)
	if !b.Alive("m~1", 900) {
		t.Error("a member must stay alive across a period in which the reader could not read")
	}
}

// ledgerModel generates histories of several instances that write to one ledger: late,
// duplicate and reordered records, and rebuilds from the start.
type ledgerModel struct {
	records []Record
	state   *State
	// seenResults holds the results that callers have read: these must never change.
	seenResults map[ident.Job][]Result
	accepted    map[ident.Job]int
	// closed holds the jobs that were ended before they were accepted.
	closed map[ident.Job]bool
}

var modelNames = []ident.InstanceName{"a~1", "b~1", "c~1", "a~2"}

func (m *ledgerModel) write(r Record) {
	m.records = append(m.records, r)
	m.state.Apply(ident.Offset(len(m.records)), r, clock.Millis(len(m.records)))
}

func (m *ledgerModel) job(t *rapid.T) ident.Job {
	return rapid.SampledFrom([]ident.Job{"j", "k"}).Draw(t, "job")
}

func (m *ledgerModel) index(t *rapid.T) int { return rapid.IntRange(-1, 3).Draw(t, "index") }

func (m *ledgerModel) name(t *rapid.T) ident.InstanceName {
	return rapid.SampledFrom(modelNames).Draw(t, "instance")
}

func (m *ledgerModel) accept(t *rapid.T) {
	job := m.job(t)
	m.write(accept(job, ident.Version(rapid.IntRange(1, 2).Draw(t, "least")), "x", "y", "z"))
	if !m.closed[job] {
		m.accepted[job] = 3
	}
}

func (m *ledgerModel) claim(t *rapid.T) {
	replaces := ident.Offset(rapid.IntRange(0, len(m.records)).Draw(t, "replaces"))
	m.write(claimOf(m.job(t), m.name(t), m.index(t), replaces))
}

func (m *ledgerModel) finish(t *rapid.T) {
	m.write(Finish{Job: m.job(t), By: m.name(t), Index: m.index(t), Outcome: Completed, Score: rapid.String().Draw(t, "score")})
}

func (m *ledgerModel) yield(t *rapid.T) {
	m.write(Yield{Job: m.job(t), By: m.name(t), Index: m.index(t), Partial: Partial{Events: rapid.IntRange(0, 5).Draw(t, "events")}})
}

func (m *ledgerModel) end(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "rarely") == 0 {
		job := m.job(t)
		m.write(End{Job: job})
		m.closed[job] = m.closed[job] || m.accepted[job] == 0
	}
}

func (m *ledgerModel) beat(t *rapid.T) { m.write(Heartbeat{By: m.name(t), Zone: "z"}) }

// repeat writes an old record again, as a retried append may.
func (m *ledgerModel) repeat(t *rapid.T) {
	if len(m.records) > 0 {
		m.write(rapid.SampledFrom(m.records).Draw(t, "record"))
	}
}

// rebuild replays all records on another clock, as an instance does after a restart.
func (m *ledgerModel) rebuild(*rapid.T) {
	fresh := NewState()
	for i, r := range m.records {
		fresh.Apply(ident.Offset(i+1), r, clock.Millis(1_000_000+i*7))
	}
	m.state = fresh
}

func (m *ledgerModel) check(t *rapid.T) {
	for job, total := range m.accepted {
		j := m.state.Jobs[job]
		if j == nil || len(j.Items) != total {
			t.Fatalf("accepted job %s has lost items", job)
		}
		m.checkPositions(t, j)
		m.checkIndexes(t, j)
	}
	for job := range m.closed {
		if m.closed[job] && m.state.Jobs[job] != nil {
			t.Fatalf("job %s was accepted after its end", job)
		}
	}
	for engine, load := range m.state.Loads {
		if n := claimedAt(m.state, engine); n != load.Items {
			t.Fatalf("load of %s is %d, %d items are claimed", engine, load.Items, n)
		}
	}
}

// checkIndexes compares the incrementally updated counts and indexes with the items.
func (m *ledgerModel) checkIndexes(t *rapid.T, j *Job) {
	waiting := 0
	for n, i := range j.Items {
		if i.Claim == 0 && !i.Done {
			waiting++
		}
		for owner, keys := range m.state.Claims {
			if _, has := keys[ItemKey{Job: j.Job, Index: n}]; has != (i.Claim != 0 && i.Owner == owner) {
				t.Fatalf("item %d of %s has owner %q and claim %d, the index of %s says %v", n, j.Job, i.Owner, i.Claim, owner, has)
			}
		}
		if _, has := m.state.Claims[i.Owner][ItemKey{Job: j.Job, Index: n}]; i.Claim != 0 && !has {
			t.Fatalf("item %d of %s is missing in the index of %s", n, j.Job, i.Owner)
		}
	}
	if waiting != j.Waiting {
		t.Fatalf("%d items of %s are waiting, counter says %d", waiting, j.Job, j.Waiting)
	}
}

func claimedAt(b *State, engine ident.BackendName) int {
	n := 0
	for _, j := range b.Jobs {
		for _, i := range j.Items {
			if i.Claim != 0 && i.Engine == engine {
				n++
			}
		}
	}
	return n
}

func (m *ledgerModel) checkPositions(t *rapid.T, j *Job) {
	before := m.seenResults[j.Job]
	if len(j.Results) < len(before) || (len(before) > 0 && !reflect.DeepEqual(j.Results[:len(before)], before)) {
		t.Fatalf("results of %s have changed position", j.Job)
	}
	seen := map[int]bool{}
	for _, r := range j.Results {
		if seen[r.Index] {
			t.Fatalf("item %d of %s is listed twice", r.Index, j.Job)
		}
		seen[r.Index] = true
	}
	m.seenResults[j.Job] = append([]Result(nil), j.Results...)
}

func TestLedgerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerModel{state: NewState(), seenResults: map[ident.Job][]Result{}, accepted: map[ident.Job]int{}, closed: map[ident.Job]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"accept": m.accept, "claim": m.claim, "finish": m.finish, "yield": m.yield, "end": m.end,
			"beat": m.beat, "again": m.repeat, "rebuild": m.rebuild, "": m.check,
		})
	})
}

// Guards against an instance that, on start, avoids engines because of old records, and
// against one that shortens the lease of an old load order.
func TestReadInArrears(t *testing.T) {
	for _, current := range []bool{true, false} {
		b := NewState()
		b.UpToDate = current
		const now = 100 * clock.Second
		b.Apply(1, Hold{Role: "r", By: "i"}, now)
		b.Apply(2, LoadOrder{Role: "r", Fence: 1, Engine: "e", Model: "m", Version: 2}, now)
		b.Apply(3, Avoid{By: "i", Engine: "e", Millis: 400}, now)
		b.Apply(4, accept("j", 1, "a"), now)
		if avoided := b.AvoidedUntil["e"] > now; avoided != current {
			t.Errorf("current %v: engine avoided %v", current, avoided)
		}
		if loading := b.Weights[EngineModel{Engine: "e", Model: "m"}].OrderSeenAt == now; loading != current {
			t.Errorf("current %v: order counts as just given %v", current, loading)
		}
		if b.LastOrders["e"].SeenAt != now {
			t.Errorf("current %v: the lease counts from %d, want %d", current, b.LastOrders["e"].SeenAt, now)
		}
		if b.Jobs["j"].FromBacklog == current {
			t.Errorf("current %v: backlog %v", current, b.Jobs["j"].FromBacklog)
		}
	}
}

// Guards the decoding of records that were written before the Dealer field existed.
func TestClaimWithoutDealer(t *testing.T) {
	want := Claim{Job: "j", By: "i", Engine: "e", Targets: []Target{{Index: 1, Replaces: 4}}}
	data := Encode(want)
	got, err := Decode(data[:len(data)-1])
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	if claim, _ := got.(Claim); claim.Writer() != "i" {
		t.Errorf("written by %q, want the instance that runs the items", claim.Writer())
	}
}

// Guards the decoding of records that were written before the field Within existed.
func TestLoadOrderWithoutWithin(t *testing.T) {
	want := LoadOrder{Role: "r", Fence: 5, Engine: "e", Model: "m", Version: 6}
	data := Encode(want)
	got, err := Decode(data[:len(data)-1])
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}

// Guards against a lease of an engine that counts from before the engine took the order.
func TestOrderOnItsWay(t *testing.T) {
	const now, within = 100 * clock.Second, 2000
	order := LoadOrder{Role: "r", Fence: 1, Engine: "e", Model: "m", Version: 2, Within: within}
	cases := []struct {
		name    string
		records []Record
		want    clock.Millis
	}{
		{"on its way", []Record{order}, now + within},
		{"settled", []Record{order, OrderSettled{Engine: "e", Order: 2}}, now},
		{"a later one is on its way", []Record{order, order, OrderSettled{Engine: "e", Order: 2}}, now + within},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewState()
			b.Apply(1, Hold{Role: "r", By: "i"}, now)
			for i, r := range c.records {
				b.Apply(ident.Offset(2+i), r, now)
			}
			if got := b.LastOrders["e"].TakenBy; got != c.want {
				t.Errorf("taken by %d, want %d", got, c.want)
			}
		})
	}
}

func saved(events int, versions ...ident.Version) Partial {
	return Partial{Texts: []Span{{Stream: "t", First: ident.Offset(events), Count: 1}}, Events: events, Versions: versions}
}

// A text that was dropped must not come back by a late record of another owner.
func TestSavedTextThatWasBegunAnew(t *testing.T) {
	complete := saved(9, 1)
	complete.Complete = true
	for _, c := range []struct {
		name   string
		single bool
		saves  []Partial
		want   Partial
	}{
		{"replaces a longer one of an older version", true, []Partial{saved(35, 1), saved(8, 2)}, saved(8, 2)},
		{"is not replaced by a longer one of an older version", true, []Partial{saved(8, 2), saved(35, 1)}, saved(8, 2)},
		{"is replaced by a longer one of its version", true, []Partial{saved(8, 2), saved(9, 2)}, saved(9, 2)},
		{"is replaced by a complete one of any version", true, []Partial{saved(35, 2), complete}, complete},
		{"does not replace a complete one", true, []Partial{complete, saved(35, 2)}, complete},
		{"is kept by a yield without a text", true, []Partial{saved(8, 2), {}}, saved(8, 2)},
		{"needs to be longer where versions may be mixed", false, []Partial{saved(35, 1), saved(8, 2)}, saved(35, 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			job := accept("j", 1, "a")
			job.SingleVersion = c.single
			b := fold(job, claimOf("j", "x", 0, 0))
			for _, p := range c.saves {
				b.Apply(b.Next, SavePartial{Job: "j", By: "y", Partial: p}, 0)
			}
			got := b.Jobs["j"].Items[0].Partial
			if got.Events != c.want.Events || !slices.Equal(got.Versions, c.want.Versions) || !slices.Equal(got.Texts, c.want.Texts) {
				t.Errorf("saved %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestYieldsInVain(t *testing.T) {
	b := fold(accept("j", 1, "a"))
	yield := func(now clock.Millis, p Partial) int {
		b.Apply(b.Next, claimOf("j", "x", 0, 0), now)
		b.Apply(b.Next, Yield{Job: "j", By: "x", Partial: p}, now)
		return b.Jobs["j"].Items[0].VainYields
	}
	if yield(1, saved(5, 1)) != 0 || yield(2, saved(5, 1)) != 1 || yield(3, Partial{}) != 2 || b.Jobs["j"].Items[0].VainSince != 2 {
		t.Errorf("item %+v, want two yields in vain since 2", b.Jobs["j"].Items[0])
	}
	if n := yield(4, saved(6, 1)); n != 0 {
		t.Errorf("%d yields in vain after one with a longer text", n)
	}
}
