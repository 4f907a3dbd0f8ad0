package ledger

import (
	"context"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/jobs"
)

// sendHeartbeats sends heartbeats until ctx ends. The first one supersedes the earlier
// run of this instance. Until the state has caught up and CanAct holds, heartbeats report
// Leaving, so that other instances assign no items or roles to an instance that cannot act
// yet.
func (l *Ledger) sendHeartbeats(ctx context.Context) {
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
	if _, err := l.Append(callCtx, l.heartbeat()); err != nil && ctx.Err() == nil {
		l.Log.Warn().Err(err).Msg("heartbeat not written")
	}
}

// waitUntilDue waits until this instance has written no sign of life for a period; other
// records count as signs of life too. It returns false if ctx ended.
func (l *Ledger) waitUntilDue(ctx context.Context, period clock.Millis) bool {
	if !l.Clock.Sleep(ctx, period) {
		return false
	}
	for remaining := period - l.Heard(); remaining > 0; remaining = period - l.Heard() {
		if !l.Clock.Sleep(ctx, remaining) {
			return false
		}
	}
	return true
}

func (l *Ledger) canAct() bool { return l.CanAct == nil || l.CanAct() }

func (l *Ledger) heartbeat() jobs.Heartbeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	return jobs.Heartbeat{By: l.Self, Zone: l.Zone, Address: l.Address, Leaving: l.leaving || !l.caughtUp || !l.canAct()}
}

// Leave announces to other instances that this one accepts no more work.
func (l *Ledger) Leave(ctx context.Context) error {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	_, err := l.Append(ctx, l.heartbeat())
	return err
}
