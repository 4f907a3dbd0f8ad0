package ledger

import (
	"context"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// sendHeartbeats sends heartbeats until ctx ends. The first one that is acknowledged gives this
// start its place among the starts of the instance; the next one, sent at once, tells it, and
// supersedes the earlier starts. Until then, and until the state has caught up and CanAct holds,
// heartbeats report Leaving, so that other instances assign no items or roles to an instance
// that cannot act yet.
func (l *Ledger) sendHeartbeats(ctx context.Context) {
	for l.sendHeartbeat(ctx); l.startOffset() == 0; l.sendHeartbeat(ctx) {
		if !l.Clock.Sleep(ctx, minPause) {
			return
		}
	}
	l.sendHeartbeat(ctx)
	for !l.CaughtUp() || !l.canAct() {
		if !l.Clock.Sleep(ctx, minPause) {
			return
		}
	}
	for {
		l.sendHeartbeat(ctx)
		period := max(heartbeatPeriod, l.periodPerInstance(float64(l.WritesPerSecond)*heartbeatShare))
		l.silenceLimit.Store(int64(silentPeriods * period))
		if !l.waitUntilDue(ctx, period) {
			return
		}
	}
}

func (l *Ledger) sendHeartbeat(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout.Duration())
	defer cancel()
	sentAt := l.Clock.Mono()
	offset, err := l.Append(callCtx, l.heartbeat())
	if err != nil {
		if ctx.Err() == nil {
			l.Log.Warn().Err(err).Msg("heartbeat not written")
		}
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeartbeat = sentAt
	if l.start == 0 {
		l.start = offset
		l.Log.Info().Int64("Offset", int64(offset)).Msg("joined the ledger")
	}
}

// startOffset returns the offset that orders this start among those of the instance; 0 until it
// is known.
func (l *Ledger) startOffset() ident.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.start
}

// Superseded returns a channel that is closed once the state shows a later start of this
// instance. The others then take this one for ended.
func (l *Ledger) Superseded() <-chan struct{} { return l.superseded }

// noteSuperseded closes the channel of Superseded. The caller holds mu.
func (l *Ledger) noteSuperseded() {
	latest, superseded := l.state.SupersededBy(l.Self)
	if !superseded || l.supersededNoted {
		return
	}
	l.supersededNoted = true
	close(l.superseded)
	l.Log.Error().Str("By", string(latest)).Int64("Start", int64(l.start)).Int64("Ledger", int64(l.state.Next)).Msg("superseded by another start of this instance")
}

// waitUntilDue waits until this instance has written no sign of life for a period; other
// records count as signs of life too, but only heartbeats tell who it is and what it holds. It
// returns false if ctx ended.
func (l *Ledger) waitUntilDue(ctx context.Context, period clock.Millis) bool {
	if !l.Clock.Sleep(ctx, period) {
		return false
	}
	for remaining := l.untilDue(period); remaining > 0; remaining = l.untilDue(period) {
		if !l.Clock.Sleep(ctx, remaining) {
			return false
		}
	}
	return true
}

// untilDue returns how long the next heartbeat may wait.
func (l *Ledger) untilDue(period clock.Millis) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	renewal := max(MemberRenewal, period)
	if len(l.state.RolesOf(l.Self)) > 0 {
		renewal = max(RoleRenewal, period)
	}
	now := l.Clock.Mono()
	return min(period-(now-l.lastSignOfLife), renewal-(now-l.lastHeartbeat))
}

func (l *Ledger) canAct() bool { return l.CanAct == nil || l.CanAct() }

func (l *Ledger) heartbeat() jobs.Heartbeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	return jobs.Heartbeat{
		By: l.Self, Zone: l.Zone, Address: l.Address, Start: l.start, Roles: l.state.RolesOf(l.Self),
		Leaving: l.leaving || !l.caughtUp || l.start == 0 || !l.canAct(),
	}
}

// Leave announces to other instances that this one accepts no more work.
func (l *Ledger) Leave(ctx context.Context) error {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	_, err := l.Append(ctx, l.heartbeat())
	return err
}
