// Package paths is the routes of callers' requests: by host and the longest
// path prefix to a service, with the limits that the operator set.
package paths

import (
	"math/rand/v2"
	"slices"
	"strings"

	"croftmoor.dev/kernel/access"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/scale"
)

// RouteKind tells how often a request of a route may run.
type RouteKind string

// Ways to run requests.
const (
	// Repeatable requests may run more than once.
	Repeatable RouteKind = "Repeatable"
	// Once requests run at most once for each attempt of the caller.
	Once RouteKind = "Once"
	// Stream requests are answered in events.
	Stream RouteKind = "Stream"
	// Batch requests submit batch jobs.
	Batch RouteKind = "Batch"
)

// Share is a service's share of a route's requests.
type Share struct {
	Service ident.Service
	Weight  int
}

// Route is one route.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable streams may be continued at another backend server.
	Resumable bool
	// SingleVersion asks that one version of the weights makes the whole of a text.
	SingleVersion bool
	// Shares has at least one entry.
	Shares []Share
	// MaxAttempts is the greatest number of backend servers for one attempt of a caller.
	MaxAttempts int
	// Timeout bounds a request; 0 is no bound.
	Timeout clock.Millis
	// Public requests need no key.
	Public bool
	// Priority is the rank of the route's requests, 0 first.
	Priority int
	// LatencyObjective is the time within which callers want an answer; 0 is no such time.
	LatencyObjective clock.Millis
	// JobDeadline is the time after its submission by which a batch job should be done; 0 is
	// no such time.
	JobDeadline clock.Millis
}

// Service is what the configuration says of a service.
type Service struct {
	Name ident.Service
	// Slots is how many requests an engine runs at once; 0 for plain services.
	Slots  int
	Models []ident.Model
	// Scaling is nil where the number of engines is not ours to order.
	Scaling *scale.Limits
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Table is one version of the routes. It is not changed once made.
type Table struct {
	Version  int64
	Services map[ident.Service]Service
	Limits   Limits
	// Organisations is nil where callers need no keys. It is set before the table is
	// used.
	Organisations *access.Directory

	routesByHost map[string][]Route
}

// NewTable returns a table of routes.
func NewTable(version int64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Services: map[ident.Service]Service{}, Limits: limits, routesByHost: map[string][]Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	return t
}

// Find returns the route of a host with the longest prefix of path.
func (t *Table) Find(host, path string) (Route, bool) {
	found := -1
	routes := t.routesByHost[strings.ToLower(host)]
	for i, r := range routes {
		if strings.HasPrefix(path, r.Prefix) && (found < 0 || len(r.Prefix) > len(routes[found].Prefix)) {
			found = i
		}
	}
	if found < 0 {
		return Route{}, false
	}
	return routes[found], true
}

// FindExact returns the route of a host with just this prefix.
func (t *Table) FindExact(host, prefix string) (Route, bool) {
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if r.Prefix == prefix {
			return r, true
		}
	}
	return Route{}, false
}

// Service picks the service for one request by the route's shares.
func (r *Route) Service(random *rand.Rand) ident.Service {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	remaining := random.IntN(total)
	for _, s := range r.Shares {
		if remaining -= max(s.Weight, 0); remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// RequiresSingleVersion tells whether a route to the service wants texts of one version.
func (t *Table) RequiresSingleVersion(service ident.Service) bool {
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			if r.SingleVersion && r.Shares[0].Service == service {
				return true
			}
		}
	}
	return false
}

// AcceptsPublicJobs tells whether jobs may be submitted to a host without a key.
func (t *Table) AcceptsPublicJobs(host string) bool {
	return slices.ContainsFunc(t.routesByHost[strings.ToLower(host)], func(r Route) bool { return r.Public && r.Kind == Batch })
}

// Routes returns all routes.
func (t *Table) Routes() []Route {
	var all []Route
	for _, routes := range t.routesByHost {
		all = append(all, routes...)
	}
	return all
}
