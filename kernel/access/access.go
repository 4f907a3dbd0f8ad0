// Package access decides which organisation a request belongs to: from the key that
// it carries, the route that it takes and the configuration in force. It does no I/O.
package access

import (
	"fmt"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Invalid means that a list of organisations was refused; nothing of it is used.
	Invalid Kind = "Invalid"
	// Denied means that no organisation of the configuration in force has the key.
	Denied Kind = "Denied"
	// Unsure means that the key is not known here, but that it may be in force: the
	// configuration is not known to be current.
	Unsure Kind = "Unsure"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// MaxConfigAge is the age of the configuration up to which an unknown key is denied.
// The configuration is asked for anew each second, so that a healthy instance stays
// below it; one that the log turns away reads it through others within 2 s, and
// answers that it can't tell meanwhile.
const MaxConfigAge = 1500 * clock.Millis(1)

// Organisation is one customer of the platform, with the keys in force.
type Organisation struct {
	Name ident.Organisation
	Keys []ident.Key
	// Priority is the rank of its requests, 0 first; it comes before the route's. It
	// counts if Ranked is set.
	Priority int
	HasPriority bool
}

// Directory is the organisations of one configuration. It is not changed once
// made. A nil directory is that of a configuration without organisations: every
// request is allowed.
type Directory struct {
	byKey  map[ident.Key]*Organisation
	byName map[ident.Organisation]*Organisation
}

// NewDirectory returns the directory of a list. A list that names an organisation
// twice or not at all, or gives a key to two of them, is refused whole: whose
// requests would run is not to be guessed.
func NewDirectory(list []Organisation) (*Directory, error) {
	d := &Directory{byKey: map[ident.Key]*Organisation{}, byName: map[ident.Organisation]*Organisation{}}
	for n := range list {
		o := &list[n]
		if o.Name == "" || d.byName[o.Name] != nil {
			return nil, invalid(fmt.Sprintf("organisation %d has no name, or the name %q that came before", n, o.Name))
		}
		d.byName[o.Name] = o
		for k, key := range o.Keys {
			if holder := d.byKey[key]; key == "" || (holder != nil && holder != o) {
				return nil, invalid(fmt.Sprintf("key %d of organisation %s is empty, or another organisation has it", k, o.Name))
			}
			d.byKey[key] = o
		}
	}
	return d, nil
}

func invalid(what string) error {
	err := fault.New("access.NewDirectory", Invalid, what)
	err.Do = "give each organisation a name and keys of its own; the configuration in force stays"
	return err
}

// Len returns how many organisations there are.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// Query is what a request shows of itself, and what is known where it arrived.
type Query struct {
	// Key may be empty.
	Key ident.Key
	// Public tells that its route takes requests without a key.
	Public bool
	// ConfigAge is how long ago the configuration was last known to be current.
	ConfigAge clock.Millis
}

// Authenticate returns the organisation that a request belongs to; it is empty where the
// configuration has no organisations, and for a public request without a key that
// is in force.
func (d *Directory) Authenticate(q Query) (ident.Organisation, error) {
	if d == nil {
		return "", nil
	}
	if o := d.byKey[q.Key]; o != nil {
		return o.Name, nil
	}
	switch {
	case q.Public:
		return "", nil
	case q.Key == "":
		return "", fault.New("access.Decide", Denied, "the request carries no key and its route is not public")
	case q.ConfigAge > MaxConfigAge:
		return "", fault.New("access.Decide", Unsure, fmt.Sprintf("the key is not known here, and the configuration was last current %d ms ago", q.ConfigAge))
	default:
		return "", fault.New("access.Decide", Denied, "no organisation has this key")
	}
}

// Priority returns the rank of a request of an organisation by a route of the given
// rank: the organisation's own comes first.
func (d *Directory) Priority(name ident.Organisation, route int) int {
	if d == nil || d.byName[name] == nil || !d.byName[name].HasPriority {
		return route
	}
	return d.byName[name].Priority
}

// Allows tells whether a caller of one organisation may see and end the job of
// another one. A job of nobody is everybody's.
func Allows(caller, owner ident.Organisation) bool {
	return owner == "" || caller == owner
}
