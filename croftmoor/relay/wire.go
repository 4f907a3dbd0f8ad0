package relay

import (
	"context"
	"net/http"

	"croftmoor.dev/croftmoor/intake"
	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// Paths of the procedures.
const (
	readPath = "/croftmoor.Relay/Read"
	bodyPath = "/croftmoor.Relay/Body"
	endPath  = "/croftmoor.Relay/End"
)

type readWire struct {
	Job        string
	From       int
	WaitMillis int64
	// Organisation is the caller's, as the forwarding instance authenticated it.
	Organisation string
}

type itemWire struct {
	Job          string
	Item         string
	Organisation string
}

type jobWire struct {
	Job          string
	Organisation string
}

type emptyWire struct{}

type bodyWire struct {
	Body []byte
}

type pageWire struct {
	Total   int
	Next    int
	Results []listedWire
}

type listedWire struct {
	Item     string
	State    string
	Text     string
	Versions []int64
	Score    string
}

func pageToWire(p intake.Page) *pageWire {
	w := &pageWire{Total: p.Total, Next: p.Next, Results: make([]listedWire, 0, len(p.Results))}
	for _, r := range p.Results {
		listed := listedWire{Item: string(r.ID), State: string(r.State), Text: r.Text, Score: r.Score}
		for _, v := range r.Versions {
			listed.Versions = append(listed.Versions, int64(v))
		}
		w.Results = append(w.Results, listed)
	}
	return w
}

func pageFromWire(w *pageWire) intake.Page {
	p := intake.Page{Total: w.Total, Next: w.Next, Results: make([]intake.ItemResult, 0, len(w.Results))}
	for _, r := range w.Results {
		listed := intake.ItemResult{ID: ident.Item(r.Item), State: jobs.Outcome(r.State), Text: r.Text, Score: r.Score}
		for _, v := range r.Versions {
			listed.Versions = append(listed.Versions, ident.Version(v))
		}
		p.Results = append(p.Results, listed)
	}
	return p
}

// Handle registers the procedures for instances that do not follow the ledger. local serves
// them.
func Handle(mux *http.ServeMux, local Jobs) {
	rpcs.Handle(mux, readPath, toConnect, func(ctx context.Context, w *readWire) (*pageWire, error) {
		page, err := local.Read(ctx, ident.Organisation(w.Organisation), ident.Job(w.Job), w.From, clock.Millis(w.WaitMillis))
		return pageToWire(page), err
	})
	rpcs.Handle(mux, bodyPath, toConnect, func(ctx context.Context, w *itemWire) (*bodyWire, error) {
		body, err := local.Body(ctx, ident.Organisation(w.Organisation), ident.Job(w.Job), ident.Item(w.Item))
		return &bodyWire{Body: body}, err
	})
	rpcs.Handle(mux, endPath, toConnect, func(ctx context.Context, w *jobWire) (*emptyWire, error) {
		return &emptyWire{}, local.End(ctx, ident.Organisation(w.Organisation), ident.Job(w.Job))
	})
}

// toConnect converts an error to a connect error that carries its kind.
func toConnect(err error) error {
	return rpcs.WithKind(err, string(fault.KindOf[intake.Kind](err)))
}
