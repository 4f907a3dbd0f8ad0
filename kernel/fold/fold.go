// Package fold builds the state that all instances share from the system stream of
// the platform's log: the teams' configuration and the views of the shards. The
// state depends only on the records up to an offset.
//
// Records expire. A checkpoint record contains the whole state up to an offset. A
// reader that starts late takes the first checkpoint after which no record is
// missing, and then applies the records after it.
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

// Corrupt means that a record could not be decoded.
const Corrupt Kind = "Corrupt"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Stream is the name of the system stream in the platform's log.
const Stream ident.Stream = "croftmoor"

// recordKind is the type of a record's body.
type recordKind string

const (
	changeRecord     recordKind = "Change"
	viewsRecord      recordKind = "Views"
	checkpointRecord recordKind = "Checkpoint"
)

// State is the shared state after all records up to offset UpTo, inclusive. It is
// immutable once it is published.
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

// Reader builds the shared state from batches of records. All methods are safe for
// concurrent use; mu guards the fields that are not atomic.
type Reader struct {
	// OnChange is called after a new state is published, without the lock; it may be nil.
	OnChange func(*State)

	mu      sync.Mutex
	current atomic.Pointer[State]
	// buffered are records that can't be applied yet because earlier ones are missing.
	buffered []tail.Record
	// readToEnd is true if the last batch reached the end of the log.
	readToEnd bool
	caughtUp  atomic.Bool
	// lastCheckpoint is the log's timestamp of the newest checkpoint, in milliseconds.
	lastCheckpoint atomic.Int64
}

// Current returns the newest state, or nil if there is none yet.
func (r *Reader) Current() *State {
	return r.current.Load()
}

// CaughtUp reports whether the state has ever reached the end of the log, or was adopted.
func (r *Reader) CaughtUp() bool {
	return r.caughtUp.Load()
}

// LastCheckpoint returns the log's timestamp of the newest checkpoint seen, or 0.
func (r *Reader) LastCheckpoint() clock.Millis {
	return clock.Millis(r.lastCheckpoint.Load())
}

// StateMissing reports whether the log was read to its end without yielding a state
// (records are missing and there is no usable checkpoint), and no state was adopted.
func (r *Reader) StateMissing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.Load() == nil && r.readToEnd
}

// NewRecoveryState returns a state at offset upTo without configuration, with all shards
// marked lost. Use it if the log has lost the state.
func NewRecoveryState(upTo ident.Offset, at clock.Millis) *State {
	state := newState()
	state.UpTo = upTo
	state.Views.MarkLost(max(upTo, 1), at)
	return state
}

// Apply applies a batch of records, which must be in order of their offsets.
func (r *Reader) Apply(batch tail.Batch) {
	r.mu.Lock()
	state := r.current.Load()
	before := state
	if state == nil && batch.First <= 1 {
		state = newState()
	}
	if state != nil && state.UpTo+1 >= batch.First && len(r.buffered) == 0 {
		state = foldAll(state, batch.Records)
	} else {
		r.buffered = append(r.buffered, batch.Records...)
		state = r.restoreFromCheckpoint(state, batch.First)
	}
	r.trackCheckpoints(batch.Records)
	r.publish(state)
	last := batch.First - 1
	if n := len(batch.Records); n > 0 {
		last = batch.Records[n-1].Offset
	}
	r.readToEnd = last+1 >= batch.Next
	if state != nil && len(r.buffered) == 0 && max(last, state.UpTo)+1 >= batch.Next {
		r.caughtUp.Store(true)
	}
	r.mu.Unlock()
	if state != before && r.OnChange != nil {
		r.OnChange(state)
	}
}

// Adopt takes a state from a peer or a checkpoint if it is newer than the current one, and
// reports whether it did.
func (r *Reader) Adopt(state *State) bool {
	r.mu.Lock()
	current := r.current.Load()
	newer := current == nil || state.UpTo > current.UpTo
	if newer {
		state = foldAll(state, r.buffered)
		r.buffered = nil
		r.publish(state)
		r.caughtUp.Store(true)
	}
	r.mu.Unlock()
	if newer && r.OnChange != nil {
		r.OnChange(state)
	}
	return newer
}

