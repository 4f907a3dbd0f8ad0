package conf

import (
	"strings"
	"testing"

	"croftmoor.dev/kernel/ident"
)

const valid = `{"Team":"t","Services":[{"Name":"m","Kind":"Model"},{"Name":"p","Kind":"Plain","Calls":[{"Path":"/x","Repeatable":true}]}],
"Trainers":[{"Name":"tr","Service":"m","StalenessBound":2}],"Limits":[{"Class":"c","Rate":5}]}`

func assertRefused(t *testing.T, text string, wants ...string) {
	t.Helper()
	_, err := Parse([]byte(text))
	if err == nil {
		t.Fatalf("accepted: %s", text)
	}
	for _, want := range wants {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not contain %q: %v", want, err)
		}
	}
}

func TestParse(t *testing.T) {
	t.Run("a valid file with defaults", func(t *testing.T) {
		f, err := Parse([]byte(valid))
		if err != nil || f.Services[0].Slots != defaultSlots || f.Trainers[0].GroupSize != defaultGroupSize {
			t.Fatalf("%+v %v", f, err)
		}
		if !f.Services[1].Repeatable("/x") || f.Services[1].Repeatable("/other") {
			t.Fatal("a call that is not listed must not be repeatable")
		}
	})
	for name, c := range map[string]struct{ text, path, allowed string }{
		"unknown field":   {`{"Team":"t","Colour":1}`, "$.Colour", "unknown field"},
		"repeated field":  {`{"Team":"t","Team":"u"}`, "$.Team", "given twice"},
		"missing team":    {`{}`, "$.Team", "missing"},
		"out of range":    {`{"Team":"t","Limits":[{"Class":"c","Rate":0}]}`, "$.Limits[0].Rate", "from 1 to"},
		"unknown kind":    {`{"Team":"t","Services":[{"Name":"a","Kind":"Odd"}]}`, "$.Services[0].Kind", "Model, Plain"},
		"service twice":   {`{"Team":"t","Services":[{"Name":"a","Kind":"Plain"},{"Name":"a","Kind":"Plain"}]}`, "$.Services[1].Name", "one service of a name"},
		"trainer's model": {`{"Team":"t","Trainers":[{"Name":"a","Service":"b"}]}`, "$.Trainers[0].Service", "Model service in this file"},
		"calls on models": {`{"Team":"t","Services":[{"Name":"a","Kind":"Model","Calls":[{"Path":"/"}]}]}`, "$.Services[0].Calls", "Plain services only"},
		"not JSON":        {`{`, "", "not JSON"},
	} {
		t.Run(name, func(t *testing.T) { assertRefused(t, c.text, c.path, c.allowed) })
	}
}

func assertOutcome(t *testing.T, s *State, c Change, offset ident.Offset, want Outcome) {
	t.Helper()
	if v := s.Apply(c, offset, 0); v.Outcome != want {
		t.Fatalf("%s: %s %s, want %s", c.ID, v.Outcome, v.Reason, want)
	}
}

func TestJudge(t *testing.T) {
	s := NewState()
	first := Change{ID: "1", Team: "t", Text: []byte(valid)}
	assertOutcome(t, s, first, 1, Accepted)
	assertOutcome(t, s, Change{ID: "2", Team: "t", Text: []byte(valid)}, 2, Conflict)
	assertOutcome(t, s, first, 3, Accepted)
	if s.Teams["t"].Revision != 1 {
		t.Fatal("a repeated change was applied twice")
	}
	other := strings.Replace(valid, `"Team":"t"`, `"Team":"u"`, 1)
	assertOutcome(t, s, Change{ID: "3", Team: "u", Text: []byte(other)}, 4, Refused)
	assertOutcome(t, s, Change{ID: "4", Team: "u", Text: []byte(valid)}, 5, Refused)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"Team":"t","Limits":[{"Class":"c","Rate":1e9}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse(data)
		if err == nil && file.Team == "" {
			t.Fatal("accepted a file without a team")
		}
	})
}
