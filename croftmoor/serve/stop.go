package serve

import (
	"context"

	"croftmoor.dev/kernel/clock"
)

// drainPollInterval is the interval between checks for work in flight during a shutdown.
const drainPollInterval = 50 * clock.Millis(1)

// notReadyReason returns why the instance must get no traffic, or "" if it is ready.
func (i *Instance) notReadyReason() string {
	switch {
	case i.draining.Load():
		return "stopping"
	case i.reader.Current() == nil || !i.reader.CaughtUp():
		return "no configuration yet: neither the platform's log nor a peer has given the shared state"
	default:
		return ""
	}
}

// startDrain makes Run shut down; it does not wait for that.
func (i *Instance) startDrain() {
	select {
	case i.drain <- struct{}{}:
	default:
	}
}

// shutDown rejects new work, transfers the trainers' steps to other instances, then waits
// until no request is in flight and the shards are handed over, or until DrainTimeout has
// passed.
func (i *Instance) shutDown() {
	i.log.Info().Msg("shutting down: no new work is accepted")
	i.draining.Store(true)
	i.front.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), i.Config.DrainTimeout.Duration())
	defer cancel()
	i.feed.Drain(ctx)
	for i.busy() {
		if !i.clock.Sleep(ctx, drainPollInterval) {
			i.log.Warn().Int64("InFlight", i.front.InFlight()).Msg("drain timeout expired with requests in flight or shards not handed over")
			return
		}
	}
}

// busy reports whether requests are in flight, or shards remain here that a live peer could
// take over.
func (i *Instance) busy() bool {
	if i.front.InFlight() > 0 {
		return true
	}
	primaries, backups, _ := i.home.Counts()
	return primaries+backups > 0 && len(i.health.Live()) > 0
}
