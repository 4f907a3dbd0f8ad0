package conf

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Outcome is the result of applying a file.
type Outcome string

// Outcomes.
const (
	// Accepted means that the file is in force from its offset on.
	Accepted Outcome = "Accepted"
	// Conflict means that the team's file has changed since the revision that was edited.
	Conflict Outcome = "Conflict"
	// Refused means that the file is invalid or uses a name of another team.
	Refused Outcome = "Refused"
)

// Change is a team's new file, as an operator applied it.
type Change struct {
	ID   ident.RecordID
	Team ident.Team
	// Base is the revision of the team's file from which Text was edited; 0 for none.
	Base   ident.Revision
	Author string
	Text   []byte
}

// Verdict is the result of one change. Revision is the offset of the change in the log.
type Verdict struct {
	ID       ident.RecordID
	Team     ident.Team
	Revision ident.Revision
	At       clock.Millis
	Author   string
	Outcome  Outcome
	Reason   string
}

// Entry is the file in force for one team.
type Entry struct {
	Revision ident.Revision
	Author   string
	Text     []byte
	File     *File
}

// maxVerdicts bounds the stored verdicts, which an operator can query if the response to
// the change was lost.
const maxVerdicts = 512

// State is the configuration after a prefix of the log. Its files and outcomes depend on that
// prefix only, so all instances that have read the same prefix agree on them.
type State struct {
	Teams    map[ident.Team]Entry
	Verdicts []Verdict
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{Teams: map[ident.Team]Entry{}}
}

// Clone returns a copy of the state. Both share the entries' files and texts, which must
// not be changed.
func (s *State) Clone() *State {
	c := NewState()
	for team, entry := range s.Teams {
		c.Teams[team] = entry
	}
	c.Verdicts = slices.Clone(s.Verdicts)
	return c
}

// Revision returns the latest revision in force.
func (s *State) Revision() ident.Revision {
	var newest ident.Revision
	for _, entry := range s.Teams {
		newest = max(newest, entry.Revision)
	}
	return newest
}

// VerdictOf returns the stored verdict on a change, and false if there is none.
func (s *State) VerdictOf(id ident.RecordID) (Verdict, bool) {
	for _, v := range s.Verdicts {
		if v.ID == id {
			return v, true
		}
	}
	return Verdict{}, false
}

// Apply applies the change at offset and returns its verdict. It returns the stored verdict
// if a change with the same ID was applied before, because an append whose response is lost
// may be repeated.
func (s *State) Apply(change Change, offset ident.Offset, at clock.Millis) Verdict {
	if earlier, ok := s.VerdictOf(change.ID); ok {
		return earlier
	}
	v := Verdict{ID: change.ID, Team: change.Team, Revision: ident.Revision(offset), At: at, Author: change.Author}
	file, err := Parse(change.Text)
	current := s.Teams[change.Team]
	switch {
	case err != nil:
		v.Outcome, v.Reason = Refused, err.Error()
	case file.Team != change.Team:
		v.Outcome, v.Reason = Refused, fmt.Sprintf("$.Team is %q; the change is for team %q", file.Team, change.Team)
	case current.Revision != change.Base:
		v.Outcome = Conflict
		v.Reason = fmt.Sprintf("edited from revision %d; revision %d by %s is in force", change.Base, current.Revision, current.Author)
	default:
		v.Outcome, v.Reason = s.accept(change, offset, file)
	}
	s.addVerdict(v)
	return v
}

func (s *State) accept(change Change, offset ident.Offset, file *File) (Outcome, string) {
	if conflicts := s.conflictingNames(file); len(conflicts) > 0 {
		return Refused, "names that other teams hold: " + strings.Join(conflicts, ", ")
	}
	s.Teams[change.Team] = Entry{Revision: ident.Revision(offset), Author: change.Author, Text: change.Text, File: file}
	return Accepted, ""
}

func (s *State) conflictingNames(file *File) []string {
	var conflicts []string
	for team, entry := range s.Teams {
		if team == file.Team {
			continue
		}
		conflicts = append(conflicts, commonNames(file, entry.File)...)
	}
	slices.Sort(conflicts)
	return conflicts
}

func commonNames(a, b *File) []string {
	names := map[string]bool{}
	for _, name := range b.names() {
		names[name] = true
	}
	var common []string
	for _, name := range a.names() {
		if names[name] {
			common = append(common, name)
		}
	}
	return common
}

func (f *File) names() []string {
	var names []string
	for _, s := range f.Services {
		names = append(names, "service "+string(s.Name))
	}
	for _, t := range f.Trainers {
		names = append(names, "trainer "+string(t.Name))
	}
	for _, l := range f.Limits {
		names = append(names, "class "+string(l.Class))
	}
	return names
}

