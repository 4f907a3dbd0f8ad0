package httpc

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"croftmoor.dev/kernel/fault"
)

// ok is a status line, sound what may follow it.
const (
	ok    = "HTTP/1.1 200 OK\r\n"
	sound = "Key: " + secret + "\r\nContent-Length: 6\r\n\r\n" + secret
)

// A head with a line that is no field must not be returned as a response: its body may be another
// than the server's.
func TestFieldsThatAreNone(t *testing.T) {
	for name, head := range map[string]string{
		"a blank in the name of the length":     "Content Length: 6\r\n\r\n",
		"a blank before the colon":              "Content-Length : 6\r\n\r\n",
		"a tab before the colon":                "Content-Length\t: 6\r\n\r\n",
		"a blank in another name":               "Some Thing: a\r\n" + sound,
		"a blank before the coding":             "Transfer-Encoding : chunked\r\n\r\n",
		"no name":                               ": a\r\n" + sound,
		"no colon":                              "Something\r\n" + sound,
		"a length without a colon":              "Content-Length 6\r\n\r\n",
		"a second status line":                  ok + sound,
		"a folded line":                         "A: b\r\n c\r\n" + sound,
		"a line folded with a tab":              "A: b\r\n\tc\r\n" + sound,
		"a folded field":                        "A: b\r\n C: d\r\n" + sound,
		"a folded line first":                   " A: b\r\n" + sound,
		"a line of a blank":                     "A: b\r\n \r\n" + sound,
		"a byte over 127 in a name":             "\xc3\xa4: b\r\n" + sound,
		"lines that end in a line feed":         strings.ReplaceAll(sound, "\r\n", "\n"),
		"a stray line feed":                     "A: b\n" + sound,
		"a stray line feed that ends the head":  "A: b\r\n\nContent-Length: 6\r\n\r\n",
		"a line feed before a name":             "\nContent-Length: 6\r\n\r\n",
		"a carriage return that ends no line":   "A: b\rContent-Length: 6\r\n\r\n",
		"a carriage return too many":            "A: b\r\r\n" + sound,
		"a carriage return before the last end": "A: b\r\n\r\r\n" + sound,
		"a length that is no number":            "Content-Length: six\r\n\r\n",
		"a length with a sign":                  "Content-Length: +6\r\n\r\n",
		"a negative length":                     "Content-Length: -6\r\n\r\n",
		"a length in hexadecimal":               "Content-Length: 0x6\r\n\r\n",
		"a length with a point":                 "Content-Length: 6.0\r\n\r\n",
		"a length with a blank":                 "Content-Length: 6 0\r\n\r\n",
		"an empty length":                       "Content-Length:\r\n\r\n",
		"a length beyond all bounds":            "Content-Length: 99999999999999999999\r\n\r\n",
		"an interim head that is none":          "\r\n" + ok + "A : b\r\n" + sound,
	} {
		t.Run(name, func(t *testing.T) {
			wantMalformed(t, strings.Replace(ok+head, ok+"\r\n", "HTTP/1.1 100 Continue\r\n\r\n", 1)+secret)
		})
	}
}

// No byte that a name or a value can't have may get a head through, wherever it stands.
func TestBytesThatNoFieldHas(t *testing.T) {
	for b := range 256 {
		value := b == '\t' || (b >= ' ' && b != 127)
		for where, form := range map[string]string{
			"begin of the length's name":  "%cContent-Length: 6\r\n\r\n",
			"middle of the length's name": "Content-%cLength: 6\r\n\r\n",
			"end of the length's name":    "Content-Length%c: 6\r\n\r\n",
			"another name":                "A%cB: c\r\n" + sound,
			"a value":                     "A: b%cc\r\n" + sound,
		} {
			isName := where != "a value"
			if (!isName && value) || (isName && (isTokenByte(byte(b)) || b == ':')) {
				continue
			}
			head := strings.Replace(form, "%c", string([]byte{byte(b)}), 1)
			_, err := (&Client{}).Do(t.Context(), &Call{Address: serveRaw(t, ok+head+secret), Method: "GET", Path: "/"})
			if fault.KindOf[Defect](err) != Malformed {
				t.Errorf("byte %d at %s: error %v, want one with the defect Malformed", b, where, err)
			}
		}
	}
}

// nameBytes are the bytes that a name can have beside letters and digits (RFC 9110 section 5.6.2).
const nameBytes = "!#$%&'*+-.^_`|~"

func isTokenByte(b byte) bool {
	return strings.IndexByte(nameBytes, b) >= 0 || ('0' <= b && b <= '9') || ('a' <= b|0x20 && b|0x20 <= 'z')
}

