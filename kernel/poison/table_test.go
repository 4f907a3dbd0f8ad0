package poison

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// CI uses a fixed seed; other runs draw a new one.
func init() {
	if os.Getenv("CI") != "" {
		_ = flag.Set("rapid.seed", "20261203")
	}
}

const (
	harmful  Fingerprint = "harmful"
	innocent Fingerprint = "innocent"
)

func serverName(n int) ident.BackendName { return ident.NewBackend(fmt.Sprintf("s%d", n), 1) }

// ended notes the ends of numbered servers for a request.
func ended(t *Table, request Fingerprint, servers ...int) {
	for _, n := range servers {
		t.Ended(End{Request: request, Server: serverName(n)}, true, 0)
	}
}

func wantHeld(t *testing.T, table *Table, request Fingerprint, now clock.Millis, held bool) {
	t.Helper()
	if v := table.Verdict(request, now); (v.HeldFor > 0) != held {
		t.Errorf("%s: %+v, want held %v", request, v, held)
	}
}

func TestTable(t *testing.T) {
	t.Run("three servers that ended hold a request, two do not", func(t *testing.T) {
		table := NewTable()
		ended(table, harmful, 1, 2)
		wantHeld(t, table, harmful, 0, false)
		ended(table, harmful, 3)
		wantHeld(t, table, harmful, 0, true)
		wantHeld(t, table, innocent, 0, false)
	})
	t.Run("one end that is told of again counts once", func(t *testing.T) {
		table := NewTable()
		ended(table, harmful, 1, 1, 1, 1)
		wantHeld(t, table, harmful, 0, false)
	})
	t.Run("a server that starts again under its name ends again", func(t *testing.T) {
		table := NewTable()
		for n := range Threshold {
			table.Ended(End{Request: harmful, Server: ident.NewBackend("s", int64(n))}, true, 0)
		}
		wantHeld(t, table, harmful, 0, true)
	})
	t.Run("an answer clears a request, also of ends that are told of later", func(t *testing.T) {
		table := NewTable()
		ended(table, innocent, 1, 2, 3)
		table.Answered(innocent)
		ended(table, innocent, 1, 2, 3)
		wantHeld(t, table, innocent, 0, false)
		ended(table, innocent, 4, 5, 6)
		wantHeld(t, table, innocent, 0, true)
	})
	t.Run("what was beside a held request is not blamed for the same ends", func(t *testing.T) {
		table := NewTable()
		ended(table, harmful, 1, 2, 3, 4)
		ended(table, innocent, 1, 2, 4)
		wantHeld(t, table, harmful, 0, true)
		wantHeld(t, table, innocent, 0, false)
	})
	t.Run("of two that were there each time both wait, until the next run tells", func(t *testing.T) {
		table := NewTable()
		ended(table, harmful, 1, 2, 3)
		ended(table, innocent, 1, 2, 3)
		wantHeld(t, table, harmful, ambiguousHoldDuration-1, true)
		wantHeld(t, table, innocent, ambiguousHoldDuration-1, true)
		wantHeld(t, table, harmful, ambiguousHoldDuration, false)
		wantHeld(t, table, innocent, ambiguousHoldDuration, false)
		table.Ended(End{Request: harmful, Server: serverName(4)}, true, ambiguousHoldDuration)
		wantHeld(t, table, harmful, ambiguousHoldDuration, true)
		wantHeld(t, table, harmful, 2*ambiguousHoldDuration, true)
		wantHeld(t, table, innocent, ambiguousHoldDuration, false)
	})
}

