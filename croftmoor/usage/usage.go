// Package usage counts what organisations use and reports it, once for each window
// of true time. Every instance writes the calls that it saw begin to the ledger, as
// soon as they ended; the holder of the role settles a window's
// sum in the ledger before it reports it, so that a successor reports the same bytes
// and no others.
package usage

import (
	"context"

	"croftmoor.dev/croftmoor/lease"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Fenced means that the platform has seen a higher fencing number.
	Fenced Kind = "Fenced"
	// Refused means that the platform did not take the report.
	Refused Kind = "Refused"
	// Unsure means that the platform may have taken it, or may do so later.
	Unsure Kind = "Unsure"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Report is the use of one window.
type Report struct {
	Holder ident.InstanceName
	Fence  ident.Fence
	Window ident.Window
	Counts []jobs.Count
}

// Platform takes reports. One that comes again changes nothing.
type Platform interface {
	Report(ctx context.Context, r Report) error
}

// Ledger is the shared state as this package uses it.
type Ledger interface {
	lease.Ledger
	Fresh() bool
	// Steady is for how long the log has answered without a gap.
	Steady() clock.Millis
}

// Wall tells true time.
type Wall interface {
	Now() clock.Millis
	At(mono clock.Millis) clock.Millis
}

// Windows counts what becomes of windows; it may be nil.
type Windows interface {
	UsageWindow(event string)
}

// Decisions takes a line for each decision.
type Decisions interface {
	Add(d trail.Decision)
}

// Terms are the platform's terms.
type Terms struct {
	// Window is the length of a window; window k begins k times that after the
	// beginning of 1970.
	Window clock.Millis
	// Due is the time after a window's end until which its report is due.
	Due clock.Millis
}

// at returns the window of a true time.
func (t Terms) at(true clock.Millis) ident.Window { return ident.Window(true / t.Window) }

// end returns the true time at which a window ends.
func (t Terms) end(w ident.Window) clock.Millis { return clock.Millis(w+1) * t.Window }
