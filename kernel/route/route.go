// Package route chooses the backend server for one request. A policy is a pure
// decision on candidates; policies register themselves by name.
package route

import (
	"math/rand/v2"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/plug"
)

// Candidate is a backend server as this instance believes it to be.
type Candidate struct {
	Name ident.BackendName
	Zone ident.Zone
	// Own is how many requests of this instance run there now.
	Own int
	// OwnLive is how many of them are live.
	OwnLive int
	// Reported is how many requests the server said it had, ReportAge ago;
	// OwnAtReport is how many of them were this instance's.
	Reported  int
	OwnAtReport   int
	ReportAge clock.Millis
	HasReport bool
	// Slots is how many requests the server runs at once.
	Slots int
	// Weight is 0 for an ejected server and grows to 1 after its return.
	Weight float64
	// Slowdown is how many times as long as usual work takes there, as it said with the load; 0
	// if it does not say.
	Slowdown float64
	// Speed is the observed speed relative to the mean of all, corrected for
	// load; 0 means not known.
	Speed float64
	// Cached is the believed share of the prompt's prefix in its cache.
	Cached float64
	// Warm tells that a connection to the server rests at this instance.
	Warm bool
}

// Request is what a policy knows of the request.
type Request struct {
	ID   ident.RequestID
	Zone ident.Zone
	// Work is the expected time of the request on an idle server.
	Work clock.Millis
	// ZoneLatency is the one-way latency to another availability zone.
	ZoneLatency clock.Millis
	// Live tells that the request goes before rollouts at an engine.
	Live bool
	// LiveOnly tells that the servers run live requests only, so that each of them waits for
	// those that came before.
	LiveOnly bool
}

// Choice is the decision. Index is -1 if no candidate can be used.
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

// usable returns the indices of candidates that are not ejected. A server on
// its way back is used with the probability of its weight.
func usable(candidates []Candidate, random *rand.Rand) []int {
	var open, closed []int
	for i, c := range candidates {
		switch {
		case c.Weight <= 0:
		case c.Weight >= 1 || random.Float64() < c.Weight:
			open = append(open, i)
		default:
			closed = append(closed, i)
		}
	}
	if len(open) == 0 {
		return closed
	}
	return open
}
