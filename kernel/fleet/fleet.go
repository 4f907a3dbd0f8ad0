// Package fleet is what the platform's lagging list says of instances and
// backend servers, joined with what croftmoor has seen for itself.
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
	// Unavailable means that the list could not be read.
	Unavailable Kind = "Unavailable"
	// Unchanged means that the list is the one that was read last.
	Unchanged Kind = "Unchanged"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// MemberKind tells an entry instance from a backend server.
type MemberKind string

// Kinds of members.
const (
	Entry   MemberKind = "Entry"
	Backend MemberKind = "Backend"
)

// MemberState is the state that the list gives.
type MemberState string

// States of members.
const (
	Live    MemberState = "Live"
	Leaving MemberState = "Leaving"
)

// Member is one line of the list.
type Member struct {
	// Name is an ident.InstanceName or an ident.BackendName.
	Name    string
	Kind    MemberKind
	Service ident.Service
	Zone    ident.Zone
	// Address takes callers' requests.
	Address ident.Address
	// Peer takes other instances' calls; only entry instances have it.
	Peer  ident.Address
	Admin ident.Address
	State MemberState
	// Slots is how many requests a backend server runs at once; 0 is unknown.
	Slots int
	// Spot tells that the platform may withdraw the server at short notice.
	Spot bool
	// Versions are the weights that a model engine says it runs.
	Versions map[ident.Model]ident.Version
}

// Directory reads the platform's list.
type Directory interface {
	Connect(address ident.Address)
	List(ctx context.Context) ([]Member, error)
}

// Directories holds the list clients by the name that settings use.
var Directories plug.Registry[Directory]

// View is the members at one moment. It is not changed once handed out.
type View struct {
	Entries  []Member
	Backends map[ident.Service][]Member
}

// Table follows the list. Set the exported fields before Run. The marks are
// guarded by mu; View may be called from any goroutine.
type Table struct {
	Directory Directory
	Clock     *clock.Clock
	// Period is the pause between two reads of the list.
	Period clock.Millis

	mu      sync.Mutex
	leaving map[string]clock.Millis
	view    atomic.Pointer[View]
}

const (
	listTimeout = 2 * clock.Second
	// markTerm is how long an own sign of leaving outlives the list's word.
	markTerm = 30 * clock.Second
)

// View returns the newest view; it is never nil.
func (t *Table) View() *View {
	if v := t.view.Load(); v != nil {
		return v
	}
	return &View{Backends: map[ident.Service][]Member{}}
}

// Run reads the list until ctx ends. While the list can't be read, the last
// view stays.
func (t *Table) Run(ctx context.Context) {
	for {
		t.Refresh(ctx)
		if !t.Clock.Sleep(ctx, t.Period) {
			return
		}
	}
}

// Refresh reads the list once.
func (t *Table) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Duration())
	defer cancel()
	members, err := t.Directory.List(ctx)
	if err == nil {
		t.Set(members)
	}
}

// Set replaces the members.
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

// MarkLeaving notes that a member itself said that it is leaving, which the
// list will only say later.
func (t *Table) MarkLeaving(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving == nil {
		t.leaving = map[string]clock.Millis{}
	}
	t.leaving[name] = t.Clock.Mono()
}

// MarkedLeaving tells whether MarkLeaving was called for the member lately.
func (t *Table) MarkedLeaving(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.leaving[name]
	if ok && t.Clock.Mono()-at > markTerm {
		delete(t.leaving, name)
		return false
	}
	return ok
}

// Entry finds an entry instance by name.
func (v *View) Entry(name ident.InstanceName) (Member, bool) {
	for _, m := range v.Entries {
		if m.Name == string(name) {
			return m, true
		}
	}
	return Member{}, false
}
