package access

import (
	"fmt"
	"strings"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

func newDirectory(t testing.TB, list ...Organisation) *Directory {
	t.Helper()
	d, err := NewDirectory(list)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestDecide(t *testing.T) {
	d := newDirectory(t,
		Organisation{Name: "shops", Keys: []ident.Key{"k1", "k2"}, Priority: 1, HasPriority: true},
		Organisation{Name: "tables", Keys: []ident.Key{"k3"}},
		Organisation{Name: "keyless"})
	const stale = MaxConfigAge + 1
	cases := []struct {
		name      string
		directory *Directory
		query     Query
		want      ident.Organisation
		kind      Kind
	}{
		{"a key in force", d, Query{Key: "k1"}, "shops", ""},
		{"another key of the same organisation", d, Query{Key: "k2"}, "shops", ""},
		{"a key in force, by a configuration of before", d, Query{Key: "k3", ConfigAge: stale}, "tables", ""},
		{"an unknown key", d, Query{Key: "k4"}, "", Denied},
		{"an unknown key, by a configuration of before", d, Query{Key: "k4", ConfigAge: stale}, "", Unsure},
		{"no key", d, Query{}, "", Denied},
		{"no key, by a configuration of before", d, Query{ConfigAge: stale}, "", Denied},
		{"no key on a public route", d, Query{Public: true}, "", ""},
		{"an unknown key on a public route", d, Query{Key: "k4", Public: true}, "", ""},
		{"a key in force on a public route", d, Query{Key: "k3", Public: true}, "tables", ""},
		{"no organisations", nil, Query{Key: "k1", ConfigAge: stale}, "", ""},
		{"a list without entries", newDirectory(t), Query{Key: "k1"}, "", Denied},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.directory.Authenticate(c.query)
			if got != c.want || fault.KindOf[Kind](err) != c.kind {
				t.Errorf("organisation %q, kind %q, want %q and %q", got, fault.KindOf[Kind](err), c.want, c.kind)
			}
			if err != nil && strings.Contains(err.Error(), "k4") {
				t.Errorf("the error shows the key: %v", err)
			}
		})
	}
}

func TestUrgent(t *testing.T) {
	d := newDirectory(t, Organisation{Name: "a", Priority: 1, HasPriority: true}, Organisation{Name: "b"})
	cases := []struct {
		directory *Directory
		name      ident.Organisation
		want      int
	}{{d, "a", 1}, {d, "b", 4}, {d, "", 4}, {d, "unknown", 4}, {nil, "a", 4}}
	for _, c := range cases {
		if got := c.directory.Priority(c.name, 4); got != c.want {
			t.Errorf("%q has priority %d, want %d", c.name, got, c.want)
		}
	}
}

func TestRefusedLists(t *testing.T) {
	cases := map[string][]Organisation{
		"a name twice":               {{Name: "a"}, {Name: "a"}},
		"no name":                    {{Keys: []ident.Key{"k"}}},
		"a key of two organisations": {{Name: "a", Keys: []ident.Key{"k"}}, {Name: "b", Keys: []ident.Key{"k"}}},
		"an empty key":               {{Name: "a", Keys: []ident.Key{""}}},
	}
	for name, list := range cases {
		t.Run(name, func(t *testing.T) {
			if d, err := NewDirectory(list); d != nil || fault.KindOf[Kind](err) != Invalid {
				t.Errorf("directory %v, error %v, want an Invalid error", d, err)
			}
		})
	}
	t.Run("a key twice in one organisation is harmless", func(t *testing.T) {
		newDirectory(t, Organisation{Name: "a", Keys: []ident.Key{"k", "k"}})
	})
}

func TestAllows(t *testing.T) {
	if !Allows("a", "a") || !Allows("a", "") || !Allows("", "") || Allows("a", "b") || Allows("", "b") {
		t.Error("a job must be accessible to its organisation only, or to everyone if it has none")
	}
}

// FuzzNewDirectory checks that each key of an accepted list belongs to the organisation
// that lists it.
func FuzzNewDirectory(f *testing.F) {
	f.Add("a=k1,k2;b=k3")
	f.Add("a=k1;b=k1")
	f.Add("=;a=,")
	f.Fuzz(func(t *testing.T, text string) {
		var list []Organisation
		for part := range strings.SplitSeq(text, ";") {
			name, keys, _ := strings.Cut(part, "=")
			o := Organisation{Name: ident.Organisation(name)}
			for key := range strings.SplitSeq(keys, ",") {
				o.Keys = append(o.Keys, ident.Key(key))
			}
			list = append(list, o)
		}
		d, err := NewDirectory(list)
		if err != nil {
			return
		}
		for _, o := range list {
			for _, key := range o.Keys {
				if got, err := d.Authenticate(Query{Key: key}); err != nil || got != o.Name {
					t.Fatalf("a key of %q belongs to %q, %v", o.Name, got, err)
				}
			}
		}
	})
}

// BenchmarkDecide builds a directory of 100,000 keys and looks keys up in it.
func BenchmarkDecide(b *testing.B) {
	var list []Organisation
	for n := range 1000 {
		o := Organisation{Name: ident.Organisation(fmt.Sprintf("o%d", n))}
		for k := range 100 {
			o.Keys = append(o.Keys, ident.Key(fmt.Sprintf("key-%d-%d", n, k)))
		}
		list = append(list, o)
	}
	b.Run("build", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			newDirectory(b, list...)
		}
	})
	d := newDirectory(b, list...)
	b.Run("known", func(b *testing.B) {
		for b.Loop() {
			_, _ = d.Authenticate(Query{Key: "key-999-99"})
		}
	})
	b.Run("unknown", func(b *testing.B) {
		for b.Loop() {
			_, _ = d.Authenticate(Query{Key: "none", ConfigAge: clock.Second})
		}
	})
}
