package httpc

import (
	"bytes"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"

	"croftmoor.dev/kernel/fault"
)

// Defect says what is wrong with a response. It is in the chain of an error of kind Lost: the server
// may have run the request.
type Defect string

// Malformed means that the server sent something that is not a response by the protocol.
const Malformed Defect = "Malformed"

// malformed returns an error with the defect Malformed. what says what is wrong; it must quote
// nothing of the response, which may hold a body or a key.
func malformed(what string) error {
	return fault.New("httpc.read", Malformed, what)
}

const (
	// protocolName begins the status line of every response (RFC 9112 section 2.3); a digit
	// follows it, the minor version.
	protocolName = "HTTP/1."
	statusDigits = 3
	// minStatus and maxStatus bound the status codes that the protocol has (RFC 9110 section 15).
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine returns the status of a status line without its line end (RFC 9112 section 4). The
// blank behind the status may be missing if there is no reason.
func parseStatusLine(line []byte) (status int, err error) {
	rest, found := bytes.CutPrefix(line, []byte(protocolName))
	if !found || len(rest) < 2 || rest[0] < '0' || rest[0] > '9' || rest[1] != ' ' {
		return 0, malformed("it does not begin with HTTP/1 and a blank")
	}
	code, reason, _ := bytes.Cut(rest[2:], []byte(" "))
	status, err = strconv.Atoi(string(code))
	if err != nil || len(code) != statusDigits || status < minStatus || status > maxStatus {
		return 0, malformed("its status is not one of the protocol's")
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return 0, malformed("its reason has a control byte")
	}
	if status == http.StatusSwitchingProtocols {
		return 0, malformed("it changes the protocol, which no call asks for")
	}
	return status, nil
}

// checkStatusLine reads up to the end of the status line, and checks it. It consumes nothing.
func (l *link) checkStatusLine() error {
	for read := len(protocolName); ; read = l.reader.Buffered() + 1 {
		if _, err := l.reader.Peek(read); err != nil {
			return err
		}
		read, err := l.reader.Peek(l.reader.Buffered())
		if err != nil {
			return err
		}
		if !bytes.HasPrefix(read, []byte(protocolName)) {
			return malformed("it does not begin with HTTP/1")
		}
		if line, _, whole := bytes.Cut(read, []byte("\n")); whole {
			_, err := parseStatusLine(bytes.TrimSuffix(line, []byte("\r")))
			return err
		}
	}
}
