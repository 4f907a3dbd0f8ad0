package tail

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

func init() {
	Clients.Register("Http", func() Client { return &httpLog{} })
}

// httpLog is a client of a log service over HTTP with JSON bodies.
type httpLog struct {
	address ident.Address
	client  httpc.Client
}

// appendedWire is the body of the response to an append.
type appendedWire struct {
	Offset int64
}

// batchWire is the body of the response to a read.
type batchWire struct {
	First   int64
	Next    int64
	Records []recordWire
}

type recordWire struct {
	Offset int64
	At     int64
	Data   []byte
}

// Connect sets the log's address.
func (l *httpLog) Connect(address ident.Address) {
	l.address = address
}

// Append appends one record. The error is Refused if no connection could be made or the log
// answered with a status other than 200, and Unknown if the response was lost or unreadable.
func (l *httpLog) Append(ctx context.Context, stream ident.Stream, data []byte) (ident.Offset, error) {
	call := &httpc.Call{Address: l.address, Method: http.MethodPost, Path: "/streams/" + string(stream), Body: data, FreshConn: true}
	answer, err := l.client.Do(ctx, call)
	if fault.KindOf[httpc.Kind](err) == httpc.NotSent {
		return 0, fault.Wrap("tail.Append", Refused, err, "the log could not be reached")
	}
	if err != nil {
		return 0, fault.Wrap("tail.Append", Unknown, err, "the log's answer was lost")
	}
	if answer.Status != http.StatusOK {
		return 0, fault.Wrap("tail.Append", Refused, httpc.StatusError(call, answer), "the log refused the record")
	}
	var wire appendedWire
	if err := json.Unmarshal(answer.Body, &wire); err != nil {
		return 0, fault.Wrap("tail.Append", Unknown, err, "the log's answer could not be read")
	}
	return ident.Offset(wire.Offset), nil
}

// Read returns records from offset from on, waiting up to wait for the first one.
func (l *httpLog) Read(ctx context.Context, stream ident.Stream, from ident.Offset, wait clock.Millis) (Batch, error) {
	path := fmt.Sprintf("/streams/%s?From=%d&Wait=%d", stream, from, wait)
	call := &httpc.Call{Address: l.address, Method: http.MethodGet, Path: path}
	answer, err := l.client.Do(ctx, call)
	if err != nil {
		return Batch{}, fault.Wrap("tail.Read", Unavailable, err, "the log could not be read")
	}
	if answer.Status != http.StatusOK {
		return Batch{}, fault.Wrap("tail.Read", Unavailable, httpc.StatusError(call, answer), "the log refused a read")
	}
	var wire batchWire
	if err := json.Unmarshal(answer.Body, &wire); err != nil {
		return Batch{}, fault.Wrap("tail.Read", Unavailable, err, "the log's answer could not be read")
	}
	return batchFromWire(wire), nil
}

func batchFromWire(wire batchWire) Batch {
	batch := Batch{First: ident.Offset(wire.First), Next: ident.Offset(wire.Next)}
	for _, r := range wire.Records {
		batch.Records = append(batch.Records, Record{Offset: ident.Offset(r.Offset), At: clock.Millis(r.At), Data: r.Data})
	}
	return batch
}
