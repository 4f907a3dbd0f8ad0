// Package route chooses the backend server for a request. Routing policies do no I/O
// and register themselves by name.
package route

import (
	"math/rand/v2"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/plug"
)

// Candidate is this instance's current estimate of a backend server's state.
type Candidate struct {
	Name ident.BackendName
	Zone ident.Zone
	// Own is the number of this instance's requests at the server.
	Own int
	// OwnLive is the number of those that are live.
	OwnLive int
	// Reported is the number of running and waiting requests in the server's last
	// report, which is ReportAge old. OwnAtReport is the number that this instance
	// had there then.
	Reported    int
	OwnAtReport int
	ReportAge   clock.Millis
	HasReport   bool
	// Slots is how many requests the server runs at once.
	Slots int
	// Weight is 0 for an ejected server and grows to 1 after readmission.
	Weight float64
	// Slowdown is the reported factor by which work takes longer than usual; 0 if the
	// server does not report it.
	Slowdown float64
	// Speed is the observed speed relative to the mean of all servers, corrected
	// for load; 0 if unknown.
	Speed float64
	// Cached is the estimated share of the prompt's prefix that the server has cached,
	// from 0 to 1.
	Cached float64
	// Warm is true if this instance has an idle connection to the server.
	Warm bool
}

// Request describes the request to a policy.
type Request struct {
	ID   ident.RequestID
	Zone ident.Zone
	// Work is the expected run time of the request on an idle server.
	Work clock.Millis
	// ZoneLatency is the one-way latency to another availability zone.
	ZoneLatency clock.Millis
	// Live is true if engines serve the request ahead of rollouts.
	Live bool
	// LiveOnly is true if the servers run live requests only, in order of arrival.
	LiveOnly bool
}

// Choice is a policy's decision. Index and RunnerUp index the candidates; -1 means
// none.
type Choice struct {
	Index    int
	RunnerUp int
	Reason   string
}

// None is the choice when there is no usable candidate.
var None = Choice{Index: -1, RunnerUp: -1, Reason: "no usable backend server"}

// Policy chooses among candidates. Implementations are safe for concurrent use.
type Policy interface {
	Pick(request Request, candidates []Candidate, random *rand.Rand) Choice
}

// Policies holds the policies by the name that configuration uses.
var Policies plug.Registry[Policy]

// usable returns the indices of candidates that are not ejected. A server with a weight
// below 1 is included with that probability; if none is included, all of them are.
func usable(candidates []Candidate, random *rand.Rand) []int {
	var available, skipped []int
	for i, c := range candidates {
		switch {
		case c.Weight <= 0:
		case c.Weight >= 1 || random.Float64() < c.Weight:
			available = append(available, i)
		default:
			skipped = append(skipped, i)
		}
	}
	if len(available) == 0 {
		return skipped
	}
	return available
}
