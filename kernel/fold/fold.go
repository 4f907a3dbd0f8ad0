// Package fold turns the system's stream of the platform's log into the state
// that every instance shares: the teams' configuration and the views of the
// shards. The state is a pure function of the records up to an offset.
//
// Records expire. A checkpoint record carries the whole state up to an offset;
// a reader that starts late takes the first checkpoint after which no record
// is missing, then the records behind it.
package fold

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
	"croftmoor.dev/kernel/views"
)

// Kind classifies the errors of this package.
type Kind string

// Corrupt means that a record could not be read.
const Corrupt Kind = "Corrupt"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Stream is the system's stream of the platform's log.
const Stream ident.Stream = "croftmoor"

// recordKind tells what a record of the stream holds.
type recordKind string

const (
	changeRecord     recordKind = "Change"
	viewsRecord      recordKind = "Views"
	checkpointRecord recordKind = "Checkpoint"
)

// State is the shared state after the record at UpTo. It is not changed once
// it has been handed out.
type State struct {
	UpTo  ident.Offset
	Conf  *conf.State
	Views *views.State
}

func newState() *State {
	return &State{Conf: conf.NewState(), Views: &views.State{}}
}

func (s *State) clone() *State {
	return &State{UpTo: s.UpTo, Conf: s.Conf.Clone(), Views: s.Views.Clone()}
}

// Reader folds the stream. Current may be called from any goroutine; the
// rest is guarded by mu.
type Reader struct {
	// Changed is called after the state has moved, outside the lock; it may be nil.
	Changed func(*State)

	mu         sync.Mutex
	current    atomic.Pointer[State]
	waiting    []tail.Record
	atEnd      bool
	caughtUp   atomic.Bool
	checkpoint atomic.Int64
}

// Current returns the newest state, or nil before there is one.
func (r *Reader) Current() *State {
	return r.current.Load()
}

// CaughtUp tells whether the reader once held all that the log held.
func (r *Reader) CaughtUp() bool {
	return r.caughtUp.Load()
}

// LastCheckpoint returns the log's time of the newest checkpoint seen, or 0.
func (r *Reader) LastCheckpoint() clock.Millis {
	return clock.Millis(r.checkpoint.Load())
}

// Bereft tells that the log was read to its end and holds neither all records
// nor a checkpoint, and that no peer has given a state.
func (r *Reader) Bereft() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.Load() == nil && r.atEnd
}

// NewBase returns a state without configuration to start from after upTo, all
// shards marked lost. It is for a log that has lost the state before.
func NewBase(upTo ident.Offset, at clock.Millis) *State {
	state := newState()
	state.UpTo = upTo
	state.Views.MarkLost(max(upTo, 1), at)
	return state
}

// Apply folds a batch in order.
func (r *Reader) Apply(batch tail.Batch) {
	r.mu.Lock()
	state := r.current.Load()
	before := state
	if state == nil && batch.First <= 1 {
		state = newState()
	}
	if state != nil && state.UpTo+1 >= batch.First && len(r.waiting) == 0 {
		state = foldAll(state, batch.Records)
	} else {
		r.waiting = append(r.waiting, batch.Records...)
		state = r.rebase(state, batch.First)
	}
	r.noteCheckpoints(batch.Records)
	r.publish(state)
	last := batch.First - 1
	if n := len(batch.Records); n > 0 {
		last = batch.Records[n-1].Offset
	}
	r.atEnd = last+1 >= batch.Next
	if state != nil && len(r.waiting) == 0 && max(last, state.UpTo)+1 >= batch.Next {
		r.caughtUp.Store(true)
	}
	r.mu.Unlock()
	if state != before && r.Changed != nil {
		r.Changed(state)
	}
}

// Adopt takes a state that a peer or a checkpoint holds, if it is newer.
func (r *Reader) Adopt(state *State) bool {
	r.mu.Lock()
	current := r.current.Load()
	newer := current == nil || state.UpTo > current.UpTo
	if newer {
		state = foldAll(state, r.waiting)
		r.waiting = nil
		r.publish(state)
		r.caughtUp.Store(true)
	}
	r.mu.Unlock()
	if newer && r.Changed != nil {
		r.Changed(state)
	}
	return newer
}

func (r *Reader) publish(state *State) {
	if state != nil {
		r.current.Store(state)
	}
}

