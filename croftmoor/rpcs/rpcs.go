// Package rpcs makes and serves calls between instances: Connect over HTTP/2 without TLS, with
// messages in MessagePack.
package rpcs

import (
	"bytes"
	"context"
	"net"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

const (
	dialTimeout         = 500 * clock.Millis(1)
	maxIdleConnsPerPeer = 4
	idleTimeout         = 30 * clock.Second
	// pingAfter is how long a connection may be silent before it is pinged, and pingTimeout
	// how long the response may take before the connection is closed as dead.
	pingAfter       = 2 * clock.Second
	pingTimeout     = 1 * clock.Second
	maxMessageBytes = 256 << 20
)

// codec encodes wire types as MessagePack with structs as arrays: new fields may only be added
// at the end of a struct.
type codec struct{}

// Name returns the codec's name on the wire.
func (codec) Name() string { return "msgpack" }

// Marshal encodes a wire type.
func (codec) Marshal(message any) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return out.Bytes(), err
}

// Unmarshal decodes a wire type.
func (codec) Unmarshal(data []byte, message any) error { return msgpack.Unmarshal(data, message) }

// CleartextHTTP2 returns the protocols for HTTP/2 without TLS, for clients and servers. One
// connection between two instances carries all calls, and compressed headers keep small calls
// small.
func CleartextHTTP2() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// NewClient returns an HTTP client for calls to other instances.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration(), Control: httpc.ResetOnClose}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: idleTimeout.Duration(),
		Protocols: CleartextHTTP2(), HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter.Duration(), PingTimeout: pingTimeout.Duration()},
	}}
}

// Call calls the procedure at path of another instance. Its errors are those of connect.
func Call[Q, A any](ctx context.Context, client *http.Client, address ident.Address, path string, message *Q) (*A, error) {
	caller := connect.NewClient[Q, A](client, "http://"+string(address)+path,
		connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes))
	answer, err := caller.CallUnary(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// Handle registers the procedure at path. mapErr converts the errors of handle to connect
// errors.
func Handle[Q, A any](mux *http.ServeMux, path string, mapErr func(error) error, handle func(context.Context, *Q) (*A, error)) {
	handler := connect.NewUnaryHandler(path, func(ctx context.Context, request *connect.Request[Q]) (*connect.Response[A], error) {
		answer, err := handle(ctx, request.Msg)
		if err != nil {
			return nil, mapErr(err)
		}
		return connect.NewResponse(answer), nil
	}, connect.WithCodec(codec{}))
	mux.Handle(path, handler)
}

// kindHeader carries the kind of an error between instances.
const kindHeader = "Croft-Kind"

// WithKind returns a connect error for err that carries kind to the peer.
func WithKind(err error, kind string) error {
	mapped := connect.NewError(connect.CodeUnavailable, err)
	mapped.Meta().Set(kindHeader, kind)
	return mapped
}

// KindOf returns the kind that the peer gave to an error, or "" if the error did not come from
// the peer.
func KindOf(err error) string {
	var connectErr *connect.Error
	if !eris.As(err, &connectErr) {
		return ""
	}
	return connectErr.Meta().Get(kindHeader)
}
