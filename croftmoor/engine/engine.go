// Package engine is the boundary to model engines: what croftmoor asks of one,
// and the protocols that carry it.
package engine

import (
	"context"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/plug"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// NotRun means that the engine certainly did not start the work.
	NotRun Kind = "NotRun"
	// Broken means that the stream ended before its end mark, or is not the
	// answer to this request.
	Broken Kind = "Broken"
	// OldFence means that the engine has obeyed a newer fencing number.
	OldFence Kind = "OldFence"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Completion asks for generated text.
type Completion struct {
	ID        ident.RequestID
	Adapter   ident.Trainer
	Prompt    string
	Seed      string
	MaxTokens ident.Tokens
	Priority  int
	// ResumeFrom is how many tokens of the answer the receiver already has.
	ResumeFrom ident.Tokens
}

// Event is a part of an answer.
type Event struct {
	ID      ident.RequestID
	Index   ident.Tokens
	Tokens  ident.Tokens
	Version ident.Version
	Text    string
	// Done marks the end; Total is then the length of the whole answer.
	Done  bool
	Total ident.Tokens
}

// Events is an answer as it comes.
type Events interface {
	// Next returns the next part.
	Next() (Event, error)
	// Close ends the answer; the engine stops working on it.
	Close()
}

// Order asks an engine to run a version of an adapter.
type Order struct {
	Fence   ident.Fence
	Adapter ident.Trainer
	Version ident.Version
}

// Protocol speaks to engines.
type Protocol interface {
	pool.Reporter
	Complete(ctx context.Context, address ident.Address, c Completion) (Events, error)
	Execute(ctx context.Context, address ident.Address, order Order) error
	// TransferState takes the state of a request that runs at from over to another
	// engine, so that the rest of its answer needs no prefill there.
	TransferState(ctx context.Context, from, to ident.Address, id ident.RequestID) error
}

// Protocols holds the protocols by the name that settings use.
var Protocols plug.Registry[Protocol]