// rebase looks in the waiting records for a checkpoint after which nothing is
// missing. Until there is one, the state before stays in force.
func (r *Reader) rebase(state *State, first ident.Offset) *State {
	for _, record := range r.waiting {
		base, ok := decodeCheckpoint(record)
		if !ok || base.UpTo+1 < first || (state != nil && base.UpTo < state.UpTo) {
			continue
		}
		state = foldAll(base, r.waiting)
		r.waiting = nil
		return state
	}
	return state
}

func (r *Reader) noteCheckpoints(records []tail.Record) {
	for _, record := range records {
		if w, err := decode(record.Data); err == nil && w.Kind == checkpointRecord {
			r.checkpoint.Store(int64(record.At))
		}
	}
}

// foldAll returns the state after the records; the given state is not changed.
func foldAll(state *State, records []tail.Record) *State {
	next := state
	for _, record := range records {
		if record.Offset <= next.UpTo {
			continue
		}
		if next == state {
			next = state.clone()
		}
		foldOne(next, record)
	}
	return next
}

// foldOne applies one record. An unreadable record changes nothing, the same
// for every reader.
func foldOne(state *State, record tail.Record) {
	state.UpTo = record.Offset
	w, err := decode(record.Data)
	if err != nil {
		return
	}
	switch w.Kind {
	case changeRecord:
		if change, err := conf.DecodeChange(w.Body); err == nil {
			state.Conf.Apply(change, record.Offset, record.At)
		}
	case viewsRecord:
		if proposals, err := views.DecodeProposals(w.Body); err == nil {
			state.Views.Judge(proposals, record.Offset, record.At)
		}
	case checkpointRecord:
	}
}

type recordWire struct {
	Kind recordKind
	Body json.RawMessage
}

type stateWire struct {
	UpTo  int64
	Conf  json.RawMessage
	Views json.RawMessage
}

func decode(data []byte) (recordWire, error) {
	var w recordWire
	if err := json.Unmarshal(data, &w); err != nil {
		return w, fault.Wrap("fold.decode", Corrupt, err, "unreadable record")
	}
	return w, nil
}

func decodeCheckpoint(record tail.Record) (*State, bool) {
	w, err := decode(record.Data)
	if err != nil || w.Kind != checkpointRecord {
		return nil, false
	}
	state, err := DecodeState(w.Body)
	return state, err == nil
}

// EncodeState returns the JSON form of a state.
func EncodeState(s *State) ([]byte, error) {
	config, err := conf.EncodeState(s.Conf)
	if err != nil {
		return nil, fault.Wrap("fold.EncodeState", Corrupt, err, "configuration")
	}
	shards, err := views.EncodeState(s.Views)
	if err != nil {
		return nil, fault.Wrap("fold.EncodeState", Corrupt, err, "views")
	}
	return json.Marshal(stateWire{UpTo: int64(s.UpTo), Conf: config, Views: shards})
}

// DecodeState reads the JSON form of a state.
func DecodeState(data []byte) (*State, error) {
	var w stateWire
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, fault.Wrap("fold.DecodeState", Corrupt, err, "unreadable JSON")
	}
	config, err := conf.DecodeState(w.Conf)
	if err != nil {
		return nil, fault.Wrap("fold.DecodeState", Corrupt, err, "configuration")
	}
	shards, err := views.DecodeState(w.Views)
	if err != nil {
		return nil, fault.Wrap("fold.DecodeState", Corrupt, err, "views")
	}
	return &State{UpTo: ident.Offset(w.UpTo), Conf: config, Views: shards}, nil
}

// ChangeRecord returns the record that applies a change.
func ChangeRecord(c conf.Change) ([]byte, error) {
	body, err := conf.EncodeChange(c)
	return wrap(changeRecord, body, err)
}

// ViewsRecord returns the record that proposes views.
func ViewsRecord(proposals []views.Proposal) ([]byte, error) {
	body, err := views.EncodeProposals(proposals)
	return wrap(viewsRecord, body, err)
}

// CheckpointRecord returns the record that carries a state.
func CheckpointRecord(s *State) ([]byte, error) {
	body, err := EncodeState(s)
	return wrap(checkpointRecord, body, err)
}

func wrap(kind recordKind, body []byte, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return json.Marshal(recordWire{Kind: kind, Body: body})
}
