// Package client is an HTTP client for the administration API of entry instances.
package client

import (
	"context"
	"encoding/json"
	"net/http"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package: Unreachable and the kinds of the API's
// refusals.
type Kind string

// Kinds of errors.
const (
	// Unreachable means that no instance could be connected to; the request was not sent.
	Unreachable Kind = "Unreachable"
	// NotRun means that the request had no effect.
	NotRun Kind = "NotRun"
	// OutcomeUnknown means that the request may have had its effect.
	OutcomeUnknown Kind = "OutcomeUnknown"
	// Invalid means that the request or its answer is not valid.
	Invalid Kind = "Invalid"
	// Denied means that the token does not allow the request.
	Denied Kind = "Denied"
	// Conflict means that another change was made since the revision that the request is
	// based on.
	Conflict Kind = "Conflict"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Client sends requests to the instances in Admins, in this order, until one can be
// connected to. Set the fields before use.
type Client struct {
	Admins []ident.Address
	Token  string

	http httpc.Client
}

const callTimeout = 12 * clock.Second

// refusalWire is the JSON form of a refusal.
type refusalWire struct {
	Kind string
	What string
	Do   string
}

// Get reads JSON from the first instance that can be connected to.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	var last error
	for _, admin := range c.Admins {
		if last = c.GetFrom(ctx, admin, path, into); fault.KindOf[Kind](last) != Unreachable {
			return last
		}
	}
	return last
}

// GetFrom reads JSON from one instance.
func (c *Client) GetFrom(ctx context.Context, admin ident.Address, path string, into any) error {
	return c.call(ctx, &httpc.Call{Address: admin, Method: http.MethodGet, Path: path}, into)
}

// Post sends JSON to the first instance that can be connected to. A request whose answer
// was lost is not sent to another instance, as it may have had its effect; Post returns
// OutcomeUnknown.
func (c *Client) Post(ctx context.Context, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fault.Wrap("client.Post", Invalid, err, "unencodable request")
	}
	var last error
	for _, admin := range c.Admins {
		last = c.call(ctx, &httpc.Call{Address: admin, Method: http.MethodPost, Path: path, Body: data, FreshConn: true}, into)
		if fault.KindOf[Kind](last) != Unreachable {
			return last
		}
	}
	return last
}

func (c *Client) call(ctx context.Context, call *httpc.Call, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if c.Token != "" {
		call.Headers = append(call.Headers, httpc.Header{Name: "Authorization", Value: "Bearer " + c.Token})
	}
	answer, err := c.http.Do(ctx, call)
	if fault.KindOf[httpc.Kind](err) == httpc.NotSent {
		e := fault.Wrap("client.call", Unreachable, err, "cannot connect to the instance at "+string(call.Address))
		e.Do = "check --admin and that the instance is running"
		return e
	}
	if err != nil {
		return fault.Wrap("client.call", OutcomeUnknown, err, "the answer from "+string(call.Address)+" was not received completely")
	}
	if answer.Status < http.StatusMultipleChoices {
		return decode(answer.Body, into)
	}
	var w refusalWire
	if json.Unmarshal(answer.Body, &w) != nil || w.Kind == "" {
		return fault.New("client.call", Invalid, string(call.Address)+" answered "+http.StatusText(answer.Status))
	}
	return &Error{Op: "croftctl", Kind: Kind(w.Kind), What: w.What, Do: w.Do}
}

func decode(body []byte, into any) error {
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fault.Wrap("client.decode", Invalid, err, "the answer is not valid JSON of the expected form")
	}
	return nil
}
