package detour

import (
	"context"
	"net/http"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
)

// Procedures.
const (
	appendPath = "/croftmoor.Detour/Append"
	readPath   = "/croftmoor.Detour/Read"
	// newestPath's name tells it from one that gives all pages at once.
	newestPath = "/croftmoor.Detour/NewestPage"
)

type appendWire struct {
	Stream   string
	Producer string
	Epoch    int64
	Seq      int64
	Records  [][]byte
}

type offsetWire struct {
	Offset int64
}

type readWire struct {
	Stream     string
	From       int64
	Most       int
	WaitMillis int64
}

// batchWire holds records with consecutive offsets from From on.
type batchWire struct {
	First   int64
	Next    int64
	From    int64
	Records [][]byte
}

type newestWire struct {
	Stream string
	After  string
}

type pageWire struct {
	Entries []entryWire
	Next    int64
	More    bool
}

type entryWire struct {
	Key    string
	Value  []byte
	Offset int64
}

func appendToWire(stream ident.Stream, ticket tail.Ticket, records [][]byte) appendWire {
	return appendWire{Stream: string(stream), Producer: ticket.Producer, Epoch: ticket.Epoch, Seq: ticket.Seq, Records: records}
}

func batchToWire(b tail.Batch) *batchWire {
	w := &batchWire{First: int64(b.First), Next: int64(b.Next)}
	if len(b.Records) > 0 {
		w.From = int64(b.Records[0].Offset)
	}
	for _, r := range b.Records {
		w.Records = append(w.Records, r.Data)
	}
	return w
}

func batchFromWire(w *batchWire) tail.Batch {
	b := tail.Batch{First: ident.Offset(w.First), Next: ident.Offset(w.Next)}
	for i, data := range w.Records {
		b.Records = append(b.Records, tail.Record{Offset: ident.Offset(w.From + int64(i)), Data: data})
	}
	return b
}

func pageToWire(p tail.Page) *pageWire {
	w := &pageWire{Next: int64(p.Next), More: p.More}
	for _, e := range p.Entries {
		w.Entries = append(w.Entries, entryWire{Key: e.Key, Value: e.Value, Offset: int64(e.Offset)})
	}
	return w
}

func pageFromWire(w *pageWire) tail.Page {
	p := tail.Page{Next: ident.Offset(w.Next), More: w.More}
	for _, e := range w.Entries {
		p.Entries = append(p.Entries, tail.Entry{Key: e.Key, Value: e.Value, Offset: ident.Offset(e.Offset)})
	}
	return p
}

// Handle answers the calls of other instances; it goes the direct way only.
func Handle(mux *http.ServeMux, direct Direct) {
	rpcs.Handle(mux, appendPath, toConnect, func(ctx context.Context, w *appendWire) (*offsetWire, error) {
		ticket := tail.Ticket{Producer: w.Producer, Epoch: w.Epoch, Seq: w.Seq}
		offset, err := direct.AppendOnce(ctx, ident.Stream(w.Stream), ticket, w.Records)
		return &offsetWire{Offset: int64(offset)}, err
	})
	rpcs.Handle(mux, readPath, toConnect, func(ctx context.Context, w *readWire) (*batchWire, error) {
		batch, err := direct.ReadSome(ctx, ident.Stream(w.Stream), ident.Offset(w.From), w.Most, clock.Millis(w.WaitMillis))
		return batchToWire(batch), err
	})
	rpcs.Handle(mux, newestPath, toConnect, func(ctx context.Context, w *newestWire) (*pageWire, error) {
		page, err := direct.Newest(ctx, ident.Stream(w.Stream), w.After)
		return pageToWire(page), err
	})
}

// toConnect maps an error to the wire, fromConnect back.
func toConnect(err error) error {
	return rpcs.WithKind(err, string(fault.KindOf[tail.Kind](err)))
}

// fromConnect returns the peer's error; unsure is its kind when the peer itself
// gave none.
func fromConnect(op string, unsure tail.Kind, err error) error {
	kind := unsure
	if told := rpcs.KindOf(err); told != "" {
		kind = tail.Kind(told)
	}
	return fault.Wrap(op, kind, err, "through another instance")
}
