package poison

import (
	"encoding/json"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Invalid means that a record can't be read.
const Invalid Kind = "Invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Answer tells that a server answered a request under which others had ended.
type Answer struct {
	Request Fingerprint
}

// Record is an End or an Answer.
type Record interface {
	wire() recordWire
}

// recordWire is a record as instances write it for each other.
type recordWire struct {
	Kind    string
	Request string
	Server  string `json:",omitempty"`
}

const (
	endKind    = "End"
	answerKind = "Answer"
	// maxNameBytes bounds the name of a server in a record, in bytes.
	maxNameBytes = 255
)

func (e End) wire() recordWire {
	return recordWire{Kind: endKind, Request: string(e.Request), Server: string(e.Server)}
}

func (a Answer) wire() recordWire {
	return recordWire{Kind: answerKind, Request: string(a.Request)}
}

// Encode returns a record's bytes.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r.wire())
	if err != nil {
		return nil, fault.Wrap("poison.Encode", Invalid, err, "")
	}
	return data, nil
}

// Decode reads a record. It returns nil without an error for kinds that a later
// program writes.
func Decode(data []byte) (Record, error) {
	var w recordWire
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, fault.Wrap("poison.Decode", Invalid, err, "not a record")
	}
	if len(w.Request) != 2*fingerprintBytes {
		return nil, fault.New("poison.Decode", Invalid, "the record names no request")
	}
	switch w.Kind {
	case endKind:
		if w.Server == "" || len(w.Server) > maxNameBytes {
			return nil, fault.New("poison.Decode", Invalid, "the record of an end names no server")
		}
		return End{Request: Fingerprint(w.Request), Server: ident.BackendName(w.Server)}, nil
	case answerKind:
		return Answer{Request: Fingerprint(w.Request)}, nil
	default:
		return nil, nil
	}
}
