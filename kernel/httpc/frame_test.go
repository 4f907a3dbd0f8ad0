package httpc

import "testing"

// chunks is a body in chunks.
const chunks = "6\r\n" + secret + "\r\n0\r\n\r\n"

// A response whose length and codings contradict each other, or whose coding nobody knows, must not be
// returned: where its body ends is anybody's guess.
func TestFramingsThatAreNone(t *testing.T) {
	const coded = ok + "Transfer-Encoding: "
	for name, response := range map[string]string{
		"two lengths":                  ok + "Content-Length: 3\r\n" + sound,
		"the same length otherwise":    ok + "Content-Length: 006\r\n" + sound,
		"two lengths in one field":     ok + "Content-Length: 6, 3\r\n\r\n" + secret,
		"a length and a coding":        ok + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"a coding and a length":        coded + "chunked\r\nContent-Length: 6\r\n\r\n" + chunks,
		"a coding that is not known":   coded + "gzip\r\n\r\n" + secret,
		"identity":                     coded + "identity\r\n" + sound,
		"no coding":                    coded + "\r\n" + sound,
		"one more before chunked":      coded + "gzip, chunked\r\n\r\n" + chunks,
		"one more behind chunked":      coded + "chunked, gzip\r\n\r\n" + chunks,
		"chunked twice":                coded + "chunked, chunked\r\n\r\n" + chunks,
		"chunked twice in two fields":  coded + "chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"chunked with a parameter":     coded + "chunked;a=b\r\n\r\n" + chunks,
		"a spoilt chunked":             coded + "chunkedx\r\n\r\n" + chunks,
		"chunked in HTTP/1.0":          "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"a length that is spoilt once": ok + "Content-Length: 6x\r\n" + sound,
	} {
		t.Run(name, func(t *testing.T) { wantMalformed(t, response) })
	}
}

func TestSoundFramings(t *testing.T) {
	const coded = ok + "Transfer-Encoding: chunked\r\n"
	for name, response := range map[string]string{
		"chunks":                      coded + "\r\n" + chunks,
		"chunks of one byte":          coded + "\r\n1\r\ns\r\n5\r\n3cret\r\n0\r\n\r\n",
		"capital letters":             ok + "Transfer-Encoding: Chunked\r\n\r\n" + chunks,
		"extensions":                  coded + "\r\n6;a=b;c=\"d\"\r\n" + secret + "\r\n0;e\r\n\r\n",
		"zeros before a size":         coded + "\r\n0006\r\n" + secret + "\r\n000\r\n\r\n",
		"trailers":                    coded + "Trailer: A\r\n\r\n6\r\n" + secret + "\r\n0\r\nA: b\r\nC: d\r\n\r\n",
		"the same length twice":       ok + "Content-Length: 6\r\n" + sound,
		"chunks in HTTP/1.1 and kept": coded + "Connection: keep-alive\r\n\r\n" + chunks,
	} {
		t.Run(name, func(t *testing.T) { wantBody(t, response, secret) })
	}
}
