// Package terms tells under which terms the items of an open batch job run: at which
// service, how often, how long and with which priority. A job keeps from its acceptance what
// its caller was promised; what operators decide follows the routing table in force. All that
// deals, runs, measures or reports items asks here.
package terms

import (
	"cmp"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
)

// Terms are the terms of one job under one routing table.
type Terms struct {
	// Accept is the job's acceptance. Its model, version limits and organisation hold
	// until the job ends; its service holds only once the job's route is gone.
	Accept jobs.Accept

	table *paths.Table
	route paths.Route
	// routed is false if the table has no such route any more.
	routed bool
	// services run the items; there is at least one.
	services []ident.Service
}

// Of returns the terms of an accepted job. The table may be nil, as long as none is known.
func Of(accept jobs.Accept, table *paths.Table) Terms {
	t := Terms{Accept: accept, table: table, services: []ident.Service{accept.Service}}
	if table == nil {
		return t
	}
	if t.route, t.routed = table.FindExact(accept.Host, accept.Prefix); t.routed {
		t.services = t.route.Services()
	}
	return t
}

// Services returns the services that run the job's items.
func (t *Terms) Services() []ident.Service { return t.services }

// Ability is what a service can do for a job's items now.
type Ability int

// Abilities, from the least to the greatest.
const (
	// Absent services have no engine that could run the items, now or soon.
	Absent Ability = iota
	// Busy services have engines for them, but none with room and the weights that they need.
	Busy
	// Free services can run one now.
	Free
)

// PreferenceTerm is how long after its acceptance a job's items wait for their own service while
// that is busy and others are free. A step is late some seconds after it.
const PreferenceTerm = 3 * clock.Second

// Service returns the service that an item should run at now, by the age of its job and what the
// services are able to do. The items of a group, which share their prompt, prefer one service,
// in whichever job they come: a share of the groups by the route's weights. Where that service
// is absent, or stays busy for PreferenceTerm while another is free, the next in the group's own
// order takes them.
func (t *Terms) Service(item jobs.ItemSpec, age clock.Millis, ability func(ident.Service) Ability) ident.Service {
	if len(t.services) == 1 {
		return t.services[0]
	}
	order := t.order(item)
	if age >= PreferenceTerm {
		for _, service := range order {
			if ability(service) == Free {
				return service
			}
		}
	}
	for _, service := range order {
		if ability(service) != Absent {
			return service
		}
	}
	return order[0]
}

// Preferred returns the service at which an item runs as long as that has engines for it.
func (t *Terms) Preferred(item jobs.ItemSpec) ident.Service { return t.order(item)[0] }

// order returns the services in the order in which they should run an item.
func (t *Terms) order(item jobs.ItemSpec) []ident.Service {
	if len(t.services) == 1 {
		return t.services
	}
	return t.route.ServicesFor(cmp.Or(string(item.Group), string(item.ID)))
}

// Attempts returns the number of failed runs after which an item is terminated, at least 1.
func (t *Terms) Attempts() int { return max(t.route.MaxAttempts, 1) }

// Deadline returns the time from acceptance within which the job should be done; 0 is none.
func (t *Terms) Deadline() clock.Millis { return t.route.JobDeadline }

// Priority returns the priority of the job's items: its organisation's, or else its route's.
func (t *Terms) Priority() int {
	if t.table == nil {
		return 0
	}
	return t.table.Organisations.Priority(t.Accept.Organisation, t.route.Priority)
}

// Slots returns the number of requests that an engine of a service runs at once, where the
// engine itself does not say; 0 if unknown.
func (t *Terms) Slots(service ident.Service) int {
	if t.table == nil {
		return 0
	}
	return t.table.Services[service].Slots
}
