package lists

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

const listPath = "/croftmoor.Lists/List"

// listWire asks a holder for the servers of an instance.
type listWire struct {
	Instance string
	Zone     string
	// Engines are the services of engines that the instance uses.
	Engines []string
	// Digest is that of the servers that it has; 0 if it has none.
	Digest     uint64
	WaitMillis int64
	// Follower asks for the engines that all instances use.
	Follower bool
}

// listedWire is the answer. Members are sent only if Changed is set.
type listedWire struct {
	Next      int64
	AgeMillis int64
	Digest    uint64
	Changed   bool
	Members   []memberWire
}

type memberWire struct {
	Name     string
	Service  string
	Zone     string
	Address  string
	Leaving  bool
	Slots    int
	Spot     bool
	Versions map[string]int64
}

func memberToWire(m fleet.Member) memberWire {
	w := memberWire{
		Name: m.Name, Service: string(m.Service), Zone: string(m.Zone), Address: string(m.Address),
		Leaving: m.State == fleet.Leaving, Slots: m.Slots, Spot: m.Spot,
	}
	for model, version := range m.Versions {
		if w.Versions == nil {
			w.Versions = map[string]int64{}
		}
		w.Versions[string(model)] = int64(version)
	}
	return w
}

func memberFromWire(w memberWire) fleet.Member {
	m := fleet.Member{
		Name: w.Name, Kind: fleet.Backend, Service: ident.Service(w.Service), Zone: ident.Zone(w.Zone),
		Address: ident.Address(w.Address), State: fleet.Live, Slots: w.Slots, Spot: w.Spot,
	}
	if w.Leaving {
		m.State = fleet.Leaving
	}
	for model, version := range w.Versions {
		if m.Versions == nil {
			m.Versions = map[ident.Model]ident.Version{}
		}
		m.Versions[ident.Model(model)] = ident.Version(version)
	}
	return m
}

// versionsText returns the versions of an engine in a fixed order.
func versionsText(m fleet.Member) string {
	parts := make([]string, 0, len(m.Versions))
	for model, version := range m.Versions {
		parts = append(parts, fmt.Sprintf("%s:%d", model, version))
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

// Handle answers the instances that do not hold the list whole.
func Handle(mux *http.ServeMux, c *Catalog) {
	rpcs.Handle(mux, listPath, toConnect, func(ctx context.Context, w *listWire) (*listedWire, error) {
		r := reader{instance: w.Instance, zone: ident.Zone(w.Zone), follower: w.Follower}
		for _, name := range w.Engines {
			r.engines = append(r.engines, ident.Service(name))
		}
		s, err := c.await(ctx, r, w.Digest, clock.Millis(w.WaitMillis))
		if err != nil {
			return nil, err
		}
		answer := &listedWire{Next: int64(s.next), AgeMillis: int64(s.age), Digest: s.digest, Changed: s.digest != w.Digest}
		if answer.Changed {
			for _, m := range s.members {
				answer.Members = append(answer.Members, memberToWire(m))
			}
		}
		return answer, nil
	})
}

func toConnect(err error) error {
	return rpcs.WithKind(err, string(fault.KindOf[Kind](err)))
}
