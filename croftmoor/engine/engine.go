// Package engine defines the protocol between croftmoor and model engines, and
// implements it over HTTP with server-sent events.
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
	// NotRun means that the engine has certainly not started the request.
	NotRun Kind = "NotRun"
	// Broken means that a call failed and the engine may have executed it, or that
	// a stream is invalid or ended before its Done event.
	Broken Kind = "Broken"
	// OldFence means that the engine has executed an order with a higher fencing
	// token.
	OldFence Kind = "OldFence"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Completion is a completion request.
type Completion struct {
	ID        ident.RequestID
	Adapter   ident.Trainer
	Prompt    string
	Seed      string
	MaxTokens ident.Tokens
	Priority  int
	// ResumeFrom is the number of leading tokens of the answer that the receiver
	// already has. The engine streams the tokens after them.
	ResumeFrom ident.Tokens
}

// Event is one event of a completion stream.
type Event struct {
	ID ident.RequestID
	// Index is the position of the event's first token in the answer.
	Index ident.Tokens
	// Tokens is the number of tokens in Text.
	Tokens ident.Tokens
	// Version is the adapter version that generated the tokens.
	Version ident.Version
	Text    string
	// Done marks the last event, which carries no tokens. Total is then the length
	// of the answer, including the tokens before ResumeFrom.
	Done  bool
	Total ident.Tokens
}

// Events is a completion stream.
type Events interface {
	// Next returns the next event. A stream that ends without a Done event fails
	// with Broken.
	Next() (Event, error)
	// Close closes the stream. The engine then cancels the request.
	Close()
}

// Order tells an engine to load a version of an adapter. An engine that checks
// fencing tokens refuses a Fence lower than one that it has already executed.
type Order struct {
	Fence   ident.Fence
	Adapter ident.Trainer
	Version ident.Version
}

// Protocol is a client of model engines.
type Protocol interface {
	pool.Reporter
	// Complete starts a completion. It fails with NotRun if the engine has
	// certainly not started it.
	Complete(ctx context.Context, address ident.Address, c Completion) (Events, error)
	// Execute sends an order and waits until the engine has executed it.
	Execute(ctx context.Context, address ident.Address, order Order) error
	// TransferState copies the KV cache of a request that runs at from to the
	// engine at to, which can then continue the answer without a prefill.
	TransferState(ctx context.Context, from, to ident.Address, id ident.RequestID) error
}

// Protocols is the registry of protocols, by their names in the settings.
var Protocols plug.Registry[Protocol]
