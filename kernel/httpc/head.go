package httpc

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"croftmoor.dev/kernel/fault"
)

// Defect says what is wrong with a response. It is in the chain of an error of kind Lost: the server
// may have run the request.
type Defect string

const (
	// Malformed means that the server sent something that is not a response by the protocol.
	Malformed Defect = "Malformed"
	// OfOtherCall means that the response belongs to another call.
	OfOtherCall Defect = "OfOtherCall"
)

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
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 4096
	lineEnd      = "\r\n"
	// blanks may stand around the value of a field.
	blanks = " \t"
)

// Lengths of bodies that the head does not tell.
const (
	// chunked is the length of a body that is sent in chunks.
	chunked = -1
	// untilClose is the length of a body that ends with its connection.
	untilClose = -2
)

// responseHead is the head of a response.
type responseHead struct {
	status int
	minor  byte
	fields []Header
	// length is the number of bytes of the body, chunked, or untilClose.
	length int
	// lengthText is what the head says in Content-Length, if it does.
	lengthText string
	// closes and keepsOpen are whether a Connection field says so.
	closes    bool
	keepsOpen bool
}

// readHead reads a head up to its empty line. It checks each line before anything is decoded from it:
// what is no head by RFC 9112 has the defect Malformed, whatever it could mean.
func (l *link) readHead() (*responseHead, error) {
	if err := l.awaitProtocolName(); err != nil {
		return nil, err
	}
	lines := &lineReader{reader: l.reader, left: maxHeadBytes}
	line, err := lines.next()
	if err != nil {
		return nil, err
	}
	h := &responseHead{length: untilClose}
	if h.status, h.minor, err = parseStatusLine(line); err != nil {
		return nil, err
	}
	for {
		line, err := lines.next()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return h, nil
		}
		field, err := parseField(line)
		if err != nil {
			return nil, err
		}
		if err := h.add(field); err != nil {
			return nil, err
		}
	}
}

// awaitProtocolName returns once the name of the protocol has arrived, or something that can't
// become it. It consumes nothing.
func (l *link) awaitProtocolName() error {
	for n := 1; n <= len(protocolName); n++ {
		begin, err := l.reader.Peek(n)
		l.answered = l.answered || len(begin) > 0
		if !strings.HasPrefix(protocolName, string(begin)) {
			return malformed("it does not begin with HTTP/1")
		}
		if err != nil {
			return endWithin(err, len(begin))
		}
	}
	return nil
}

// endWithin returns err, or io.ErrUnexpectedEOF if the connection ended after some bytes.
func endWithin(err error, bytes int) error {
	if bytes > 0 && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// lineReader reads the lines of a head.
type lineReader struct {
	reader *bufio.Reader
	// left is how many bytes the head may still have.
	left int
}

// next returns the next line without its end, valid until the next read.
func (r *lineReader) next() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	r.left -= len(line)
	if r.left < 0 || errors.Is(err, bufio.ErrBufferFull) {
		return nil, errTooLong
	}
	if err != nil {
		return nil, endWithin(err, maxHeadBytes-r.left)
	}
	line, whole := bytes.CutSuffix(line, []byte(lineEnd))
	if !whole {
		return nil, malformed("a line of its head ends in a line feed alone")
	}
	return line, nil
}

// parseStatusLine returns the status and the minor version of a status line without its end (RFC
// 9112 section 4). The blank behind the status may be missing if there is no reason.
func parseStatusLine(line []byte) (status int, minor byte, err error) {
	rest, found := bytes.CutPrefix(line, []byte(protocolName))
	if !found || len(rest) < 2 || rest[0] < '0' || rest[0] > '9' || rest[1] != ' ' {
		return 0, 0, malformed("it does not begin with HTTP/1 and a blank")
	}
	code, reason, _ := bytes.Cut(rest[2:], []byte(" "))
	status, err = strconv.Atoi(string(code))
	if err != nil || len(code) != statusDigits || status < minStatus || status > maxStatus {
		return 0, 0, malformed("its status is not one of the protocol's")
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return 0, 0, malformed("its reason has a control byte")
	}
	if status == http.StatusSwitchingProtocols {
		return 0, 0, malformed("it changes the protocol, which no call asks for")
	}
	return status, rest[0] - '0', nil
}

// parseField returns the field of a line without its end (RFC 9112 section 5), its name in the usual
// case. A line that begins with a blank, which once continued the field before, is none.
func parseField(line []byte) (Header, error) {
	name, value, found := strings.Cut(string(line), ":")
	if !found {
		return Header{}, malformed("a line of its head has no colon")
	}
	if !httpguts.ValidHeaderFieldName(name) {
		return Header{}, malformed("the name of a field is empty, or has a byte that names can't have")
	}
	value = strings.Trim(value, blanks)
	if !httpguts.ValidHeaderFieldValue(value) {
		return Header{}, malformed("the value of a field has a control byte")
	}
	return Header{Name: textproto.CanonicalMIMEHeaderKey(name), Value: value}, nil
}

// add adds a field, and takes over what it says of the body and the connection.
func (h *responseHead) add(field Header) error {
	h.fields = append(h.fields, field)
	switch field.Name {
	case "Content-Length":
		return h.addLength(field.Value)
	case "Transfer-Encoding":
		return h.addCoding(field.Value)
	case "Connection":
		for option := range strings.SplitSeq(field.Value, ",") {
			option = strings.Trim(option, blanks)
			h.closes = h.closes || strings.EqualFold(option, "close")
			h.keepsOpen = h.keepsOpen || strings.EqualFold(option, "keep-alive")
		}
	}
	return nil
}

// addLength takes over a length. The same one may be told twice (RFC 9110 section 8.6).
func (h *responseHead) addLength(value string) error {
	if value != "" && value == h.lengthText {
		return nil
	}
	length, err := strconv.ParseUint(value, 10, strconv.IntSize-1)
	if err != nil {
		return malformed("its length is not a number")
	}
	if h.length != untilClose {
		return malformed("it tells two lengths, or a length and a coding")
	}
	h.length, h.lengthText = int(length), value
	return nil
}

// addCoding takes over the coding of the body, which can only be chunked: no call asks for another
// one, and HTTP/1.0 has none (RFC 9112 sections 6.1 and 7).
func (h *responseHead) addCoding(value string) error {
	switch {
	case !strings.EqualFold(value, "chunked"):
		return malformed("its transfer coding is not known")
	case h.minor == 0:
		return malformed("it has a transfer coding, which HTTP/1.0 has not")
	case h.length != untilClose:
		return malformed("it tells a length and a coding, or two codings")
	}
	h.length = chunked
	return nil
}

// closesConnection reports whether the server closes the connection after the response (RFC 9112
// section 9.3).
func (h *responseHead) closesConnection() bool {
	return h.closes || (h.minor == 0 && !h.keepsOpen)
}

// header returns the value of the first field of a name, or "".
func (h *responseHead) header(name string) string {
	return (&Answer{Headers: h.fields}).Header(name)
}
