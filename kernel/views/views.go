// Package views decides which two instances are the primary and the backup of each
// shard of request ids. Instances append proposals to the platform's log. The order
// of the log decides between conflicting proposals, so no coordinator is needed.
//
// A view changes one step at a time:
//
//	(P, B)  -> (P, B')       the primary replaces its backup
//	(P, B)  -> (B, B')       a backup that holds the state takes over
//	(P, B)  -> (X, Y) Lost   both are gone; X starts without the state
//
// A proposal names the epoch it is based on and is valid only while that epoch is
// current, so the first of several conflicting proposals in the log wins.
package views

import (
	"encoding/json"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Corrupt means that a record could not be decoded.
const Corrupt Kind = "Corrupt"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Shard is the number of a shard of request ids, from 0 to Shards-1.
type Shard int

// Shards is the number of shards. To change it, all instances must be stopped for
// longer than the repeat window.
const Shards = 64

// ShardOf returns the shard of a request id or of another key.
func ShardOf(id string) Shard {
	return Shard(ident.Hash("shard", id) % Shards)
}

// View names the primary and the backup of a shard. Epoch is the offset of the log
// record that created the view, and serves as fencing number for the primary's orders.
type View struct {
	Epoch ident.Offset
	// Base is the epoch of the previous view.
	Base    ident.Offset
	Primary ident.InstanceName
	// Backup is empty if the primary has no backup.
	Backup ident.InstanceName
	// Lost means that the state of the previous view was lost.
	Lost bool
	// At is the log's timestamp of the record.
	At clock.Millis
}

// Has reports whether the instance is the primary or the backup.
func (v View) Has(name ident.InstanceName) bool {
	return name != "" && (v.Primary == name || v.Backup == name)
}

// Partner returns the other member of the view, or "" if there is no backup. name must be
// a member; for any other name, Partner returns the primary.
func (v View) Partner(name ident.InstanceName) ident.InstanceName {
	if v.Primary == name {
		return v.Backup
	}
	return v.Primary
}

// Proposal asks for a new view of one shard. Base is the epoch of the view it replaces.
type Proposal struct {
	Shard   Shard
	Base    ident.Offset
	Primary ident.InstanceName
	Backup  ident.InstanceName
	Lost    bool
}

// State is the view of each shard after a prefix of the log.
type State struct {
	Views [Shards]View
}

// Clone returns a copy that shares nothing with s.
func (s *State) Clone() *State {
	c := *s
	return &c
}

// Apply applies the proposals of the log record at offset; invalid ones are ignored. In
// a view that is not Lost, the primary must be a member of the previous view, because only
// members can hold the state.
func (s *State) Apply(proposals []Proposal, offset ident.Offset, at clock.Millis) {
	for _, p := range proposals {
		if p.Shard < 0 || p.Shard >= Shards || p.Primary == "" || p.Primary == p.Backup {
			continue
		}
		current := s.Views[p.Shard]
		if current.Epoch != p.Base {
			continue
		}
		if !p.Lost && current.Epoch != 0 && !current.Has(p.Primary) {
			continue
		}
		s.Views[p.Shard] = View{Epoch: offset, Base: p.Base, Primary: p.Primary, Backup: p.Backup, Lost: p.Lost, At: at}
	}
}

// MarkLost gives each shard without a view an empty one that is marked Lost. It is for a
// log whose first records have expired: such shards must not be treated as new.
func (s *State) MarkLost(offset ident.Offset, at clock.Millis) {
	for i := range s.Views {
		if s.Views[i].Epoch == 0 {
			s.Views[i] = View{Epoch: offset, Lost: true, At: at}
		}
	}
}

type proposalWire struct {
	Shard   int
	Base    int64
	Primary string
	Backup  string
	Lost    bool
}

type viewWire struct {
	Epoch   int64
	Base    int64
	Primary string
	Backup  string
	Lost    bool
	At      int64
}

// EncodeProposals returns proposals as JSON.
func EncodeProposals(proposals []Proposal) ([]byte, error) {
	wires := make([]proposalWire, 0, len(proposals))
	for _, p := range proposals {
		wires = append(wires, proposalWire{
			Shard: int(p.Shard), Base: int64(p.Base), Primary: string(p.Primary), Backup: string(p.Backup), Lost: p.Lost,
		})
	}
	return json.Marshal(wires)
}

// DecodeProposals decodes the JSON of EncodeProposals.
func DecodeProposals(data []byte) ([]Proposal, error) {
	var wires []proposalWire
	if err := json.Unmarshal(data, &wires); err != nil {
		return nil, fault.Wrap("views.DecodeProposals", Corrupt, err, "invalid JSON of view proposals")
	}
	proposals := make([]Proposal, 0, len(wires))
	for _, w := range wires {
		proposals = append(proposals, Proposal{
			Shard: Shard(w.Shard), Base: ident.Offset(w.Base),
			Primary: ident.InstanceName(w.Primary), Backup: ident.InstanceName(w.Backup), Lost: w.Lost,
		})
	}
	return proposals, nil
}

// EncodeState returns a state as JSON, for checkpoints.
func EncodeState(s *State) ([]byte, error) {
	wires := make([]viewWire, 0, Shards)
	for _, v := range s.Views {
		wires = append(wires, viewWire{
			Epoch: int64(v.Epoch), Base: int64(v.Base), Primary: string(v.Primary), Backup: string(v.Backup), Lost: v.Lost, At: int64(v.At),
		})
	}
	return json.Marshal(wires)
}

// DecodeState decodes the JSON of EncodeState.
func DecodeState(data []byte) (*State, error) {
	var wires []viewWire
	if err := json.Unmarshal(data, &wires); err != nil {
		return nil, fault.Wrap("views.DecodeState", Corrupt, err, "invalid JSON of the views")
	}
	if len(wires) != Shards {
		return nil, fault.New("views.DecodeState", Corrupt, "wrong number of shards")
	}
	s := &State{}
	for i, w := range wires {
		s.Views[i] = View{
			Epoch: ident.Offset(w.Epoch), Base: ident.Offset(w.Base), Primary: ident.InstanceName(w.Primary),
			Backup: ident.InstanceName(w.Backup), Lost: w.Lost, At: clock.Millis(w.At),
		}
	}
	return s, nil
}
