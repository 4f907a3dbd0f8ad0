// Package logsvc simulates the platform's append-only log service: streams with
// offsets, limited retention, an append rate limit, outages, and answers that are
// lost after the record was appended.
package logsvc

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/gofiber/fiber/v3"

	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/kernel/clock"
)

// Service is the simulated log. Set the exported fields before Run.
type Service struct {
	Listen string
	Clock  *clock.Clock
	// Retention is the age at which records expire; 0 keeps them forever.
	Retention clock.Millis
	// Rate is the maximum number of appends per second; 0 is unlimited.
	Rate int

	faults  stand.Injector
	mu      sync.Mutex
	streams map[string]*stream
	// rateSecond is the second in which secondAppends were tried.
	rateSecond    clock.Millis
	secondAppends int
	appends       int64
	bytes         int64
}

// stream is a stream of records. The offset of records[0] is first.
type stream struct {
	first   int64
	records []record
	// changed is closed, and replaced, at the next append.
	changed chan struct{}
}

type record struct {
	Offset int64
	At     int64
	Data   []byte
}

type appendResult struct {
	Offset int64
}

// batch is the answer to a read. First is the oldest offset that is retained, and
// Next that of the next append.
type batch struct {
	First   int64
	Next    int64
	Records []record
}

type stats struct {
	Appends int64
	Bytes   int64
}

const maxBatchRecords = 500

// Run serves until SIGINT or SIGTERM.
func (s *Service) Run() error {
	s.streams = map[string]*stream{}
	s.faults.Clock = s.Clock
	app := stand.NewApp()
	s.faults.Register(app)
	app.Post("/streams/:stream", s.postRecord)
	app.Get("/streams/:stream", s.getRecords)
	app.Get("/control/stats", func(c fiber.Ctx) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return c.JSON(stats{Appends: s.appends, Bytes: s.bytes})
	})
	return stand.Serve(app, s.Listen, s.expire)
}

func (s *Service) postRecord(c fiber.Ctx) error {
	if !s.faults.Admit(c.Context()) {
		return stand.RefuseNotRun(c, "the log is out")
	}
	offset, ok := s.append(streamName(c), slices.Clone(c.Body()))
	if !ok {
		return c.Status(fiber.StatusTooManyRequests).SendString("over the append rate")
	}
	if s.faults.LoseAnswer() {
		return stand.CloseConn(c)
	}
	return c.JSON(appendResult{Offset: offset})
}

// streamName returns a copy of the stream's name, because fiber reuses the memory
// of the request.
func streamName(c fiber.Ctx) string {
	return strings.Clone(c.Params("stream"))
}

// append appends a record and returns its offset. It returns false if the append
// rate is exceeded.
func (s *Service) append(name string, data []byte) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if second := now / clock.Second; second != s.rateSecond {
		s.rateSecond = second
		s.secondAppends = 0
	}
	s.secondAppends++
	if s.Rate > 0 && s.secondAppends > s.Rate {
		return 0, false
	}
	st := s.stream(name)
	offset := st.first + int64(len(st.records))
	st.records = append(st.records, record{Offset: offset, At: int64(now), Data: data})
	s.appends++
	s.bytes += int64(len(data))
	close(st.changed)
	st.changed = make(chan struct{})
	return offset, true
}

// stream returns the named stream, which it creates if needed. mu is held.
func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Service) getRecords(c fiber.Ctx) error {
	if !s.faults.Admit(c.Context()) {
		return stand.RefuseNotRun(c, "the log is out")
	}
	from, _ := strconv.ParseInt(c.Query("From"), 10, 64)
	wait, _ := strconv.ParseInt(c.Query("Wait"), 10, 64)
	name := streamName(c)
	answer, changed := s.readBatch(name, from)
	if len(answer.Records) == 0 && wait > 0 {
		select {
		case <-changed:
		case <-s.Clock.After(clock.Millis(wait)):
		}
		answer, _ = s.readBatch(name, from)
	}
	if s.faults.Active().Out {
		return stand.RefuseNotRun(c, "the log is out")
	}
	return c.JSON(answer)
}

// readBatch returns the records from the given offset on, and the channel that is
// closed at the next append.
func (s *Service) readBatch(name string, from int64) (batch, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	answer := batch{First: st.first, Next: st.first + int64(len(st.records))}
	start := max(from, st.first) - st.first
	if start < int64(len(st.records)) {
		end := min(start+maxBatchRecords, int64(len(st.records)))
		answer.Records = slices.Clone(st.records[start:end])
	}
	return answer, st.changed
}

// expire deletes records that are older than the retention, until ctx is done.
func (s *Service) expire(ctx context.Context) {
	if s.Retention == 0 {
		return
	}
	s.Clock.Every(ctx, s.Retention/10+1, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		oldest := int64(s.Clock.Now() - s.Retention)
		for _, st := range s.streams {
			cut := 0
			for cut < len(st.records) && st.records[cut].At < oldest {
				cut++
			}
			st.first += int64(cut)
			st.records = slices.Clone(st.records[cut:])
		}
	})
}
