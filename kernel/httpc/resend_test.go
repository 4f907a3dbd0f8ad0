package httpc

import (
	"testing"

	"croftmoor.dev/kernel/fault"
)

// resends answers the first call soundly, and the second one, on the same connection, with response. It
// returns how often the second one was sent, and its error.
func resends(t *testing.T, response string, accept func(*Answer) bool) (sent int64, err error) {
	t.Helper()
	address, served := serveCounted(t, ok+sound, response)
	client, call := &Client{}, &Call{Address: address, Method: "GET", Path: "/"}
	if _, err := client.Do(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	call.Accept = accept
	_, err = client.Do(t.Context(), call)
	client.CloseIdle(address)
	return served.Load() - 1, err
}

// A server that answers nonsense on a kept connection must not get the call a second time there, which
// no attempt of a route counts.
func TestBrokenAnswerIsNotResent(t *testing.T) {
	for name, response := range map[string]string{
		"a malformed head":     "HTTP/1.1 000 OK\r\n" + sound,
		"no response":          "\x00",
		"a head cut off":       "HTTP/1.1 200 OK\r\nContent-",
		"a body cut off":       ok + "Content-Length: 60\r\n\r\n" + secret,
		"chunks cut off":       ok + "Transfer-Encoding: chunked\r\n\r\n6\r\n" + secret + "\r\n",
		"more than its length": ok + "Content-Length: 2\r\n\r\n" + secret,
	} {
		t.Run(name, func(t *testing.T) {
			sent, err := resends(t, response, nil)
			if fault.KindOf[Kind](err) != Lost || sent != 1 {
				t.Errorf("sent %d times, error %v, want once and kind Lost", sent, err)
			}
		})
	}
}

// A call that a kept connection has not answered is sent once more.
func TestUnansweredCallIsResent(t *testing.T) {
	if sent, err := resends(t, "", nil); err != nil || sent != 2 {
		t.Errorf("behind a connection that broke: sent %d times, error %v, want twice", sent, err)
	}
	refused := false
	sent, err := resends(t, ok+sound, func(*Answer) bool {
		defer func() { refused = true }()
		return refused
	})
	if err != nil || sent != 2 {
		t.Errorf("behind the response of another call: sent %d times, error %v, want twice", sent, err)
	}
}
