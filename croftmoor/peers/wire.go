package peers

import (
	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/once"
	"croftmoor.dev/kernel/steps"
	"croftmoor.dev/kernel/views"
)

type heartbeatWire struct {
	Instance string
	UpTo     int64
	Revision int64
	Draining bool
}

type emptyWire struct{}

type stateWire struct {
	State []byte
}

type claimWire struct {
	ID     string
	Runner string
	Flight int64
	Issued int64
}

type entryWire struct {
	ID     string
	Status string
	Runner string
	Flight int64
	Grant  int64
	At     int64
	Answer answerWire
}

type answerWire struct {
	Status  int
	Body    []byte
	Backend string
}

type recordWire struct {
	Shard int
	From  string
	Epoch int64
	Drop  bool
	Entry entryWire
}

type installWire struct {
	Shard     int
	From      string
	Epoch     int64
	Entries   []entryWire
	LostUntil int64
}

type settleWire struct {
	ID      string
	Runner  string
	Flight  int64
	Outcome string
	Answer  answerWire
}

type openWire struct {
	Trainer   string
	Step      int64
	Prompts   []string
	GroupSize int
	MaxTokens int32
	Bound     int64
	Have      string
	Version   int64
	HandedOn  bool
	Ready     []SampleWire
}

type pullWire struct {
	Trainer string
	Step    int64
	PullID  string
	Have    string
	Version int64
	Most    int
	Wait    int64
}

type pulledWire struct {
	PullID  string
	Step    int64
	Owner   string
	Samples []SampleWire
	Missing int
	Running int
	Ready   int
	Held    int
}

// SampleWire is the wire form of a sample between instances and, as JSON, to trainers.
type SampleWire struct {
	ID     string
	Slot   int32
	Prompt string
	Text   string
	Spans  []SpanWire
	Reward float64
}

// SpanWire is the wire form of a run of tokens made by one version of the weights.
type SpanWire struct {
	Version int64
	Tokens  int32
}

type publicationWire struct {
	Trainer string
	Version int64
}

type observedVersionWire struct {
	Service string
	Server  string
	Trainer string
	Version int64
}

func observedVersionToWire(observed pool.ObservedVersion) observedVersionWire {
	return observedVersionWire{Service: string(observed.Service), Server: string(observed.Server), Trainer: string(observed.Trainer), Version: int64(observed.Version)}
}

func observedVersionFromWire(w observedVersionWire) pool.ObservedVersion {
	return pool.ObservedVersion{
		Service: ident.Service(w.Service), Server: ident.BackendName(w.Server),
		Trainer: ident.Trainer(w.Trainer), Version: ident.Version(w.Version),
	}
}

func heartbeatToWire(h Heartbeat) heartbeatWire {
	return heartbeatWire{Instance: string(h.Instance), UpTo: int64(h.UpTo), Revision: int64(h.Revision), Draining: h.Draining}
}

func heartbeatFromWire(w heartbeatWire) Heartbeat {
	return Heartbeat{
		Instance: ident.InstanceName(w.Instance), UpTo: ident.Offset(w.UpTo),
		Revision: ident.Revision(w.Revision), Draining: w.Draining,
	}
}

func claimToWire(r once.Request) claimWire {
	return claimWire{ID: string(r.ID), Runner: string(r.Runner), Flight: r.Attempt, Issued: int64(r.Issued)}
}

func claimFromWire(w claimWire) once.Request {
	return once.Request{
		ID: ident.RequestID(w.ID), Runner: ident.InstanceName(w.Runner), Attempt: w.Flight, Issued: clock.Millis(w.Issued),
	}
}

func answerToWire(a once.Answer) answerWire {
	return answerWire{Status: a.Status, Body: a.Body, Backend: string(a.Backend)}
}

func answerFromWire(w answerWire) once.Answer {
	return once.Answer{Status: w.Status, Body: w.Body, Backend: ident.BackendName(w.Backend)}
}

func entryToWire(e once.Entry) entryWire {
	return entryWire{
		ID: string(e.ID), Status: string(e.Status), Runner: string(e.Runner), Flight: e.Attempt,
		At: int64(e.At), Answer: answerToWire(e.Answer),
	}
}

func entryFromWire(w entryWire) once.Entry {
	return once.Entry{
		ID: ident.RequestID(w.ID), Status: once.Status(w.Status), Runner: ident.InstanceName(w.Runner), Attempt: w.Flight,
		At: clock.Millis(w.At), Answer: answerFromWire(w.Answer),
	}
}

func recordToWire(r Record) recordWire {
	return recordWire{
		Shard: int(r.Shard), From: string(r.From), Epoch: int64(r.Op.Epoch), Drop: r.Op.Drop, Entry: entryToWire(r.Op.Entry),
	}
}

func recordFromWire(w recordWire) Record {
	return Record{
		Shard: views.Shard(w.Shard), From: ident.InstanceName(w.From),
		Op: once.Op{Epoch: ident.Offset(w.Epoch), Drop: w.Drop, Entry: entryFromWire(w.Entry)},
	}
}