func (r *Reader) publish(state *State) {
	if state != nil {
		r.current.Store(state)
	}
}

// restoreFromCheckpoint searches the buffered records for a checkpoint after which no
// record is missing, and applies the records after it. If there is none, it returns the
// given state. first is the offset of the oldest record in the log.
func (r *Reader) restoreFromCheckpoint(state *State, first ident.Offset) *State {
	for _, record := range r.buffered {
		base, ok := decodeCheckpoint(record)
		if !ok || base.UpTo+1 < first || (state != nil && base.UpTo < state.UpTo) {
			continue
		}
		state = foldAll(base, r.buffered)
		r.buffered = nil
		return state
	}
	return state
}

func (r *Reader) trackCheckpoints(records []tail.Record) {
	for _, record := range records {
		if w, err := decodeRecord(record.Data); err == nil && w.Kind == checkpointRecord {
			r.lastCheckpoint.Store(int64(record.At))
		}
	}
}

// foldAll returns the state after the records, and leaves the given state unchanged. It
// skips records up to state.UpTo.
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

// foldOne applies one record to state. Every reader skips unreadable records, so that all
// readers agree.
func foldOne(state *State, record tail.Record) {
	state.UpTo = record.Offset
	w, err := decodeRecord(record.Data)
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
			state.Views.Apply(proposals, record.Offset, record.At)
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

func decodeRecord(data []byte) (recordWire, error) {
	var w recordWire
	if err := json.Unmarshal(data, &w); err != nil {
		return w, fault.Wrap("fold.decodeRecord", Corrupt, err, "invalid JSON of a record")
	}
	return w, nil
}

func decodeCheckpoint(record tail.Record) (*State, bool) {
	w, err := decodeRecord(record.Data)
	if err != nil || w.Kind != checkpointRecord {
		return nil, false
	}
	state, err := DecodeState(w.Body)
	return state, err == nil
}

// EncodeState returns a state as JSON.
func EncodeState(s *State) ([]byte, error) {
	config, err := conf.EncodeState(s.Conf)
	if err != nil {
		return nil, fault.Wrap("fold.EncodeState", Corrupt, err, "can't encode the configuration")
	}
	shardViews, err := views.EncodeState(s.Views)
	if err != nil {
		return nil, fault.Wrap("fold.EncodeState", Corrupt, err, "can't encode the views")
	}
	return json.Marshal(stateWire{UpTo: int64(s.UpTo), Conf: config, Views: shardViews})
}

// DecodeState decodes the JSON of EncodeState.
func DecodeState(data []byte) (*State, error) {
	var w stateWire
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, fault.Wrap("fold.DecodeState", Corrupt, err, "invalid JSON of a state")
	}
	config, err := conf.DecodeState(w.Conf)
	if err != nil {
		return nil, fault.Wrap("fold.DecodeState", Corrupt, err, "can't decode the configuration")
	}
	shardViews, err := views.DecodeState(w.Views)
	if err != nil {
		return nil, fault.Wrap("fold.DecodeState", Corrupt, err, "can't decode the views")
	}
	return &State{UpTo: ident.Offset(w.UpTo), Conf: config, Views: shardViews}, nil
}

// ChangeRecord returns the record of a configuration change.
func ChangeRecord(c conf.Change) ([]byte, error) {
	body, err := conf.EncodeChange(c)
	return encodeRecord(changeRecord, body, err)
}

// ViewsRecord returns the record of view proposals.
func ViewsRecord(proposals []views.Proposal) ([]byte, error) {
	body, err := views.EncodeProposals(proposals)
	return encodeRecord(viewsRecord, body, err)
}

// CheckpointRecord returns the record of a checkpoint.
func CheckpointRecord(s *State) ([]byte, error) {
	body, err := EncodeState(s)
	return encodeRecord(checkpointRecord, body, err)
}

func encodeRecord(kind recordKind, body []byte, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return json.Marshal(recordWire{Kind: kind, Body: body})
}