// wantBody checks that a response is taken, with its body.
func wantBody(t *testing.T, response, body string) *Answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), shortTerm)
	defer cancel()
	answer, err := (&Client{}).Do(ctx, &Call{Address: serveRaw(t, response), Method: "GET", Path: "/"})
	if err != nil || string(answer.Body) != body || answer.Status != 200 {
		t.Fatalf("%+v, %v, want status 200 and body %q", answer, err, body)
	}
	return answer
}

// What the protocol allows must be read on, however rare it is.
func TestSoundHeads(t *testing.T) {
	const body = "\r\n\r\n" + secret
	for name, response := range map[string]string{
		"no length":                         "HTTP/1.1 200 OK" + body,
		"HTTP/1.0":                          "HTTP/1.0 200 OK" + body,
		"HTTP/1.0 with a length":            "HTTP/1.0 200 OK\r\nContent-Length: 6" + body,
		"after 100":                         "HTTP/1.1 100 Continue\r\n\r\n" + ok + sound,
		"after 103 with fields":             "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + sound,
		"all bytes of a name":               ok + "aZ09" + nameBytes + ": b\r\n" + sound,
		"a tab and bytes over 127":          ok + "A: \tb\tc\x80\xff\t\r\n" + sound,
		"an empty value":                    ok + "A:\r\nB: \t \r\n" + sound,
		"a value of separators":             ok + "A: \"(),/:;<=>?@[\\]{}\r\n" + sound,
		"small letters":                     ok + "content-length: 6" + body,
		"no blank behind the colon":         ok + "CONTENT-LENGTH:6" + body,
		"blanks around a value":             ok + "Content-Length: \t6 \t" + body,
		"zeros before the length":           ok + "Content-Length: 0006" + body,
		"a body behind a length and a type": ok + "Content-Type: text/plain\r\n" + sound,
	} {
		t.Run(name, func(t *testing.T) { wantBody(t, response, secret) })
	}
}

// Fields must reach the caller as the server sent them, and no others.
func TestFieldsAsSent(t *testing.T) {
	answer := wantBody(t, ok+"a-field:  b  \r\nSet-Cookie: c=1\r\nSet-Cookie: d=2\r\nCONTENT-length: 0\r\n\r\n", "")
	want := []Header{{"A-Field", "b"}, {"Set-Cookie", "c=1"}, {"Set-Cookie", "d=2"}, {"Content-Length", "0"}}
	if !slices.Equal(answer.Headers, want) {
		t.Errorf("fields %v, want %v", answer.Headers, want)
	}
}

// A head that the server doesn't finish must not be returned as a response, wherever it ends.
func TestHeadsCutOff(t *testing.T) {
	const head = ok + "Server: a\r\nContent-Length: 0\r\n\r\n"
	for n := range len(head) {
		t.Run(fmt.Sprintf("after %d bytes", n), func(t *testing.T) {
			for how, read := range readings {
				err := read(t.Context(), &Client{}, &Call{Address: serveRaw(t, head[:n]), Method: "GET", Path: "/"})
				if fault.KindOf[Kind](err) != Lost {
					t.Errorf("read %s: error %v, want kind Lost", how, err)
				}
			}
		})
	}
}

// A connection must be kept only if both sides mean to.
func TestConnectionIsKept(t *testing.T) {
	for fields, kept := range map[string]bool{
		"":                                       true,
		"Connection: close\r\n":                  false,
		"Connection: Close\r\n":                  false,
		"Connection: a, close\r\n":               false,
		"Connection: keep-alive\r\n":             true,
		"Keep-Alive: timeout=0\r\n":              false,
		"Keep-Alive: max=5, timeout=9\r\n":       true,
		"Connection: a\r\nConnection: close\r\n": false,
	} {
		t.Run(fields, func(t *testing.T) {
			wantKept(t, "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 0\r\n\r\n", kept)
		})
	}
	t.Run("HTTP/1.0", func(t *testing.T) { wantKept(t, "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", false) })
	t.Run("HTTP/1.0 that keeps it", func(t *testing.T) {
		wantKept(t, "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n", true)
	})
}

func wantKept(t *testing.T, response string, kept bool) {
	t.Helper()
	client := &Client{}
	call := &Call{Address: serveRaw(t, response, response), Method: "GET", Path: "/"}
	if _, err := client.Do(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	defer client.CloseIdle(call.Address)
	if client.HasIdle(call.Address) != kept {
		t.Errorf("kept is %v, want %v", !kept, kept)
	}
}
