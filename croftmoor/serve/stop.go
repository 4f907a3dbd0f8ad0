package serve

import (
	"context"

	"croftmoor.dev/kernel/clock"
)

const drainPollInterval = 50 * clock.Millis(1)

// notReadyReason says why the instance should get no traffic; "" if it should.
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

func (i *Instance) startDrain() {
	select {
	case i.drain <- struct{}{}:
	default:
	}
}

// shutDown ends a planned stop once nothing is in flight, no samples wait
// for their trainer and the shards are handed on, or DrainTerm has passed.
func (i *Instance) shutDown() {
	i.log.Info().Msg("stopping: no new work from now on")
	i.draining.Store(true)
	i.front.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), i.Config.DrainTimeout.Duration())
	defer cancel()
	i.feed.Drain(ctx)
	for i.busy() {
		if !i.clock.Sleep(ctx, drainPollInterval) {
			i.log.Warn().Int64("InFlight", i.front.InFlight()).Msg("the drain term has passed with work in flight")
			return
		}
	}
}

func (i *Instance) busy() bool {
	if i.front.InFlight() > 0 {
		return true
	}
	primaries, backups, _ := i.home.Counts()
	return primaries+backups > 0 && len(i.health.Live()) > 0
}