func installToWire(i Install) installWire {
	w := installWire{
		Shard: int(i.Snapshot.Shard), From: string(i.From), Epoch: int64(i.Snapshot.Epoch),
		LostUntil: int64(i.Snapshot.LostUntil),
	}
	for _, e := range i.Snapshot.Entries {
		w.Entries = append(w.Entries, entryToWire(e))
	}
	return w
}

func installFromWire(w installWire) Install {
	snapshot := once.Snapshot{
		Shard: views.Shard(w.Shard), Epoch: ident.Offset(w.Epoch), LostUntil: clock.Millis(w.LostUntil),
	}
	for _, e := range w.Entries {
		snapshot.Entries = append(snapshot.Entries, entryFromWire(e))
	}
	return Install{From: ident.InstanceName(w.From), Snapshot: snapshot}
}

func settleToWire(t once.Settlement) settleWire {
	return settleWire{
		ID: string(t.ID), Runner: string(t.Runner), Flight: t.Attempt, Outcome: string(t.Outcome), Answer: answerToWire(t.Answer),
	}
}

func settleFromWire(w settleWire) once.Settlement {
	return once.Settlement{
		ID: ident.RequestID(w.ID), Runner: ident.InstanceName(w.Runner), Attempt: w.Flight,
		Outcome: once.Outcome(w.Outcome), Answer: answerFromWire(w.Answer),
	}
}

func openToWire(o Open) openWire {
	w := openWire{
		Trainer: string(o.Spec.Trainer), Step: int64(o.Spec.Step), Prompts: o.Spec.Prompts, GroupSize: o.Spec.GroupSize,
		MaxTokens: int32(o.Spec.MaxTokens), Bound: int64(o.Spec.StalenessBound), Have: o.Have.Text(), Version: int64(o.Version),
		HandedOn: o.HandedOver,
	}
	for _, s := range o.Ready {
		w.Ready = append(w.Ready, SampleToWire(s))
	}
	return w
}

func openFromWire(w openWire) (Open, error) {
	have, err := steps.ParseSet(w.Have)
	o := Open{
		Spec: steps.Spec{
			Trainer: ident.Trainer(w.Trainer), Step: ident.Step(w.Step), Prompts: w.Prompts, GroupSize: w.GroupSize,
			MaxTokens: ident.Tokens(w.MaxTokens), StalenessBound: ident.Version(w.Bound),
		},
		Have: have, Version: ident.Version(w.Version), HandedOver: w.HandedOn,
	}
	for _, s := range w.Ready {
		o.Ready = append(o.Ready, SampleFromWire(s))
	}
	return o, err
}

func pullToWire(p Pull) pullWire {
	return pullWire{
		Trainer: string(p.Trainer), Step: int64(p.Step), PullID: p.PullID, Have: p.Have.Text(),
		Version: int64(p.Version), Most: p.MaxSamples, Wait: int64(p.Wait),
	}
}

func pullFromWire(w pullWire) (Pull, error) {
	have, err := steps.ParseSet(w.Have)
	return Pull{
		Trainer: ident.Trainer(w.Trainer), Step: ident.Step(w.Step), PullID: w.PullID, Have: have,
		Version: ident.Version(w.Version), MaxSamples: w.Most, Wait: clock.Millis(w.Wait),
	}, err
}

func pulledToWire(p Pulled) pulledWire {
	w := pulledWire{
		PullID: p.PullID, Step: int64(p.Step), Owner: string(p.Owner),
		Missing: p.Missing, Running: p.Running, Ready: p.Ready, Held: p.Held,
	}
	for _, s := range p.Samples {
		w.Samples = append(w.Samples, SampleToWire(s))
	}
	return w
}

func pulledFromWire(w pulledWire) Pulled {
	p := Pulled{
		PullID: w.PullID, Step: ident.Step(w.Step), Owner: ident.InstanceName(w.Owner),
		Missing: w.Missing, Running: w.Running, Ready: w.Ready, Held: w.Held,
	}
	for _, s := range w.Samples {
		p.Samples = append(p.Samples, SampleFromWire(s))
	}
	return p
}

// SampleToWire converts a sample to its wire form.
func SampleToWire(s *steps.Sample) SampleWire {
	w := SampleWire{ID: s.ID, Slot: int32(s.Slot), Prompt: s.Prompt, Text: s.Text, Reward: s.Reward}
	for _, span := range s.Spans {
		w.Spans = append(w.Spans, SpanWire{Version: int64(span.Version), Tokens: int32(span.Tokens)})
	}
	return w
}

// SampleFromWire converts a sample from its wire form.
func SampleFromWire(w SampleWire) *steps.Sample {
	s := &steps.Sample{ID: w.ID, Slot: ident.Slot(w.Slot), Prompt: w.Prompt, Text: w.Text, Reward: w.Reward}
	for _, span := range w.Spans {
		s.Spans = append(s.Spans, steps.Span{Version: ident.Version(span.Version), Tokens: ident.Tokens(span.Tokens)})
	}
	return s
}
