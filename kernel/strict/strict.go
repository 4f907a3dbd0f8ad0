// Package strict parses JSON objects strictly: an unknown, repeated, missing or mistyped field
// is a problem that names its path, its value and what is allowed.
package strict

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"croftmoor.dev/kernel/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Syntax means that the text is not JSON.
	Syntax Kind = "Syntax"
	// Invalid means that fields were refused.
	Invalid Kind = "Invalid"
)

// Problem is one refused field. Path is its JSON path, such as $.Team; Value is its value or
// what is wrong with it.
type Problem struct {
	Path    string
	Value   string
	Allowed string
}

// Problems collects the problems of one file.
type Problems struct {
	list []Problem
}

// Object is a JSON object that is being read. RefuseUnknown refuses the fields that were not
// requested.
type Object struct {
	problems  *Problems
	path      string
	fields    map[string]json.RawMessage
	requested map[string]bool
}

// Parse reads data as one JSON object. Invalid JSON is a Syntax error; a JSON value that is
// not an object is a problem.
func Parse(data []byte) (*Problems, *Object, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	var raw json.RawMessage
	if err := decoder.Decode(&raw); err != nil {
		return nil, nil, fault.Wrap("strict.Parse", Syntax, err, "not a JSON object")
	}
	if decoder.More() {
		return nil, nil, fault.New("strict.Parse", Syntax, "text after the end of the JSON object")
	}
	problems := &Problems{}
	return problems, problems.readObject("$", raw), nil
}

// Add records a problem that a caller found in a value.
func (p *Problems) Add(path, value, allowed string) {
	p.list = append(p.list, Problem{Path: path, Value: value, Allowed: allowed})
}

// Err returns an Invalid error of operation op that lists all problems, or nil.
func (p *Problems) Err(op string) error {
	if len(p.list) == 0 {
		return nil
	}
	lines := make([]string, 0, len(p.list))
	for _, problem := range p.list {
		lines = append(lines, fmt.Sprintf("%s is %s; allowed: %s", problem.Path, problem.Value, problem.Allowed))
	}
	err := fault.New(op, Invalid, strings.Join(lines, "; "))
	err.Do = "correct the fields and apply the file again; nothing was changed"
	return err
}

func (p *Problems) readObject(path string, raw json.RawMessage) *Object {
	object := &Object{problems: p, path: path, fields: map[string]json.RawMessage{}, requested: map[string]bool{}}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	open, err := decoder.Token()
	if err != nil || open != json.Delim('{') {
		p.Add(path, truncate(raw), "an object")
		return object
	}
	for decoder.More() {
		token, _ := decoder.Token()
		name, _ := token.(string)
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			p.Add(path+"."+name, "unreadable", "a JSON value")
			return object
		}
		if _, ok := object.fields[name]; ok {
			p.Add(path+"."+name, "given twice", "one value")
		}
		object.fields[name] = value
	}
	return object
}

// Path returns the path of a field, for problems that a caller adds.
func (o *Object) Path(name string) string {
	return o.path + "." + name
}

// Has reports whether the field is present.
func (o *Object) Has(name string) bool {
	_, ok := o.fields[name]
	return ok
}

// lookup returns a field and marks it as requested.
func (o *Object) lookup(name string) (json.RawMessage, bool) {
	o.requested[name] = true
	raw, ok := o.fields[name]
	return raw, ok
}

// String reads a string; an absent one is "". A required one must be present and not empty.
func (o *Object) String(name string, required bool) string {
	raw, ok := o.lookup(name)
	if !ok {
		if required {
			o.problems.Add(o.Path(name), "missing", "a text")
		}
		return ""
	}
	var value string
	if err := json.Unmarshal(raw, &value); err != nil || (required && value == "") {
		o.problems.Add(o.Path(name), truncate(raw), "a text that is not empty")
	}
	return value
}

// Choice reads a string that must be one of allowed. An absent one is fallback; without a
// fallback the field is required.
func (o *Object) Choice(name, fallback string, allowed ...string) string {
	if !o.Has(name) && fallback != "" {
		return fallback
	}
	value := o.String(name, true)
	if value != "" && !slices.Contains(allowed, value) {
		o.problems.Add(o.Path(name), fmt.Sprintf("%q", value), strings.Join(allowed, ", "))
	}
	return value
}

// Int reads an integer from low to high, both included; an absent one is fallback.
func (o *Object) Int(name string, fallback, low, high int64) int64 {
	raw, ok := o.lookup(name)
	if !ok {
		return fallback
	}
	var value int64
	if err := json.Unmarshal(raw, &value); err != nil || value < low || value > high {
		o.problems.Add(o.Path(name), truncate(raw), fmt.Sprintf("a whole number from %d to %d", low, high))
		return fallback
	}
	return value
}

// Float reads a number from low to high, both included; an absent one is fallback.
func (o *Object) Float(name string, fallback, low, high float64) float64 {
	raw, ok := o.lookup(name)
	if !ok {
		return fallback
	}
	var value float64
	if err := json.Unmarshal(raw, &value); err != nil || value < low || value > high {
		o.problems.Add(o.Path(name), truncate(raw), fmt.Sprintf("a number from %g to %g", low, high))
		return fallback
	}
	return value
}

// Bool reads a boolean; an absent one is fallback.
func (o *Object) Bool(name string, fallback bool) bool {
	raw, ok := o.lookup(name)
	if !ok {
		return fallback
	}
	var value bool
	if err := json.Unmarshal(raw, &value); err != nil {
		o.problems.Add(o.Path(name), truncate(raw), "true or false")
	}
	return value
}

// Object reads an object; an absent one is empty.
func (o *Object) Object(name string) *Object {
	raw, ok := o.lookup(name)
	if !ok {
		raw = json.RawMessage("{}")
	}
	return o.problems.readObject(o.Path(name), raw)
}

// Objects reads a list of objects; an absent one is empty.
func (o *Object) Objects(name string) []*Object {
	raw, ok := o.lookup(name)
	if !ok {
		return nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		o.problems.Add(o.Path(name), truncate(raw), "a list of objects")
		return nil
	}
	objects := make([]*Object, 0, len(items))
	for i, item := range items {
		objects = append(objects, o.problems.readObject(fmt.Sprintf("%s[%d]", o.Path(name), i), item))
	}
	return objects
}

// RefuseUnknown adds a problem for each field that was not requested, in no particular order.
func (o *Object) RefuseUnknown() {
	known := make([]string, 0, len(o.requested))
	for name := range o.requested {
		known = append(known, name)
	}
	slices.Sort(known)
	for name, raw := range o.fields {
		if !o.requested[name] {
			o.problems.Add(o.Path(name), truncate(raw)+", an unknown field", strings.Join(known, ", "))
		}
	}
}

// maxShownBytes bounds how much of a refused value a problem shows.
const maxShownBytes = 60

func truncate(raw json.RawMessage) string {
	text := string(raw)
	if len(text) > maxShownBytes {
		return text[:maxShownBytes] + "..."
	}
	return text
}

// Strings reads a list of strings; an absent one is empty.
func (o *Object) Strings(name string) []string {
	raw, ok := o.lookup(name)
	if !ok {
		return nil
	}
	var items []string
	if err := json.Unmarshal(raw, &items); err != nil {
		o.problems.Add(o.Path(name), truncate(raw), "a list of texts")
	}
	return items
}
