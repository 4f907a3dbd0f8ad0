// Package slots has one instance hand out the slots of a service's backend servers to the
// requests of all instances, while the servers are full. Each availability zone has such an
// instance of its own for the servers there. Without it, instances go on by the rates that
// they learn.
package slots

import (
	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// NoServers means that the instance knows no servers whose slots it could hand out.
	NoServers Kind = "NoServers"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// maxServers is the number of servers of a service in a zone above which slots are not
	// handed out: requests spread evenly by their number, and one instance could not serve the
	// asks.
	maxServers = 16
	// maxQueued is the maximum number of waiting requests of a service.
	maxQueued = 1024
	// refreshPeriod is the least time between two looks at a service's servers.
	refreshPeriod = 100 * clock.Millis(1)
	// silenceLimit is how long an instance that is asked may send no answer at all before it is
	// probed, and how long it may take to answer the probe.
	silenceLimit = 150 * clock.Millis(1)
	// answerMargin is how much later than the latest start of a request the decision on it may
	// come.
	answerMargin = 30 * clock.Millis(1)
	// probePeriod is the pause between two probes of an instance that gave no answer. It is not
	// asked until it answers one. After forgetAfter it is asked in any case.
	probePeriod = 1 * clock.Second
	forgetAfter = 30 * clock.Second
	// maxEnds is the number of ended requests that wait to be told to one instance.
	maxEnds = 1024
)

// Servers returns the servers of a service that this instance uses.
type Servers func(service ident.Service) []*pool.Server

// usableSlots returns the usable servers of a service in a zone, with the slots of each.
func (s Servers) usableSlots(service ident.Service, zone ident.Zone, now clock.Millis) map[ident.BackendName]int {
	slots := map[ident.BackendName]int{}
	for _, server := range s(service) {
		if server.Zone == zone && server.Usable(now) {
			slots[server.Name] = max(server.Slots(), 1)
		}
	}
	return slots
}
