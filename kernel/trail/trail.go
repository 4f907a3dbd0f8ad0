// Package trail is the decision log: one structured line for each decision,
// and a bounded memory of recent ones by request or sample id.
package trail

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Action names what was decided.
type Action string

// Actions.
const (
	Route  Action = "Route"
	Place  Action = "Place"
	Hold   Action = "Hold"
	Refuse Action = "Refuse"
	Cancel Action = "Cancel"
	Order  Action = "Order"
	Retry  Action = "Retry"
	Grant  Action = "Grant"
	Hand   Action = "Hand"
	Config Action = "Config"
	// Ended tells that a server ended while it ran a request.
	Ended Action = "Ended"
)

// Decision is one decision and the reason for it.
type Decision struct {
	At       clock.Millis
	ID       string
	Action   Action
	Choice   string
	RunnerUp string
	Reason   string
}

const (
	shards        = 16
	idsPerShard   = 4096
	decisionsPerID    = 24
	sampleInterval = 16
)

// Trail writes decisions and remembers the recent ones. Set Log and Clock
// before use. Its state is in shards, each under its own lock.
type Trail struct {
	Log   zerolog.Logger
	Clock *clock.Clock
	// SampleAbove is the number of routine decisions a second above which one
	// in keepQuietEach is written; 0 writes all. Refusals are always written.
	SampleAbove int64

	rate   rate
	shards [shards]shard
}

type shard struct {
	mu    sync.Mutex
	byID  map[string][]Decision
	oldestFirst []string
}

type rate struct {
	mu     sync.Mutex
	second clock.Millis
	count  int64
}

// Add records a decision, stamping its time.
func (t *Trail) Add(d Decision) {
	d.At = t.Clock.Now()
	t.remember(d)
	if !t.shouldLog(d) {
		return
	}
	t.Log.Info().Str("ID", d.ID).Str("Action", string(d.Action)).Str("Choice", d.Choice).
		Str("RunnerUp", d.RunnerUp).Str("Reason", d.Reason).Msg("decision")
}

func (t *Trail) shouldLog(d Decision) bool {
	if t.SampleAbove == 0 || d.Action == Refuse {
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

// Decisions returns the remembered decisions about id, oldest first.
func (t *Trail) Decisions(id string) []Decision {
	s := &t.shards[ident.Hash(id)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.byID[id])
}
