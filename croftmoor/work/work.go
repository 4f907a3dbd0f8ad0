// Package work is what batch jobs consist of, and how an item is kept.
package work

import (
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Corrupt means that an item can't be kept, or that a kept one is unreadable.
const Corrupt Kind = "Corrupt"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Reward is the call that scores a text.
type Reward struct {
	ID   ident.RequestID
	Host string
	Path string
	Body []byte
}

// Item is what runs at an engine, and how its text is scored.
type Item struct {
	ID      ident.Item
	Group   ident.Group
	Expect  ident.Tokens
	Host    string
	Path    string
	Headers []httpc.Header
	Body    []byte
	// Reward is nil if texts are not scored.
	Reward *Reward
	// Organisation is whose item it is, and Urgent its rank, 0 first; both come from
	// the job and the configuration when the item runs, and are not kept with it.
	Organisation ident.Organisation
	Priority     int
}
