// Package views says which instances look after each shard of ids: a primary
// and a backup. The order of the platform's log decides between proposals, so
// no instance coordinates the others.
//
// A view changes in one step at a time:
//
//	(P, B)  -> (P, B')       the primary replaces its backup
//	(P, B)  -> (B, B')       a backup that holds the state takes over
//	(P, B)  -> (X, Y) Lost   both are gone; X starts without the state
//
// A proposal names the epoch it starts from and counts only while that epoch
// is in force, so of racing proposals the first in the log wins.
package views

import (
	"encoding/json"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Corrupt means that a record could not be read.
const Corrupt Kind = "Corrupt"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Shard is the index of a shard of ids.
type Shard int

// Shards is how many shards there are. It is fixed: changing it needs all
// instances stopped for longer than the repeat window.
const Shards = 64

// ShardOf returns the shard of an id.
func ShardOf(id string) Shard {
	return Shard(ident.Hash("shard", id) % Shards)
}

// View is who looks after a shard. Epoch is the offset of the record that
// made it, and serves as the fencing number of what its primary orders.
type View struct {
	Epoch ident.Offset
	// Base is the epoch of the view before.
	Base    ident.Offset
	Primary ident.InstanceName
	// Backup is empty when one instance is alone.
	Backup ident.InstanceName
	// Lost says that the state of the view before was lost.
	Lost bool
	// At is the log's time of the record.
	At clock.Millis
}

// Has tells whether the instance is a member of the view.
func (v View) Has(name ident.InstanceName) bool {
	return name != "" && (v.Primary == name || v.Backup == name)
}

// Partner returns the member that is not name, or "".
func (v View) Partner(name ident.InstanceName) ident.InstanceName {
	if v.Primary == name {
		return v.Backup
	}
	return v.Primary
}

// Proposal asks for a new view of one shard.
type Proposal struct {
	Shard   Shard
	Base    ident.Offset
	Primary ident.InstanceName
	Backup  ident.InstanceName
	Lost    bool
}

// State is the views after a prefix of the log.
type State struct {
	Views [Shards]View
}

// Clone returns a copy.
func (s *State) Clone() *State {
	c := *s
	return &c
}

// Apply applies proposals that stand in the record at offset. A view that is
// not Lost must keep a member of the view before as its primary, since only
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

// MarkLost marks the shards without a view, after records before the first
// kept one have expired, so that nobody takes them for new.
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

// EncodeProposals returns the JSON form of proposals.
func EncodeProposals(proposals []Proposal) ([]byte, error) {
	wires := make([]proposalWire, 0, len(proposals))
	for _, p := range proposals {
		wires = append(wires, proposalWire{
			Shard: int(p.Shard), Base: int64(p.Base), Primary: string(p.Primary), Backup: string(p.Backup), Lost: p.Lost,
		})
	}
	return json.Marshal(wires)
}

// DecodeProposals reads the JSON form of proposals.
func DecodeProposals(data []byte) ([]Proposal, error) {
	var wires []proposalWire
	if err := json.Unmarshal(data, &wires); err != nil {
		return nil, fault.Wrap("views.DecodeProposals", Corrupt, err, "unreadable JSON")
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

// EncodeState returns the JSON form of a state, for checkpoints.
func EncodeState(s *State) ([]byte, error) {
	wires := make([]viewWire, 0, Shards)
	for _, v := range s.Views {
		wires = append(wires, viewWire{
			Epoch: int64(v.Epoch), Base: int64(v.Base), Primary: string(v.Primary), Backup: string(v.Backup), Lost: v.Lost, At: int64(v.At),
		})
	}
	return json.Marshal(wires)
}

// DecodeState reads the JSON form of a state.
func DecodeState(data []byte) (*State, error) {
	var wires []viewWire
	if err := json.Unmarshal(data, &wires); err != nil {
		return nil, fault.Wrap("views.DecodeState", Corrupt, err, "unreadable JSON")
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
