package poison

import (
	"encoding/json"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Invalid means that a record cannot be encoded or decoded.
const Invalid Kind = "Invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Answer records that a server answered a suspected request.
type Answer struct {
	Request Fingerprint
}

// Record is an End, a ServerEnd or an Answer.
type Record interface {
	wire() recordWire
}

// recordWire is the JSON form of a record in the log that instances share.
type recordWire struct {
	Kind    string
	Request string `json:",omitempty"`
	Server  string `json:",omitempty"`
	At      int64  `json:",omitempty"`
}

const (
	endKind       = "End"
	serverEndKind = "ServerEnd"
	answerKind    = "Answer"
	// maxNameBytes is the maximum length of a server's name in a record.
	maxNameBytes = 255
)

func (e End) wire() recordWire {
	return recordWire{Kind: endKind, Request: string(e.Request), Server: string(e.Server), At: int64(e.At)}
}

func (e ServerEnd) wire() recordWire {
	return recordWire{Kind: serverEndKind, Server: string(e.Server), At: int64(e.At)}
}

func (a Answer) wire() recordWire {
	return recordWire{Kind: answerKind, Request: string(a.Request)}
}

// Encode returns the JSON form of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r.wire())
	if err != nil {
		return nil, fault.Wrap("poison.Encode", Invalid, err, "")
	}
	return data, nil
}

// Decode parses a record. It returns nil and no error for unknown kinds, which a newer
// version may write.
func Decode(data []byte) (Record, error) {
	var w recordWire
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, fault.Wrap("poison.Decode", Invalid, err, "record is not valid JSON")
	}
	if w.Kind != serverEndKind && len(w.Request) != 2*fingerprintBytes {
		return nil, fault.New("poison.Decode", Invalid, "record has no valid request fingerprint")
	}
	if (w.Kind == serverEndKind || w.Kind == endKind) && (w.Server == "" || len(w.Server) > maxNameBytes) {
		return nil, fault.New("poison.Decode", Invalid, "record of an end has no server name or one that is too long")
	}
	switch w.Kind {
	case endKind:
		return End{Request: Fingerprint(w.Request), Server: ident.BackendName(w.Server), At: clock.Millis(w.At)}, nil
	case serverEndKind:
		return ServerEnd{Server: ident.BackendName(w.Server), At: clock.Millis(w.At)}, nil
	case answerKind:
		return Answer{Request: Fingerprint(w.Request)}, nil
	default:
		return nil, nil
	}
}
