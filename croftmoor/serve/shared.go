package serve

import (
	"context"
	"math/rand/v2"

	"croftmoor.dev/croftmoor/keeper"
	"croftmoor.dev/croftmoor/peers"
	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fold"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
)

// onBatch takes what the log returned. Each batch, also an empty one, is a
// sign of life of the log.
func (i *Instance) onBatch(batch tail.Batch) {
	i.logReadAt.Store(int64(i.clock.Mono()))
	i.reader.Apply(batch)
}

func (i *Instance) onLogFailure(err error) {
	i.log.Warn().Err(err).Msg("the platform's log can't be read")
}

func (i *Instance) onState(state *fold.State) {
	i.home.OnState(state)
}

// heartbeat is what this instance tells its peers.
func (i *Instance) heartbeat() peers.Heartbeat {
	n := peers.Heartbeat{Instance: i.self, Draining: i.draining.Load()}
	if state := i.reader.Current(); state != nil {
		n.UpTo = state.UpTo
		n.Revision = state.Conf.Revision()
	}
	return n
}

const (
	// maxLogSilence is how long the log must have been silent before a peer's
	// state is fetched in its place.
	maxLogSilence = 1 * clock.Second
	fetchTimeout  = 5 * clock.Second
)

// catchUp takes the state of a peer that has read more of the log, when the
// log itself does not answer here.
func (i *Instance) catchUp(ctx context.Context, peer ident.InstanceName, upTo ident.Offset) {
	fresh := i.clock.Mono()-clock.Millis(i.logReadAt.Load()) < maxLogSilence
	if fresh && i.reader.CaughtUp() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	state, err := i.client.State(ctx, peer)
	if err != nil {
		return
	}
	if i.reader.Adopt(state) {
		i.log.Info().Str("Peer", string(peer)).Int64("UpTo", int64(upTo)).Msg("took the shared state from a peer")
	}
}

// sendObservedVersion passes a sighting on to the instance that orders the service's
// weights: it can't know otherwise that an engine's report is wrong.
func (i *Instance) sendObservedVersion(s pool.ObservedVersion) {
	leader := i.home.PrimaryOf(keeper.Role(s.Service))
	if leader == i.self || leader == "" {
		return
	}
	i.notifications.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout.Duration())
		defer cancel()
		// The next sighting, a second later, makes good for one that is lost.
		_ = i.client.SendObservedVersion(ctx, leader, s)
	})
}

// runCheckpoints appends the shared state now and then, so that it outlives the
// log's retention. Whoever comes first resets the others' clocks; a random
// part of the pause keeps them from appending at once.
func (i *Instance) runCheckpoints(ctx context.Context) {
	interval := i.Config.CheckpointInterval
	lastSeen := clock.Millis(0)
	due := i.clock.Mono() + i.withJitter(interval)
	i.clock.Every(ctx, min(interval/4, clock.Second), func() {
		if last := i.reader.LastCheckpoint(); last != lastSeen {
			lastSeen = last
			due = i.clock.Mono() + i.withJitter(interval)
		}
		if i.clock.Mono() < due || !i.reader.CaughtUp() {
			return
		}
		i.checkpoint(ctx)
		due = i.clock.Mono() + i.withJitter(interval)
	})
}

func (i *Instance) withJitter(interval clock.Millis) clock.Millis {
	return interval + clock.Millis(rand.Int64N(int64(interval)))/2
}

func (i *Instance) checkpoint(ctx context.Context) {
	record, err := fold.CheckpointRecord(i.reader.Current())
	if err != nil {
		i.log.Error().Err(err).Msg("the checkpoint can't be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	if _, err := i.tail.Append(ctx, fold.Stream, record); err != nil {
		i.log.Warn().Err(err).Msg("the checkpoint was not appended")
	}
}
