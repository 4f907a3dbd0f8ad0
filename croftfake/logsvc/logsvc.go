// Package logsvc stands in for the platform's append-only log service: streams
// with offsets, limited retention, an append rate cap, outages, and answers
// that are lost after the record was appended.
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

// Service is the log. Set the exported fields before Run.
type Service struct {
	Listen string
	Clock  *clock.Clock
	// Retention is how long records are kept; 0 keeps all.
	Retention clock.Millis
	// Rate is how many appends a second are taken; 0 is no cap.
	Rate int

	faults  stand.Injector
	mu      sync.Mutex
	streams map[string]*stream
	second  clock.Millis
	inRate  int
	appends int64
	bytes   int64
}

type stream struct {
	first   int64
	records []record
	grown   chan struct{}
}

type record struct {
	Offset int64
	At     int64
	Data   []byte
}

type appended struct {
	Offset int64
}

type batch struct {
	First   int64
	Next    int64
	Records []record
}

type stats struct {
	Appends int64
	Bytes   int64
}

const maxBatch = 500

// Run serves until a signal.
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
	offset, ok := s.append(streamOf(c), slices.Clone(c.Body()))
	if !ok {
		return c.Status(fiber.StatusTooManyRequests).SendString("over the append rate")
	}
	if s.faults.LoseAnswer() {
		return stand.CloseConn(c)
	}
	return c.JSON(appended{Offset: offset})
}

// streamOf copies the stream's name out of the request, whose memory is used
// again for the next one.
func streamOf(c fiber.Ctx) string {
	return strings.Clone(c.Params("stream"))
}

func (s *Service) append(name string, data []byte) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if second := now / clock.Second; second != s.second {
		s.second = second
		s.inRate = 0
	}
	s.inRate++
	if s.Rate > 0 && s.inRate > s.Rate {
		return 0, false
	}
	st := s.stream(name)
	offset := st.first + int64(len(st.records))
	st.records = append(st.records, record{Offset: offset, At: int64(now), Data: data})
	s.appends++
	s.bytes += int64(len(data))
	close(st.grown)
	st.grown = make(chan struct{})
	return offset, true
}

// stream returns the named stream; mu is held.
func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, grown: make(chan struct{})}
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
	name := streamOf(c)
	answer, grown := s.read(name, from)
	if len(answer.Records) == 0 && wait > 0 {
		select {
		case <-grown:
		case <-s.Clock.After(clock.Millis(wait)):
		}
		answer, _ = s.read(name, from)
	}
	if s.faults.Active().Out {
		return stand.RefuseNotRun(c, "the log is out")
	}
	return c.JSON(answer)
}

func (s *Service) read(name string, from int64) (batch, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	answer := batch{First: st.first, Next: st.first + int64(len(st.records))}
	start := max(from, st.first) - st.first
	if start < int64(len(st.records)) {
		end := min(start+maxBatch, int64(len(st.records)))
		answer.Records = slices.Clone(st.records[start:end])
	}
	return answer, st.grown
}

// expire drops records that are older than the retention.
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
