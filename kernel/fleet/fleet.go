// Package fleet tracks the instances and backend servers in the platform's member list,
// and the members that announced that they are leaving before the list shows it.
package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/plug"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Unavailable means that the member list could not be read.
	Unavailable Kind = "Unavailable"
	// Unchanged means that the list has not changed since the last read.
	Unchanged Kind = "Unchanged"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// MemberKind is the role of a member: an entry instance or a backend server.
type MemberKind string

// Kinds of members.
const (
	Entry   MemberKind = "Entry"
	Backend MemberKind = "Backend"
)

// MemberState is the state of a member in the list.
type MemberState string

// States of members.
const (
	Live    MemberState = "Live"
	Leaving MemberState = "Leaving"
)

// Member is one entry of the list.
type Member struct {
	// Name is an ident.InstanceName or an ident.BackendName.
	Name    string
	Kind    MemberKind
	Service ident.Service
	Zone    ident.Zone
	// Address serves callers' requests.
	Address ident.Address
	// Peer serves calls from other instances; only entry instances have it.
	Peer ident.Address
	// Admin serves administrative requests.
	Admin ident.Address
	State MemberState
	// Slots is the number of requests that a backend server runs concurrently; 0 if
	// unknown.
	Slots int
	// Spot is true if the platform may withdraw the server at short notice.
	Spot bool
	// Versions holds the weight version of each model that an engine reports.
	Versions map[ident.Model]ident.Version
}

// Directory reads the platform's member list.
type Directory interface {
	// Connect sets the address of the list.
	Connect(address ident.Address)
	// List returns all members, or an error of kind Unavailable or Unchanged.
	List(ctx context.Context) ([]Member, error)
}

// Directories holds the Directory implementations by their name in the settings.
var Directories plug.Registry[Directory]

// View is an immutable snapshot of the members, each list sorted by name.
type View struct {
	Entries  []Member
	Backends map[ident.Service][]Member
}

// Table holds the latest view of the list. Set the exported fields before Run. The view
// and the leaving marks may be used from any goroutine; mu guards the marks.
type Table struct {
	Directory Directory
	Clock     *clock.Clock
	// Period is the interval between reads of the list.
	Period clock.Millis

	mu sync.Mutex
	// leaving holds when MarkLeaving was last called, by member name.
	leaving map[string]clock.Millis
	view    atomic.Pointer[View]
}

const (
	listTimeout = 2 * clock.Second
	// leavingMarkTTL is how long a leaving mark lasts. A server that does not leave is
	// used again afterwards.
	leavingMarkTTL = 30 * clock.Second
)

// View returns the latest view; it is never nil.
func (t *Table) View() *View {
	if v := t.view.Load(); v != nil {
		return v
	}
	return &View{Backends: map[ident.Service][]Member{}}
}

// Run refreshes the view every Period until ctx is done. The last view stays in use
// while the list cannot be read.
func (t *Table) Run(ctx context.Context) {
	for {
		t.Refresh(ctx)
		if !t.Clock.Sleep(ctx, t.Period) {
			return
		}
	}
}

// Refresh reads the list once. It keeps the last view if the list is unchanged or the read
// fails.
func (t *Table) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Duration())
	defer cancel()
	members, err := t.Directory.List(ctx)
	if err == nil {
		t.Set(members)
	}
}

// Set replaces all members. It sorts the slice in place.
func (t *Table) Set(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	view := &View{Backends: map[ident.Service][]Member{}}
	for _, m := range members {
		if m.Kind == Entry {
			view.Entries = append(view.Entries, m)
		} else {
			view.Backends[m.Service] = append(view.Backends[m.Service], m)
		}
	}
	t.view.Store(view)
}

// MarkLeaving records that a member announced that it is leaving; the list shows this
// only later.
func (t *Table) MarkLeaving(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving == nil {
		t.leaving = map[string]clock.Millis{}
	}
	t.leaving[name] = t.Clock.Mono()
}

// MarkedLeaving reports whether MarkLeaving was called for the member within
// leavingMarkTTL.
func (t *Table) MarkedLeaving(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	markedAt, ok := t.leaving[name]
	if ok && t.Clock.Mono()-markedAt > leavingMarkTTL {
		delete(t.leaving, name)
		return false
	}
	return ok
}

// Entry returns the entry instance with the given name, and whether it exists.
func (v *View) Entry(name ident.InstanceName) (Member, bool) {
	for _, m := range v.Entries {
		if m.Name == string(name) {
			return m, true
		}
	}
	return Member{}, false
}
