package proxy

import (
	"bufio"
	"strings"
	"testing"

	"croftmoor.dev/kernel/httpc"
)

// countingSink counts the parts of an answer.
type countingSink struct{ events int }

func (*countingSink) Head(int, []httpc.Header) {}

func (s *countingSink) Event([]byte) error {
	s.events++
	return nil
}

// A comment must not pass for an event without an id: the stream would begin anew at the next server.
func TestStreamGoesOnAfterAComment(t *testing.T) {
	for body, want := range map[string]string{
		": open\n\n":                                      "17",
		": open\n\nid: 18\ndata: a\n\n":                   "18",
		"id: 18\ndata: a\n\n: alive\n\n":                  "18",
		"data: a\n\n":                                     "17",
		"id: 18\ndata: a\n\nid: 19\ndata: b\n\ndata: c\n": "19",
	} {
		sink := &countingSink{}
		s := &streamState{sink: sink, lastID: "17"}
		_ = pump(&httpc.Stream{Body: bufio.NewReader(strings.NewReader(body))}, s, func() {})
		if s.lastID != want || sink.events != strings.Count(body, "\n\n") {
			t.Errorf("%q: goes on after %q with %d parts passed on, want %q and all", body, s.lastID, sink.events, want)
		}
	}
}
