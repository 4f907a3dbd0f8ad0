// Package paths holds the routing table for callers' requests: it maps a host and the
// longest matching path prefix to a route, and a route to a service.
package paths

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"croftmoor.dev/kernel/access"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/scale"
)

// hexadecimal is the base of a drawn key.
const hexadecimal = 16

// RouteKind is how the requests of a route are run.
type RouteKind string

// Kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable RouteKind = "Repeatable"
	// Once requests run at most once per attempt of the caller.
	Once RouteKind = "Once"
	// Stream requests are answered as a stream of events.
	Stream RouteKind = "Stream"
	// Batch requests submit batch jobs.
	Batch RouteKind = "Batch"
)

// Share is the weight of a service in the distribution of a route's requests.
type Share struct {
	Service ident.Service
	Weight  int
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable streams may continue on another backend server.
	Resumable bool
	// SingleVersion requires that a single weight version generates the whole text.
	SingleVersion bool
	// Shares has at least one entry.
	Shares []Share
	// MaxAttempts bounds the backend servers tried for one attempt of the caller.
	MaxAttempts int
	// Timeout bounds a request; 0 means no bound.
	Timeout clock.Millis
	// Public requests need no API key.
	Public bool
	// Priority is the rank of the route's requests: lower numbers come first, from 0.
	Priority int
	// LatencyObjective is the time within which callers want an answer; 0 means none.
	LatencyObjective clock.Millis
	// JobDeadline is the time from submission within which a batch job should be done; 0
	// means none.
	JobDeadline clock.Millis
}

// Service is the configuration of a service.
type Service struct {
	Name ident.Service
	// Slots is the number of requests that an engine runs at once; 0 for plain services.
	Slots  int
	Models []ident.Model
	// Scaling is nil if croftmoor does not control the number of engines.
	Scaling *scale.Limits
}

// Limits bounds callers' requests and connections; 0 is no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long a header may take, IdleTimeout how long a connection may be idle.
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Table is one version of the routing table. It is immutable once in use.
type Table struct {
	Version  int64
	Services map[ident.Service]Service
	Limits   Limits
	// Organisations is nil if callers need no API keys. It must be set before the table is
	// used.
	Organisations *access.Directory

	routesByHost map[string][]Route
}

// NewTable returns a table of the given routes and services.
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

// Find returns the route of the host with the longest prefix that matches path. Hosts
// are compared without case.
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

// FindExact returns the route of the host with exactly this prefix.
func (t *Table) FindExact(host, prefix string) (Route, bool) {
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if r.Prefix == prefix {
			return r, true
		}
	}
	return Route{}, false
}

// Services returns the services that get requests of the route, those with a positive
// weight; it is the first one alone if there is none.
func (r *Route) Services() []ident.Service {
	var services []ident.Service
	for _, s := range r.Shares {
		if s.Weight > 0 && !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
		}
	}
	if len(services) == 0 {
		return []ident.Service{r.Shares[0].Service}
	}
	return services
}

// MainService returns the service with the greatest weight.
func (r *Route) MainService() ident.Service {
	return slices.MaxFunc(r.Shares, func(a, b Share) int { return cmp.Compare(a.Weight, b.Weight) }).Service
}

// ServicesFor returns the services that get requests of the route in the order in which they
// should serve a key, by weighted rendezvous hashing: the same order on every instance. A change
// of the weights changes the first one only for the keys that it moves.
func (r *Route) ServicesFor(key string) []ident.Service {
	services := r.Services()
	if len(services) == 1 {
		return services
	}
	scores := map[ident.Service]float64{}
	for _, s := range r.Shares {
		hash := ident.UnitInterval(ident.Hash(key), ident.Hash(string(s.Service)))
		scores[s.Service] = max(scores[s.Service], float64(s.Weight)/-math.Log(hash))
	}
	slices.SortStableFunc(services, func(a, b ident.Service) int { return cmp.Compare(scores[b], scores[a]) })
	return services
}

// DrawServices returns the services that get requests of the route in a random order, in which
// each comes first as often as its weight says.
func (r *Route) DrawServices(random *rand.Rand) []ident.Service {
	return r.ServicesFor(strconv.FormatUint(random.Uint64(), hexadecimal))
}

// RequiresSingleVersion reports whether a route that sends requests to the service
// requires texts of a single version.
func (t *Table) RequiresSingleVersion(service ident.Service) bool {
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			if r.SingleVersion && slices.Contains(r.Services(), service) {
				return true
			}
		}
	}
	return false
}

// AcceptsPublicJobs reports whether the host accepts batch jobs without an API key.
func (t *Table) AcceptsPublicJobs(host string) bool {
	return slices.ContainsFunc(t.routesByHost[strings.ToLower(host)], func(r Route) bool { return r.Public && r.Kind == Batch })
}

// Routes returns all routes, in random order by host.
func (t *Table) Routes() []Route {
	var all []Route
	for _, routes := range t.routesByHost {
		all = append(all, routes...)
	}
	return all
}