func (s *State) addVerdict(v Verdict) {
	s.Verdicts = append(s.Verdicts, v)
	if n := len(s.Verdicts); n > maxVerdicts {
		s.Verdicts = slices.Clone(s.Verdicts[n-maxVerdicts:])
	}
}

// Service returns the service of that name that is in force.
func (s *State) Service(name ident.Service) (Service, bool) {
	for _, entry := range s.Teams {
		for _, service := range entry.File.Services {
			if service.Name == name {
				return service, true
			}
		}
	}
	return Service{}, false
}

// Trainer returns the trainer of that name that is in force.
func (s *State) Trainer(name ident.Trainer) (Trainer, bool) {
	for _, entry := range s.Teams {
		for _, trainer := range entry.File.Trainers {
			if trainer.Name == name {
				return trainer, true
			}
		}
	}
	return Trainer{}, false
}

// Trainers returns the trainers in force, sorted by name.
func (s *State) Trainers() []Trainer {
	var list []Trainer
	for _, entry := range s.Teams {
		list = append(list, entry.File.Trainers...)
	}
	slices.SortFunc(list, func(a, b Trainer) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list
}

// Limit returns the limit of a class of callers that is in force.
func (s *State) Limit(class ident.Class) (Limit, bool) {
	for _, entry := range s.Teams {
		for _, limit := range entry.File.Limits {
			if limit.Class == class {
				return limit, true
			}
		}
	}
	return Limit{}, false
}

// changeWire and the types below are JSON forms: the field names are the names in JSON.
type changeWire struct {
	ID   string
	Team string
	Base int64
	By   string
	Text json.RawMessage
}

type stateWire struct {
	Teams    []entryWire
	Verdicts []VerdictWire
}

type entryWire struct {
	Team     string
	Revision int64
	By       string
	Text     json.RawMessage
}

// VerdictWire is the JSON form of a Verdict; the field names are the names in JSON.
type VerdictWire struct {
	ID       string
	Team     string
	Revision int64
	At       int64
	By       string
	Outcome  string
	Reason   string
}

// EncodeChange returns the JSON form of a change.
func EncodeChange(c Change) ([]byte, error) {
	return json.Marshal(changeWire{ID: string(c.ID), Team: string(c.Team), Base: int64(c.Base), By: c.Author, Text: c.Text})
}

// DecodeChange decodes the JSON form of a change. Its errors have the kind Corrupt.
func DecodeChange(data []byte) (Change, error) {
	var w changeWire
	if err := json.Unmarshal(data, &w); err != nil {
		return Change{}, corrupt("conf.DecodeChange", err)
	}
	return Change{ID: ident.RecordID(w.ID), Team: ident.Team(w.Team), Base: ident.Revision(w.Base), Author: w.By, Text: w.Text}, nil
}

// VerdictToWire converts a verdict to its JSON form.
func VerdictToWire(v Verdict) VerdictWire {
	return VerdictWire{
		ID: string(v.ID), Team: string(v.Team), Revision: int64(v.Revision), At: int64(v.At),
		By: v.Author, Outcome: string(v.Outcome), Reason: v.Reason,
	}
}

func verdictFromWire(w VerdictWire) Verdict {
	return Verdict{
		ID: ident.RecordID(w.ID), Team: ident.Team(w.Team), Revision: ident.Revision(w.Revision), At: clock.Millis(w.At),
		Author: w.By, Outcome: Outcome(w.Outcome), Reason: w.Reason,
	}
}

// EncodeState returns the JSON form of a state, for checkpoints.
func EncodeState(s *State) ([]byte, error) {
	var w stateWire
	for team, e := range s.Teams {
		w.Teams = append(w.Teams, entryWire{Team: string(team), Revision: int64(e.Revision), By: e.Author, Text: e.Text})
	}
	slices.SortFunc(w.Teams, func(a, b entryWire) int { return strings.Compare(a.Team, b.Team) })
	for _, v := range s.Verdicts {
		w.Verdicts = append(w.Verdicts, VerdictToWire(v))
	}
	return json.Marshal(w)
}

// DecodeState decodes the JSON form of a state. Its errors have the kind Corrupt.
func DecodeState(data []byte) (*State, error) {
	var w stateWire
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, corrupt("conf.DecodeState", err)
	}
	s := NewState()
	for _, e := range w.Teams {
		file, err := Parse(e.Text)
		if err != nil {
			return nil, corrupt("conf.DecodeState", err)
		}
		s.Teams[ident.Team(e.Team)] = Entry{Revision: ident.Revision(e.Revision), Author: e.By, Text: e.Text, File: file}
	}
	for _, v := range w.Verdicts {
		s.Verdicts = append(s.Verdicts, verdictFromWire(v))
	}
	return s, nil
}
