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

// onBatch applies a batch read from the log. An empty batch also shows that the log answers.
func (i *Instance) onBatch(batch tail.Batch) {
	i.logReadAt.Store(int64(i.clock.Mono()))
	i.reader.Apply(batch)
}

func (i *Instance) onLogFailure(err error) {
	i.log.Warn().Err(err).Msg("cannot read the platform's log")
}

func (i *Instance) onState(state *fold.State) {
	i.home.OnState(state)
}

// heartbeat returns this instance's heartbeat.
func (i *Instance) heartbeat() peers.Heartbeat {
	h := peers.Heartbeat{Instance: i.self, Draining: i.draining.Load()}
	if state := i.reader.Current(); state != nil {
		h.UpTo = state.UpTo
		h.Revision = state.Conf.Revision()
	}
	return h
}

const (
	// maxLogSilence is how long the log may give no answer before the state is fetched
	// from a peer.
	maxLogSilence  = 1 * clock.Second
	requestTimeout = 5 * clock.Second
)

// catchUp fetches the shared state from a peer that has read the log up to upTo, unless this
// instance has caught up and the log still answers it.
func (i *Instance) catchUp(ctx context.Context, peer ident.InstanceName, upTo ident.Offset) {
	fresh := i.clock.Mono()-clock.Millis(i.logReadAt.Load()) < maxLogSilence
	if fresh && i.reader.CaughtUp() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	state, err := i.client.State(ctx, peer)
	if err != nil {
		return
	}
	if i.reader.Adopt(state) {
		i.log.Info().Str("Peer", string(peer)).Int64("UpTo", int64(upTo)).Msg("adopted the shared state of a peer")
	}
}

// sendObservedVersion notifies the instance that orders the service's weights that an engine
// runs an older version than its load report says.
func (i *Instance) sendObservedVersion(observed pool.ObservedVersion) {
	primary := i.home.PrimaryOf(keeper.Role(observed.Service))
	if primary == i.self || primary == "" {
		return
	}
	i.notifications.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout.Duration())
		defer cancel()
		// A lost notification is not retried: the mismatch is observed again.
		_ = i.client.SendObservedVersion(ctx, primary, observed)
	})
}

// runCheckpoints appends the shared state to the log periodically, so that it survives the
// log's retention. A checkpoint of any instance restarts the interval of all; the jitter
// prevents instances from appending at the same time.
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

// withJitter returns interval prolonged by a random part of up to a half.
func (i *Instance) withJitter(interval clock.Millis) clock.Millis {
	return interval + clock.Millis(rand.Int64N(int64(interval)))/2
}

// checkpoint appends the shared state to the log.
func (i *Instance) checkpoint(ctx context.Context) {
	record, err := fold.CheckpointRecord(i.reader.Current())
	if err != nil {
		i.log.Error().Err(err).Msg("cannot encode the checkpoint")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	if _, err := i.tail.Append(ctx, fold.Stream, record); err != nil {
		i.log.Warn().Err(err).Msg("cannot append the checkpoint to the log")
	}
}
