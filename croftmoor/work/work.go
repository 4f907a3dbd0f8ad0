// Package work defines the items of batch jobs and their stored form.
package work

import (
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Corrupt marks an item that could not be encoded or decoded.
const Corrupt Kind = "Corrupt"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Reward is the HTTP call that scores a text.
type Reward struct {
	ID   ident.RequestID
	Host string
	Path string
	Body []byte
}

// Item is the request that runs on an engine, and the call that scores its text.
type Item struct {
	ID      ident.Item
	Group   ident.Group
	Expect  ident.Tokens
	Host    string
	Path    string
	Headers []httpc.Header
	Body    []byte
	// Reward is nil if the text is not scored.
	Reward *Reward
	// Organisation owns the item. Priority is its rank: lower numbers come first, from 0.
	// Both come from the job and the configuration when the item runs, and are not stored
	// with it.
	Organisation ident.Organisation
	Priority     int
}
