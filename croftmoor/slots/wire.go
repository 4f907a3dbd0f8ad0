package slots

import (
	"context"
	"net/http"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/admit"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

const (
	askPath = "/croftmoor.Slots/Ask"
	endPath = "/croftmoor.Slots/End"
)

// askWire asks for a slot. Times are spans from now on, in milliseconds: clocks differ.
type askWire struct {
	Service      string
	Organisation string
	Priority     int
	DueMillis    int64
	LeftMillis   int64
}

// decisionWire is a decision on an ask.
type decisionWire struct {
	Verdict          string
	Reason           string
	RetryAfterMillis int64
	Waiting          int
	Rate             float64
	Server           string
	Grant            int64
}

// endsWire tells of ended requests.
type endsWire struct {
	Ends []endWire
}

type endWire struct {
	Service         string
	Grant           int64
	Server          string
	Shed            bool
	Waiting         int
	Running         int
	Slots           int
	Slowdown        float64
	LatencyMillis   int64
	ObjectiveMillis int64
}

type emptyWire struct{}

func encodeAsk(service ident.Service, r admit.Request, now clock.Millis) *askWire {
	return &askWire{
		Service: string(service), Organisation: string(r.Organisation), Priority: r.Priority,
		DueMillis: int64(r.StartBy - now), LeftMillis: int64(r.Deadline - now),
	}
}

func (w *askWire) request(now clock.Millis) admit.Request {
	return admit.Request{
		Organisation: ident.Organisation(w.Organisation), Priority: w.Priority,
		StartBy: now + clock.Millis(w.DueMillis), Deadline: now + clock.Millis(w.LeftMillis),
	}
}

func encodeDecision(d admit.Decision) *decisionWire {
	return &decisionWire{
		Verdict: string(d.Verdict), Reason: d.Reason, RetryAfterMillis: int64(d.RetryAfter), Waiting: d.Waiting, Rate: d.Rate,
		Server: string(d.Server), Grant: int64(d.Grant),
	}
}

func (w *decisionWire) decision() admit.Decision {
	return admit.Decision{
		Verdict: admit.Verdict(w.Verdict), Reason: w.Reason, RetryAfter: clock.Millis(w.RetryAfterMillis), Waiting: w.Waiting, Rate: w.Rate,
		Server: ident.BackendName(w.Server), Grant: admit.GrantID(w.Grant),
	}
}

func encodeEnd(service ident.Service, s admit.Signal) endWire {
	return endWire{
		Service: string(service), Grant: int64(s.Grant), Server: string(s.Server), Shed: s.Shed, Waiting: s.Waiting, Running: s.Running,
		Slots: s.Slots, Slowdown: s.Slowdown, LatencyMillis: int64(s.Latency), ObjectiveMillis: int64(s.Objective),
	}
}

func (w *endWire) signal() admit.Signal {
	return admit.Signal{
		Grant: admit.GrantID(w.Grant), Server: ident.BackendName(w.Server), Shed: w.Shed, Waiting: w.Waiting, Running: w.Running,
		Slots: w.Slots, Slowdown: w.Slowdown, Latency: clock.Millis(w.LatencyMillis), Objective: clock.Millis(w.ObjectiveMillis),
	}
}

// Handle serves the asks of other instances.
func Handle(mux *http.ServeMux, h *Host) {
	withKind := func(err error) error { return rpcs.WithKind(err, string(fault.KindOf[Kind](err))) }
	rpcs.Handle(mux, askPath, withKind, func(ctx context.Context, w *askWire) (*decisionWire, error) {
		decision, err := h.Enter(ctx, ident.Service(w.Service), w.request(h.Clock.Mono()))
		if err != nil && decision.Verdict != admit.Refuse {
			return nil, err
		}
		if ctx.Err() != nil && decision.Verdict == admit.Start {
			// The caller's instance has gone meanwhile.
			h.End(ident.Service(w.Service), admit.Signal{Grant: decision.Grant})
		}
		return encodeDecision(decision), nil
	})
	rpcs.Handle(mux, endPath, withKind, func(_ context.Context, w *endsWire) (*emptyWire, error) {
		for _, end := range w.Ends {
			h.End(ident.Service(end.Service), end.signal())
		}
		return &emptyWire{}, nil
	})
}