func TestTerms(t *testing.T) {
	t.Run("a hold ends, and one more end renews it", func(t *testing.T) {
		table := NewTable()
		ended(table, harmful, 1, 2, 3)
		wantHeld(t, table, harmful, holdDuration-1, true)
		wantHeld(t, table, harmful, holdDuration, false)
		table.Ended(End{Request: harmful, Server: serverName(4)}, true, holdDuration)
		wantHeld(t, table, harmful, holdDuration, true)
	})
	t.Run("what is too old is forgotten", func(t *testing.T) {
		table := NewTable()
		ended(table, innocent, 1)
		ended(table, harmful, 1, 2, 3)
		table.Forget(suspectRetention + 1)
		if table.Suspected(innocent) || !table.Suspected(harmful) {
			t.Error("want the request with one end forgotten, and the held one kept")
		}
		table.Forget(holdDuration + suspectRetention + 1)
		if !table.Empty() {
			t.Error("the held request was not forgotten")
		}
	})
	t.Run("a hold that the log is about to forget is renewed once", func(t *testing.T) {
		table := NewTable()
		ended(table, harmful, 1, 2, 3)
		if n := len(table.DueForRenewal(renewalPeriod-1, 0)); n != 0 {
			t.Errorf("%d ends due for renewal before renewalPeriod", n)
		}
		ends := table.DueForRenewal(renewalPeriod, 0)
		if len(ends) != Threshold {
			t.Errorf("%d ends due for renewal, want all", len(ends))
		}
		for _, e := range ends {
			table.Ended(e, true, renewalPeriod)
		}
		if n := len(table.DueForRenewal(renewalPeriod, 0)); n != 0 {
			t.Errorf("%d ends due for renewal right after they were published", n)
		}
		wantHeld(t, table, harmful, holdDuration, false)
	})
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	ended(table, harmful, 1, 2, 3)
	const many = 100_000
	for n := range many {
		table.Ended(End{Request: Fingerprint(fmt.Sprint(n)), Server: serverName(n)}, true, clock.Millis(n))
	}
	if n := len(table.suspects); n > maxSuspects {
		t.Errorf("%d requests in the table, want %d at most", n, maxSuspects)
	}
	wantHeld(t, table, harmful, many, true)
	for n := range many {
		ended(table, harmful, n)
	}
	if n := len(table.suspects[harmful].ends); n > maxEnds {
		t.Errorf("%d ends of one request in the table, want %d at most", n, maxEnds)
	}
}

// TestOnceForAll checks that tables which learn the same ends in different orders, with
// duplicates, hold the same requests.
func TestOnceForAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ends []End
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 19), 0, 30).Draw(t, "ends") {
			ends = append(ends, End{Request: Fingerprint(fmt.Sprint("r", n%4)), Server: serverName(n / 4)})
		}
		again := rapid.Permutation(append(slices.Clone(ends), ends...)).Draw(t, "again")
		one, other := NewTable(), NewTable()
		for _, e := range ends {
			one.Ended(e, true, 0)
		}
		for _, e := range again {
			other.Ended(e, false, 0)
		}
		if !maps.Equal(one.held, other.held) {
			t.Fatalf("held %v in order of the ends, %v shuffled with duplicates", one.held, other.held)
		}
		for request := range one.held {
			if len(one.suspects[request].ends) < Threshold {
				t.Fatalf("%s is held for %d ends", request, len(one.suspects[request].ends))
			}
		}
	})
}

func TestRecords(t *testing.T) {
	request := Subject{Target: "/a"}.Fingerprint()
	for _, r := range []Record{End{Request: request, Server: ident.NewBackend("s", 7), At: 9}, ServerEnd{Server: ident.NewBackend("s", 7), At: 9}, Answer{Request: request}} {
		data, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(data); err != nil || got != r {
			t.Errorf("%v, %v, want %v", got, err, r)
		}
	}
	for _, text := range []string{
		"", "null", "[]", "{}", `{"Kind":"End"}`, `{"Kind":"End","Request":7}`, fmt.Sprintf(`{"Kind":"End","Request":%q}`, request), `{"Kind":"ServerEnd"}`,
		fmt.Sprintf(`{"Kind":"End","Request":%q,"Server":7}`, request), "\xff\xfe",
	} {
		if r, err := Decode([]byte(text)); err == nil {
			t.Errorf("%q was decoded as %v, want an error", text, r)
		}
	}
	if r, err := Decode([]byte(fmt.Sprintf(`{"Kind":"Later","Request":%q}`, request))); r != nil || err != nil {
		t.Errorf("record of unknown kind: %v, %v, want nil without an error", r, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Kind":"End","Request":"00000000000000000000000000000000","Server":"s~1"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil || r == nil {
			return
		}
		if _, err := Encode(r); err != nil {
			t.Error(err)
		}
	})
}

// BenchmarkEnded notes the end of a new request in a full table with three held requests,
// as after the loss of an availability zone.
func BenchmarkEnded(b *testing.B) {
	table := NewTable()
	for n := range maxSuspects {
		table.Ended(End{Request: Fingerprint(fmt.Sprint(n)), Server: serverName(n)}, true, 0)
	}
	for n := range 3 {
		ended(table, Fingerprint(fmt.Sprint("held", n)), 1, 2, 3, 4)
	}
	server := serverName(1)
	for n := 0; b.Loop(); n++ {
		table.Ended(End{Request: Fingerprint(fmt.Sprint("new", n)), Server: server}, true, 0)
	}
}
