package proxy

import (
	"context"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/trail"
)

// recordAnswer records a server's answer to a call that was sent at the time at.
func (p *Proxy) recordAnswer(r *Request, s *callState, v Verdict, at clock.Millis) {
	if v.NotRun {
		return
	}
	s.answered, s.sentAt = true, at
	p.reportAnswered(r, s)
}

// recordNoAnswer records an attempt without an answer that was sent at the time at.
func (s *callState) recordNoAnswer(err error, at clock.Millis) {
	if fault.KindOf[httpc.Kind](err) == httpc.NotSent {
		s.unreached = min(s.unreached+1, maxUnreached)
		return
	}
	s.mayHaveRun, s.usesRetryBudget = true, true
	if !s.answered {
		s.sentAt = at
	}
}

// recordLoad passes the load that a server reported with an answer to the pool.
func (p *Proxy) recordLoad(server *pool.Server, v Verdict) {
	if v.HasLoad {
		server.RecordLoad(v.Load, p.Clock.Mono())
	}
}

// recordFailedAttempt records an attempt without an answer at its server and in the decision
// log. It reports whether the call may be retried.
func (p *Proxy) recordFailedAttempt(ctx context.Context, r Request, server *pool.Server, s *callState, repeatable bool, err error) bool {
	s.lastErr = err
	sent := fault.KindOf[httpc.Kind](err) != httpc.NotSent
	if ctx.Err() != nil {
		return false
	}
	p.recordFailure(r, server, "ejected after failures")
	p.logDecision(r, trail.Retry, server, err.Error())
	return repeatable || !sent
}

// recordFailure records a failure at a server's breaker. If that ejects the server, reason is logged.
func (p *Proxy) recordFailure(r Request, server *pool.Server, reason string) {
	if server.Breaker.RecordFailure(p.Clock.Mono()) {
		p.logDecision(r, trail.Hold, server, reason)
	}
}

// recordBadAnswer records a failure of a server whose answer was longer than it may be, or malformed.
func (p *Proxy) recordBadAnswer(r Request, server *pool.Server, err error) {
	switch {
	case httpc.TooLong(err):
		p.recordFailure(r, server, "ejected: its answer is too long")
	case fault.KindOf[httpc.Defect](err) == httpc.Malformed:
		p.recordFailure(r, server, "ejected: its answer is malformed")
	}
}
