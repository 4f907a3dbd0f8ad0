package usage

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// flushPeriod is the least time between two flushes of an instance. A count that comes
// alone is written at once, since what waits in memory is lost with a process that is
// killed; with 14 calls a second over 76 instances nearly all come alone, and no instance
// writes more than five times a second whatever comes.
const flushPeriod = 200 * clock.Millis(1)

// Meter counts the calls that begin at this instance. Set the exported fields before
// use. Counts are guarded by mu; flushing lets one flush at a time.
type Meter struct {
	Self   ident.InstanceName
	Ledger interface {
		Append(ctx context.Context, records ...jobs.Record) (ident.Offset, error)
	}
	Clock *clock.Clock
	Wall  Wall
	Terms Terms
	Log   zerolog.Logger

	kick     chan struct{}
	flushing sync.Mutex
	mu       sync.Mutex
	counts   map[ident.Window]map[ident.Organisation]int64
}

// Setup makes the meter usable; it is called before Run and Began.
func (m *Meter) Setup() { m.kick = make(chan struct{}, 1) }

// Began counts a call that began at a time of the steady clock.
func (m *Meter) Began(organisation ident.Organisation, at clock.Millis) {
	window := m.Terms.at(m.Wall.At(at))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts == nil {
		m.counts = map[ident.Window]map[ident.Organisation]int64{}
	}
	if m.counts[window] == nil {
		m.counts[window] = map[ident.Organisation]int64{}
	}
	m.counts[window][organisation]++
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Run writes the counts down until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-m.kick:
			m.Flush(ctx)
			m.Clock.Sleep(ctx, flushPeriod)
		}
	}
}

// Flush writes what was counted. The log is asked until it has the records or ctx
// ends; repeats of an append count once there.
func (m *Meter) Flush(ctx context.Context) {
	m.flushing.Lock()
	defer m.flushing.Unlock()
	records := m.take()
	if len(records) == 0 {
		return
	}
	if _, err := m.Ledger.Append(ctx, records...); err != nil {
		m.Log.Error().Err(err).Int("Records", len(records)).Msg("usage not written, the reports of its windows are too low")
	}
}

// take returns the counts as records and begins anew.
func (m *Meter) take() []jobs.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var records []jobs.Record
	for window, counts := range m.counts {
		used := jobs.WindowUsage{Counts: counts}
		records = append(records, jobs.UsageDelta{By: m.Self, Window: window, Counts: used.Sorted()})
	}
	m.counts = nil
	return records
}
