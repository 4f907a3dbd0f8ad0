package usage

import (
	"context"
	"fmt"
	"slices"

	"github.com/rs/zerolog"

	"croftmoor.dev/croftmoor/lease"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/toggle"
	"croftmoor.dev/kernel/trail"
)

const (
	role   = "usage"
	period = 200 * clock.Millis(1)
	// callTerm bounds a report to the platform's API; appendTerm a record.
	callTerm   = 1200 * clock.Millis(1)
	appendTerm = 1500 * clock.Millis(1)
	// resendLeast is the pause after a report that was not taken; it doubles up to
	// resendMost, so that an API that comes back has the report well within a second.
	resendLeast = 250 * clock.Millis(1)
	resendMost  = 1 * clock.Second
	// warnTerm is how long before it is due a window that is not reported is warned of.
	warnTerm = 2 * clock.Second
	// oldest is how long after its end a window is still reported: late is better for
	// those who bill by it than never.
	oldest = 60 * clock.Second
)

// Reporter settles and reports windows while this instance holds the role. Set the
// exported fields before Run; only Run's goroutine uses the rest.
type Reporter struct {
	Self     ident.InstanceName
	Ledger   Ledger
	Platform Platform
	Clock    *clock.Clock
	Wall     Wall
	Terms    Terms
	// LeaseTerm is the least time between the reports of two holders.
	LeaseTerm clock.Millis
	Trail     Decisions
	Log       zerolog.Logger
	Windows   Windows
	Without   toggle.Set

	lease  lease.Lease
	pause  clock.Millis
	next   clock.Millis
	warned map[ident.Window]bool
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.lease = lease.Lease{
		Role: role, Self: r.Self, Ledger: r.Ledger, Clock: r.Clock, Trail: r.Trail, Term: r.LeaseTerm, Without: r.Without,
	}
	r.warned = map[ident.Window]bool{}
	r.Clock.Every(ctx, period, func() { r.round(ctx) })
}

// round settles the windows whose time has come and sends the oldest report that is
// not taken yet.
func (r *Reporter) round(ctx context.Context) {
	if !r.Ledger.Fresh() {
		return
	}
	fence, ok := r.lease.Hold(ctx)
	if !ok {
		return
	}
	r.settle(ctx, fence)
	r.warn()
	if r.Clock.Mono() < r.next {
		return
	}
	for _, report := range r.unreported(fence) {
		if !r.send(ctx, report) {
			return
		}
	}
}

// settle writes down the sums of the windows whose time has come.
func (r *Reporter) settle(ctx context.Context, fence ident.Fence) {
	now := r.Wall.Now()
	var records []jobs.Record
	r.Ledger.View(func(b *jobs.State) {
		whole := r.Ledger.Steady() >= steadyTerm && allHeard(b, r.Clock.Mono())
		for _, w := range r.windows(b, now) {
			use := b.Usage[w]
			if (use == nil || !use.Settled) && r.complete(b, w) && settles(now-r.Terms.end(w), r.Terms.Due, whole) {
				records = append(records, jobs.UsageTotal{Role: role, Fence: fence, Window: w, Counts: use.Sorted()})
			}
		}
	})
	if len(records) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTerm.Duration())
	defer cancel()
	offset, err := r.Ledger.Append(callCtx, records...)
	if err == nil {
		err = r.Ledger.Await(callCtx, offset+ident.Offset(len(records)))
	}
	for _, record := range records {
		r.note(record.(jobs.UsageTotal).Window, trail.Grant, "settled", fmt.Sprintf("%d ms after its end, %d organisations, fence %d, error %v",
			now-r.Terms.end(record.(jobs.UsageTotal).Window), len(record.(jobs.UsageTotal).Counts), fence, err))
	}
}

// complete tells whether all that was told of a window can have been read. Of one that
// an earlier holder settled before the log dropped its history only late counts may be
// left; to settle it anew would report it twice with different counts.
func (r *Reporter) complete(b *jobs.State, w ident.Window) bool {
	at, found := r.Ledger.Gap()
	return wholeHistory(b, w, found, r.Terms.at(r.Wall.At(at)))
}

// windows returns the windows that have ended and are still reported, oldest first:
// from the first one in which anything began.
func (r *Reporter) windows(b *jobs.State, now clock.Millis) []ident.Window {
	first := r.Terms.at(now)
	for w := range b.Usage {
		first = min(first, w)
	}
	first = max(first, r.Terms.at(now-oldest))
	var list []ident.Window
	for w := first; r.Terms.end(w) <= now; w++ {
		list = append(list, w)
	}
	return list
}

// unreported returns the settled reports that the platform has not taken, oldest first.
func (r *Reporter) unreported(fence ident.Fence) []Report {
	var reports []Report
	now := r.Wall.Now()
	r.Ledger.View(func(b *jobs.State) {
		for _, w := range r.windows(b, now) {
			if use := b.Usage[w]; use != nil && use.Settled && !use.Reported {
				reports = append(reports, Report{Holder: r.Self, Fence: fence, Window: w, Counts: slices.Clone(use.Sum)})
			}
		}
	})
	return reports
}

// send reports one window; it reports whether the platform has it.
func (r *Reporter) send(ctx context.Context, report Report) bool {
	callCtx, cancel, holds := r.lease.Act(ctx, report.Fence, callTerm)
	defer cancel()
	if !holds {
		return false
	}
	err := r.Platform.Report(callCtx, report)
	if err != nil {
		r.pause = min(max(2*r.pause, resendLeast), resendMost)
		r.next = r.Clock.Mono() + r.pause
		if fault.KindOf[Kind](err) == Fenced {
			r.lease.Refused(report.Fence)
		}
		r.note(report.Window, trail.Hold, "not reported", err.Error())
		return false
	}
	r.pause = 0
	late := r.Wall.Now() - r.Terms.end(report.Window)
	event := "reported"
	if late > r.Terms.Due {
		event = "late"
	}
	r.count(event)
	r.note(report.Window, trail.Hand, event, fmt.Sprintf("%d ms after its end, fence %d", late, report.Fence))
	appendCtx, stop := context.WithTimeout(ctx, appendTerm.Duration())
	defer stop()
	offset, err := r.Ledger.Append(appendCtx, jobs.UsageReported{Window: report.Window})
	if err == nil {
		err = r.Ledger.Await(appendCtx, offset+1)
	}
	if err != nil {
		r.note(report.Window, trail.Hold, "not noted", err.Error()+"; it is reported again, with the same counts")
	}
	return err == nil
}

// warn tells of windows that are about to be missed, once each.
func (r *Reporter) warn() {
	now := r.Wall.Now()
	r.Ledger.View(func(b *jobs.State) {
		for _, w := range r.windows(b, now) {
			use := b.Usage[w]
			if (use != nil && use.Reported) || now < r.Terms.end(w)+r.Terms.Due-warnTerm || r.warned[w] {
				continue
			}
			r.warned[w] = true
			r.count("warned")
			r.Log.Warn().Int64("Window", int64(w)).Bool("Settled", use != nil && use.Settled).
				Int64("LeftMillis", int64(r.Terms.end(w)+r.Terms.Due-now)).Msg("usage is about to be missed")
		}
	})
}

func (r *Reporter) count(event string) {
	if r.Windows != nil {
		r.Windows.UsageWindow(event)
	}
}

func (r *Reporter) note(w ident.Window, action trail.Action, choice, reason string) {
	r.Trail.Add(trail.Decision{ID: fmt.Sprintf("usage/%d", w), Action: action, Choice: choice, Reason: reason})
}
