package conns

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
)

const (
	testHeadBytes = 8 << 10
	testTerm      = 5 * time.Second
	// settleTerm is how long a server has to read what was sent.
	settleTerm = 50 * time.Millisecond
)

// site is a server behind a Listener.
type site struct {
	t        *testing.T
	listener *Listener
	given    atomic.Int64
	last     atomic.Value
}

// newSite serves handler through a Listener with the given bounds.
func newSite(t *testing.T, maxConns int, maxBytes int64, handler http.HandlerFunc) *site {
	t.Helper()
	inner, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t}
	s.listener = &Listener{
		Listener: inner, Clock: clock.New(), MaxConns: maxConns, MaxBytes: maxBytes, UnreadTerm: clock.Second,
		Limits: func() Limits {
			return Limits{HeadBytes: testHeadBytes, HeadTerm: 3 * clock.Second, IdleTerm: 15 * clock.Second}
		},
		GivenUp: func(reason Reason, _ string) {
			s.given.Add(1)
			s.last.Store(reason)
		},
	}
	server := &http.Server{ConnContext: Context, ConnState: State, ReadHeaderTimeout: testTerm, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Begin(r) {
			panic(http.ErrAbortHandler)
		}
		handler(w, r)
	})}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(s.listener) })
	t.Cleanup(func() {
		_ = server.Close()
		group.Wait()
		s.listener.lingering.Wait()
	})
	return s
}

func (s *site) dial() net.Conn {
	s.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(s.t.Context(), "tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTerm))
	return conn
}

// wantStatus sends text and wants an answer with a status; 0 is none.
func wantStatus(t *testing.T, conn net.Conn, text string, want int) {
	t.Helper()
	_, _ = io.WriteString(conn, text)
	status := 0
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	if status != want {
		t.Errorf("status %d, want %d", status, want)
	}
}

// wantConns wants so many connections in the end.
func (s *site) wantConns(want int) {
	s.t.Helper()
	for range 500 {
		if n, _ := s.listener.Held(); n == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	n, bytes := s.listener.Held()
	s.t.Errorf("%d connections with %d bytes, want %d", n, bytes, want)
}

func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	Received(r)
	_, _ = io.WriteString(w, "ok")
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func TestListener(t *testing.T) {
	t.Run("a new connection takes the place of the one that makes the least progress", func(t *testing.T) {
		s := newSite(t, 2, 1<<20, answer)
		stalled := s.dial()
		_, _ = io.WriteString(stalled, "GET ")
		time.Sleep(settleTerm)
		kept := s.dial()
		wantStatus(t, kept, request, http.StatusOK)
		time.Sleep(settleTerm)
		wantStatus(t, s.dial(), request, http.StatusOK)
		wantStatus(t, stalled, "", 0)
		wantStatus(t, kept, request, http.StatusOK)
	})
	t.Run("a request that is served keeps its connection", func(t *testing.T) {
		release := make(chan struct{})
		s := newSite(t, 1, 1<<20, func(w http.ResponseWriter, r *http.Request) {
			<-release
			answer(w, r)
		})
		served := s.dial()
		_, _ = io.WriteString(served, request)
		time.Sleep(settleTerm)
		wantStatus(t, s.dial(), request, 0)
		close(release)
		wantStatus(t, served, "", http.StatusOK)
	})
	t.Run("heads are counted as they come", func(t *testing.T) {
		s := newSite(t, 100, 4*connBytes, answer)
		for range 3 {
			_, _ = io.WriteString(s.dial(), "GET / HTTP/1.1\r\nLong: "+strings.Repeat("x", testHeadBytes-100))
		}
		for range 500 {
			if s.given.Load() > 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if n, bytes := s.listener.Held(); n != 2 || bytes > 4*connBytes {
			t.Errorf("%d connections with %d bytes are left", n, bytes)
		}
		wantStatus(t, s.dial(), request, http.StatusOK)
	})
	t.Run("a head that is too long is refused while it comes", func(t *testing.T) {
		s := newSite(t, 2, 1<<20, answer)
		wantStatus(t, s.dial(), "GET / HTTP/1.1\r\nLong: "+strings.Repeat("x", 4*testHeadBytes), http.StatusRequestHeaderFieldsTooLarge)
		if s.last.Load() != LongHead {
			t.Errorf("the reason is %v", s.last.Load())
		}
	})
	t.Run("what is closed is counted no more", func(t *testing.T) {
		s := newSite(t, 4, 1<<20, answer)
		conn := s.dial()
		wantStatus(t, conn, request, http.StatusOK)
		_ = conn.Close()
		s.wantConns(0)
		if _, bytes := s.listener.Held(); bytes != 0 {
			t.Errorf("%d bytes are still counted", bytes)
		}
	})
}

// An answer must reach a caller who sends all of its body before it reads.
func TestAnswerBeforeTheBody(t *testing.T) {
	s := newSite(t, 4, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		CloseAfter(w, r)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	body := strings.Repeat("x", 4<<20)
	wantStatus(t, s.dial(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n"+body, http.StatusServiceUnavailable)
	s.wantConns(0)
}

func TestRank(t *testing.T) {
	limits := Limits{HeadTerm: 3 * clock.Second, IdleTerm: 15 * clock.Second}
	const now = 100 * clock.Second
	inOrder := []*Conn{
		{stage: lingering, activeAt: now - 1},
		{stage: readingHead, beganAt: now - 4*clock.Second, activeAt: now},
		{stage: receiving, beganAt: now - 60*clock.Second, activeAt: now - 2*clock.Second},
		{stage: atRest, beganAt: now - clock.Second, activeAt: now - clock.Second},
		{stage: readingHead, beganAt: now - 2, activeAt: now - 1},
	}
	for i := range len(inOrder) - 1 {
		first, _ := inOrder[i].rank(now, limits)
		second, _ := inOrder[i+1].rank(now, limits)
		if !first.before(second) || second.before(first) {
			t.Errorf("%d is not closed before %d", i, i+1)
		}
	}
	if _, ok := (&Conn{stage: serving}).rank(now, limits); ok {
		t.Error("a connection is closed whose request is served")
	}
}
