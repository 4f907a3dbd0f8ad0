package jobs

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"croftmoor.dev/kernel/ident"
)

// maxListLength bounds the lists in a record: a corrupt length must not exhaust memory.
const maxListLength = 1 << 20

// Encode returns the bytes of a record: its kind, then its fields in order. New fields
// may only be appended.
func Encode(r Record) []byte {
	w := &writer{}
	w.encoder = msgpack.NewEncoder(&w.buffer)
	w.encoder.UseCompactInts(true)
	w.int(int64(r.kind()))
	switch v := r.(type) {
	case Accept:
		w.accept(v)
	case Claim:
		w.claim(v)
	case Yield:
		w.yield(v)
	case Finish:
		w.finish(v)
	case End:
		w.text(string(v.Job))
	case Heartbeat:
		w.text(string(v.By))
		w.text(string(v.Zone))
		w.flag(v.Leaving)
		w.text(string(v.Address))
		w.int(int64(v.Start))
		w.length(len(v.Roles))
		for _, held := range v.Roles {
			w.text(held.Role)
			w.int(int64(held.Fence))
		}
	case Hold:
		w.text(v.Role)
		w.text(string(v.By))
		w.int(int64(v.Replaces))
	case LoadOrder, OrderSettled, Loaded:
		w.weights(v)
	case UsageDelta, UsageTotal, UsageReported:
		w.usage(v)
	case SavePartial:
		w.savePartial(v)
	case Defer:
		w.text(string(v.Job))
		w.text(string(v.By))
		w.int(int64(v.Index))
		w.int(int64(v.Millis))
	case Avoid:
		w.text(string(v.By))
		w.text(string(v.Engine))
		w.int(int64(v.Millis))
	}
	return w.buffer.Bytes()
}

// writer encodes fields into a buffer, which cannot fail.
type writer struct {
	buffer  bytes.Buffer
	encoder *msgpack.Encoder
}

func (w *writer) text(s string) { _ = w.encoder.EncodeString(s) }
func (w *writer) int(n int64)   { _ = w.encoder.EncodeInt(n) }
func (w *writer) flag(b bool)   { _ = w.encoder.EncodeBool(b) }
func (w *writer) length(n int)  { _ = w.encoder.EncodeArrayLen(n) }

func (w *writer) span(s Span) {
	w.text(string(s.Stream))
	w.int(int64(s.First))
	w.int(int64(s.Count))
}

func (w *writer) versions(list []ident.Version) {
	w.length(len(list))
	for _, v := range list {
		w.int(int64(v))
	}
}

func (w *writer) weights(r Record) {
	switch v := r.(type) {
	case LoadOrder:
		w.text(v.Role)
		w.int(int64(v.Fence))
		w.text(string(v.Engine))
		w.text(string(v.Model))
		w.int(int64(v.Version))
		w.int(int64(v.Within))
	case OrderSettled:
		w.text(string(v.Engine))
		w.int(int64(v.Order))
	case Loaded:
		w.text(string(v.Engine))
		w.text(string(v.Model))
		w.int(int64(v.Version))
	}
}

func (w *writer) usage(r Record) {
	switch v := r.(type) {
	case UsageDelta:
		w.text(string(v.By))
		w.int(int64(v.Window))
		w.counts(v.Counts)
	case UsageTotal:
		w.text(v.Role)
		w.int(int64(v.Fence))
		w.int(int64(v.Window))
		w.counts(v.Counts)
	case UsageReported:
		w.int(int64(v.Window))
	}
}

func (w *writer) counts(list []Count) {
	w.length(len(list))
	for _, c := range list {
		w.text(string(c.Organisation))
		w.int(c.Requests)
	}
}

func (w *writer) accept(a Accept) {
	w.text(string(a.Job))
	w.text(a.Host)
	w.text(a.Prefix)
	w.text(string(a.Service))
	w.text(string(a.Model))
	w.int(int64(a.Step))
	w.int(int64(a.MinVersion))
	w.int(int64(a.WantedGroups))
	w.flag(a.SingleVersion)
	w.length(len(a.Items))
	for _, item := range a.Items {
		w.text(string(item.ID))
		w.text(string(item.Group))
		w.int(int64(item.Expect))
		w.span(item.Body)
	}
	w.text(string(a.Organisation))
}

func (w *writer) claim(c Claim) {
	w.text(string(c.Job))
	w.text(string(c.By))
	w.text(string(c.Engine))
	w.length(len(c.Targets))
	for _, t := range c.Targets {
		w.int(int64(t.Index))
		w.int(int64(t.Replaces))
	}
	w.text(string(c.Dealer))
}

func (w *writer) yield(y Yield) {
	w.text(string(y.Job))
	w.text(string(y.By))
	w.int(int64(y.Index))
	w.partial(y.Partial)
	w.flag(y.Failed)
	w.timing(y.Timing)
}

func (w *writer) finish(f Finish) {
	w.text(string(f.Job))
	w.text(string(f.By))
	w.int(int64(f.Index))
	w.text(string(f.Outcome))
	w.versions(f.Versions)
	w.text(f.Score)
	w.spans(f.Texts)
	w.int(int64(f.Events))
	w.timing(f.Timing)
}

func (w *writer) savePartial(k SavePartial) {
	w.text(string(k.Job))
	w.text(string(k.By))
	w.int(int64(k.Index))
	w.partial(k.Partial)
}

func (w *writer) spans(list []Span) {
	w.length(len(list))
	for _, s := range list {
		w.span(s)
	}
}

func (w *writer) partial(p Partial) {
	w.spans(p.Texts)
	w.int(int64(p.Events))
	w.versions(p.Versions)
	w.flag(p.Complete)
}

func (w *writer) timing(s Timing) {
	w.text(string(s.Engine))
	w.int(int64(s.Events))
	w.int(int64(s.Millis))
}
