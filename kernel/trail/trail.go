// Package trail implements the decision log. It writes decisions as structured log lines
// and keeps a bounded number of recent ones in memory by the id of their subject.
package trail

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Action is the kind of a decision.
type Action string

// Actions.
const (
	// Route sends a request to a server.
	Route Action = "Route"
	// Place assigns a sample or an item to an engine.
	Place Action = "Place"
	// Hold withholds something, such as work that is not wanted or an ejected server.
	Hold Action = "Hold"
	// Refuse rejects a request.
	Refuse Action = "Refuse"
	// Cancel ends work or a lease early.
	Cancel Action = "Cancel"
	// Order instructs an engine or the platform, such as to load weights.
	Order Action = "Order"
	// Retry tries again, usually elsewhere.
	Retry Action = "Retry"
	// Grant accepts a claim, a lease or a job.
	Grant Action = "Grant"
	// Hand delivers a result to its receiver.
	Hand Action = "Hand"
	// Config handles a configuration change.
	Config Action = "Config"
	// Standstill reports work that waits while none of its kind goes on.
	Standstill Action = "Standstill"
	// Ended records that a server ended while it ran a request.
	Ended Action = "Ended"
	// Probe records what an instance has found out of an availability zone that is silent.
	Probe Action = "Probe"
)

// Decision is a decision and its reason.
type Decision struct {
	// At is the wall-clock time, set by Trail.Add.
	At clock.Millis
	// ID is the id of the subject: a request, sample, step, job or role.
	ID     string
	Action Action
	// Choice names what was chosen, and RunnerUp the next best option, if any.
	Choice   string
	RunnerUp string
	Reason   string
}

const (
	shards = 16
	// idsPerShard and decisionsPerID bound the decisions kept in memory. The oldest id of
	// a shard is evicted, and further decisions on an id are dropped.
	idsPerShard    = 4096
	decisionsPerID = 24
	// One in sampleInterval decisions above SampleAbove is written.
	sampleInterval = 16
)

// boundedPerSecond is the number of lines of AddBounded in a second.
const boundedPerSecond = 20

// Trail writes decisions to Log and keeps recent ones in memory. Set Log and Clock before
// use. Ids are divided into shards, each with its own lock.
type Trail struct {
	Log   zerolog.Logger
	Clock *clock.Clock
	// SampleAbove is the number of decisions per second above which only one in
	// sampleInterval is written; 0 writes all. Refusals and standstills are always written.
	SampleAbove int64

	rate    rate
	bounded bounded
	shards  [shards]shard
}

type shard struct {
	mu   sync.Mutex
	byID map[string][]Decision
	// oldestFirst lists the ids in the order of their first decision, for eviction.
	oldestFirst []string
}

// rate counts the decisions in the current second; mu guards the fields.
type rate struct {
	mu sync.Mutex
	// second is the wall-clock time in whole seconds.
	second clock.Millis
	count  int64
}

// bounded counts the decisions of AddBounded in the current second, and those that were not written
// since the last one that was; mu guards the fields.
type bounded struct {
	mu     sync.Mutex
	second clock.Millis
	count  int
	missed int
}

// AddBounded is Add for decisions whose number callers set: of more than boundedPerSecond only the
// number is written, with the next one.
func (t *Trail) AddBounded(d Decision) {
	d.At = t.Clock.Now()
	t.remember(d)
	t.bounded.mu.Lock()
	defer t.bounded.mu.Unlock()
	if second := d.At / clock.Second; second != t.bounded.second {
		t.bounded.second, t.bounded.count = second, 0
	}
	if t.bounded.count++; t.bounded.count > boundedPerSecond {
		t.bounded.missed++
		return
	}
	t.write(d, t.bounded.missed)
	t.bounded.missed = 0
}

// Add sets the decision's time, keeps it in memory, and writes it unless it is sampled out.
func (t *Trail) Add(d Decision) {
	d.At = t.Clock.Now()
	t.remember(d)
	if !t.shouldLog(d) {
		return
	}
	t.write(d, 0)
}

// write writes a decision, and how many like it were not written before it.
func (t *Trail) write(d Decision, missed int) {
	line := t.Log.Info().Str("ID", d.ID).Str("Action", string(d.Action)).Str("Choice", d.Choice).
		Str("RunnerUp", d.RunnerUp).Str("Reason", d.Reason)
	if missed > 0 {
		line = line.Int("Unwritten", missed)
	}
	line.Msg("decision")
}

// shouldLog reports whether a decision is written. It counts the decision towards
// SampleAbove, unless that is 0 or the decision is always written.
func (t *Trail) shouldLog(d Decision) bool {
	if t.SampleAbove == 0 || d.Action == Refuse || d.Action == Standstill {
		return true
	}
	t.rate.mu.Lock()
	defer t.rate.mu.Unlock()
	second := d.At / clock.Second
	if second != t.rate.second {
		t.rate.second = second
		t.rate.count = 0
	}
	t.rate.count++
	return t.rate.count <= t.SampleAbove || t.rate.count%sampleInterval == 0
}

func (t *Trail) remember(d Decision) {
	s := &t.shards[ident.Hash(d.ID)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[string][]Decision{}
	}
	decisions, known := s.byID[d.ID]
	if !known {
		s.oldestFirst = append(s.oldestFirst, d.ID)
	}
	if len(decisions) < decisionsPerID {
		s.byID[d.ID] = append(decisions, d)
	}
	if len(s.oldestFirst) > idsPerShard {
		delete(s.byID, s.oldestFirst[0])
		s.oldestFirst = s.oldestFirst[1:]
	}
}

// Decisions returns a copy of the decisions kept for an id, oldest first.
func (t *Trail) Decisions(id string) []Decision {
	s := &t.shards[ident.Hash(id)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.byID[id])
}
