// Package refuse is the answers other than success that a caller can get.
package refuse

import (
	"github.com/rotisserie/eris"

	"croftmoor.dev/kernel/clock"
)

// Kind classifies a refusal towards a caller.
type Kind string

// Kinds of refusals.
const (
	// NotRun means that the work certainly did not run.
	NotRun Kind = "NotRun"
	// OutcomeUnknown means that the work may have run.
	OutcomeUnknown Kind = "OutcomeUnknown"
	// Late means that repeatable work was given up at its deadline.
	Late Kind = "Late"
	// Invalid means that the request itself is at fault.
	Invalid Kind = "Invalid"
	// StepUnknown tells a trainer to open its step again.
	StepUnknown Kind = "StepUnknown"
	// Denied means that the credentials don't allow the request.
	Denied Kind = "Denied"
)

// Error is a refusal with its reason and remedy.
type Error struct {
	Op   string
	Kind Kind
	What string
	Do   string
	// RetryAfter is when to come back; 0 says nothing.
	RetryAfter clock.Millis
	Err        error
}

// Error joins the parts.
func (e *Error) Error() string {
	text := e.Op + ": " + string(e.Kind) + ": " + e.What
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// New returns a refusal.
func New(op string, kind Kind, what, do string) *Error {
	return &Error{Op: op, Kind: kind, What: what, Do: do}
}

// After returns a refusal that tells when to come back.
func After(op string, kind Kind, what string, retry clock.Millis) *Error {
	return &Error{Op: op, Kind: kind, What: what, Do: "ask again after RetryAfterMillis", RetryAfter: retry}
}

// Of returns err as a refusal; an error of another type counts as OutcomeUnknown.
func Of(err error) *Error {
	var refusal *Error
	if eris.As(err, &refusal) {
		return refusal
	}
	return &Error{Op: "croftmoor", Kind: OutcomeUnknown, What: "the request failed", Do: "find out before asking again", Err: err}
}
