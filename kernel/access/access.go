// Package access determines the organisation of a request from its key, its route and the
// configuration in force. It does no I/O.
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
	// Invalid means that the list of organisations is invalid and was rejected as a whole.
	Invalid Kind = "Invalid"
	// Denied means that no organisation of the configuration in force has the key.
	Denied Kind = "Denied"
	// Unsure means that the key is unknown, but the configuration may be outdated and a newer
	// one may have the key.
	Unsure Kind = "Unsure"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// MaxConfigAge is the age of the configuration up to which an unknown key is denied; beyond
// it the error is Unsure. Instances refresh the configuration about once a second.
const MaxConfigAge = 1500 * clock.Millis(1)

// Organisation is one customer of the platform with its valid keys.
type Organisation struct {
	Name ident.Organisation
	Keys []ident.Key
	// Priority is the priority of its requests, 0 is the highest. If HasPriority is set, it
	// overrides the route's priority.
	Priority    int
	HasPriority bool
}

// Directory holds the organisations of one configuration. It is immutable. A nil Directory
// stands for a configuration without organisations, which allows every request.
type Directory struct {
	byKey  map[ident.Key]*Organisation
	byName map[ident.Organisation]*Organisation
}

// NewDirectory returns the directory of a list. It rejects the whole list if a name is empty
// or repeated, or if a key is empty or belongs to two organisations.
func NewDirectory(list []Organisation) (*Directory, error) {
	d := &Directory{byKey: map[ident.Key]*Organisation{}, byName: map[ident.Organisation]*Organisation{}}
	for n := range list {
		o := &list[n]
		if o.Name == "" || d.byName[o.Name] != nil {
			return nil, invalid(fmt.Sprintf("organisation %d has an empty or repeated name %q", n, o.Name))
		}
		d.byName[o.Name] = o
		for k, key := range o.Keys {
			if holder := d.byKey[key]; key == "" || (holder != nil && holder != o) {
				return nil, invalid(fmt.Sprintf("key %d of organisation %s is empty or belongs to another organisation", k, o.Name))
			}
			d.byKey[key] = o
		}
	}
	return d, nil
}

func invalid(reason string) error {
	err := fault.New("access.NewDirectory", Invalid, reason)
	err.Do = "give each organisation a unique name and unique keys; the configuration in force is unchanged"
	return err
}

// Len returns the number of organisations.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// Query is what is known of a request and of the configuration at this instance.
type Query struct {
	// Key is the request's key; it may be empty.
	Key ident.Key
	// Public is whether the route accepts requests without a valid key.
	Public bool
	// ConfigAge is the time since the configuration was last known to be current.
	ConfigAge clock.Millis
}

// Authenticate returns the organisation of a request. The name is empty if the configuration
// has no organisations, or if the route is public and no organisation has the key. Errors
// have the kind Denied or Unsure.
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
		return "", fault.New("access.Authenticate", Denied, "the request carries no key and its route is not public")
	case q.ConfigAge > MaxConfigAge:
		return "", fault.New("access.Authenticate", Unsure, fmt.Sprintf("the key is not known here, and the configuration was last current %d ms ago", q.ConfigAge))
	default:
		return "", fault.New("access.Authenticate", Denied, "no organisation has this key")
	}
}

// Priority returns the priority of an organisation's request: the organisation's own
// priority, or routePriority if it has none.
func (d *Directory) Priority(name ident.Organisation, routePriority int) int {
	if d == nil || d.byName[name] == nil || !d.byName[name].HasPriority {
		return routePriority
	}
	return d.byName[name].Priority
}

// Allows reports whether a caller of one organisation may read and cancel a job of another.
// Everyone may access a job without an owner.
func Allows(caller, owner ident.Organisation) bool {
	return owner == "" || caller == owner
}
