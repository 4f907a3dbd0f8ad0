// Package fault gives the errors of all packages one shape: an operation, a kind, what was
// wrong and what the reader should do about it.
package fault

import (
	"strings"

	"github.com/rotisserie/eris"

	"croftmoor.dev/kernel/clock"
)

// Error is an error with an operation and a kind. K is the type of one package's kinds.
type Error[K ~string] struct {
	// Op is the operation that failed, such as "tail.Append".
	Op string
	// Kind is the class of the failure, on which callers decide.
	Kind K
	// What says what was wrong and where.
	What string
	// Do says what the reader should do; it may be empty.
	Do string
	// RetryAfter is how long to wait before a retry; 0 means unspecified.
	RetryAfter clock.Millis
	// Err is the cause; it may be nil.
	Err error
}

// New returns an error without a cause.
func New[K ~string](op string, kind K, what string) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, What: what}
}

// Wrap returns an error with a cause. It keeps the cause's stack trace through eris.
func Wrap[K ~string](op string, kind K, err error, what string) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, What: what, Err: eris.Wrap(err, op)}
}

// Error joins Op, Kind, What, the root cause and Do.
func (e *Error[K]) Error() string {
	var text strings.Builder
	text.WriteString(e.Op + ": " + string(e.Kind))
	if e.What != "" {
		text.WriteString(": " + e.What)
	}
	if e.Err != nil {
		text.WriteString(": " + eris.Cause(e.Err).Error())
	}
	if e.Do != "" {
		text.WriteString(" (" + e.Do + ")")
	}
	return text.String()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error {
	return e.Err
}

// KindOf returns the kind of the first Error[K] in err's chain, or "".
func KindOf[K ~string](err error) K {
	var target *Error[K]
	if eris.As(err, &target) {
		return target.Kind
	}
	return ""
}

// RetryAfterOf returns the RetryAfter of the first Error[K] in err's chain, or 0.
func RetryAfterOf[K ~string](err error) clock.Millis {
	var target *Error[K]
	if eris.As(err, &target) {
		return target.RetryAfter
	}
	return 0
}
