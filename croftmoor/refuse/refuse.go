// Package refuse defines the errors that callers of the platform receive.
package refuse

import (
	"github.com/rotisserie/eris"

	"croftmoor.dev/kernel/clock"
)

// Kind classifies a refusal.
type Kind string

// Kinds of refusals.
const (
	// NotRun means that the work did not run, so a retry is safe.
	NotRun Kind = "NotRun"
	// OutcomeUnknown means that the work may have run.
	OutcomeUnknown Kind = "OutcomeUnknown"
	// Late means that repeatable work was aborted at its deadline.
	Late Kind = "Late"
	// Invalid means that the request is invalid.
	Invalid Kind = "Invalid"
	// StepUnknown means that this instance does not know the step; the trainer opens it again.
	StepUnknown Kind = "StepUnknown"
	// Denied means that the credentials do not allow the request.
	Denied Kind = "Denied"
)

// Error is a refusal: Op is the operation, What the reason and Do the remedy.
type Error struct {
	Op   string
	Kind Kind
	What string
	Do   string
	// RetryAfter is the retry delay; 0 if it is not known.
	RetryAfter clock.Millis
	Err        error
}

// Error returns operation, kind, reason and cause, separated by colons.
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

// After returns a refusal that asks the caller to retry after a delay.
func After(op string, kind Kind, what string, retry clock.Millis) *Error {
	return &Error{Op: op, Kind: kind, What: what, Do: "ask again after RetryAfterMillis", RetryAfter: retry}
}

// Of returns the refusal that err is or wraps. Any other error becomes the cause of a refusal
// of kind OutcomeUnknown.
func Of(err error) *Error {
	var refusal *Error
	if eris.As(err, &refusal) {
		return refusal
	}
	return &Error{Op: "croftmoor", Kind: OutcomeUnknown, What: "the request failed", Do: "find out before asking again", Err: err}
}
