package swaps

import (
	"cmp"
	"context"
	"fmt"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

// load has one engine load a version, and tells the ledger when it has.
func (k *Keeper) load(ctx context.Context, w want, fence ident.Fence) {
	defer func() {
		k.mu.Lock()
		delete(k.loading, w.key)
		k.mu.Unlock()
	}()
	err := k.order(ctx, w, fence)
	if err == nil {
		err = k.confirm(ctx, w)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	k.mu.Lock()
	k.notYet[w.key] = k.Clock.Mono() + retryTerm
	k.mu.Unlock()
	k.note(w, trail.Hold, err.Error())
}

// order notes the order in the ledger and gives it, if the role is still held.
func (k *Keeper) order(ctx context.Context, w want, fence ident.Fence) error {
	count, has, err := k.count(ctx, w)
	if err != nil || has >= w.version {
		return err
	}
	began := k.Clock.Mono()
	offset, err := k.announce(ctx, w, fence)
	if err != nil {
		return err
	}
	if !k.lease.Holds(fence) {
		return fault.New("swaps.order", Fenced, "the role was lost")
	}
	left := began + orderTerm - k.Clock.Mono()
	if left <= 0 {
		return fault.New("swaps.order", Fenced, "the order's record is too old")
	}
	orderCtx, stop := context.WithTimeout(ctx, min(callTerm, left).Duration())
	defer stop()
	order := Order{Model: w.key.Model, Version: w.version, Manner: w.manner, Holder: k.Self, Fence: fence, Count: count}
	k.note(w, trail.Order, fmt.Sprintf("version %d after %d, fence %d, count %d, order %d", w.version, has, fence, count, offset))
	err = k.Engines.Load(orderCtx, w.engine, order)
	k.answered(w)
	if fault.KindOf[Kind](err) == Unsure {
		// The order may have been taken; what the engine says next decides.
		k.note(w, trail.Hold, err.Error())
		return nil
	}
	k.settle(ctx, w, offset)
	return err
}

// announce writes an order into the ledger and reads it back. It returns its offset.
func (k *Keeper) announce(ctx context.Context, w want, fence ident.Fence) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTerm.Duration())
	defer cancel()
	record := jobs.LoadOrder{
		Role: role, Fence: fence, Engine: w.key.Engine, Model: w.key.Model, Version: w.version, Within: int(orderTerm),
	}
	offset, err := k.Ledger.Append(ctx, record)
	if err == nil {
		err = k.Ledger.Await(ctx, offset+1)
	}
	if err != nil {
		return 0, fault.Wrap("swaps.announce", Unsure, err, "the order is not in the ledger")
	}
	return offset, nil
}

// settle tells that an order is no longer on its way, so that the next holder need not
// wait for orderTerm besides the lease term.
func (k *Keeper) settle(ctx context.Context, w want, order ident.Offset) {
	ctx, cancel := context.WithTimeout(ctx, appendTerm.Duration())
	defer cancel()
	if _, err := k.Ledger.Append(ctx, jobs.OrderSettled{Engine: w.key.Engine, Order: order}); err != nil {
		k.note(w, trail.Hold, fmt.Sprintf("order %d is not settled: %s", order, err))
	}
}

// answered notes when an engine answered an order.
func (k *Keeper) answered(w want) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if load, ok := k.loading[w.key]; ok {
		load.answered = k.Clock.Mono()
		k.loading[w.key] = load
	}
}

// answeredAt returns when an engine answered an order; now if none was given, because the
// engine has the version.
func (k *Keeper) answeredAt(w want) clock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return cmp.Or(k.loading[w.key].answered, k.Clock.Mono())
}

// count returns how many orders an engine has taken, and the version it has. It
// is asked unless this instance has just seen it load: only a holder gives
// orders, and one whose count is wrong is refused.
func (k *Keeper) count(ctx context.Context, w want) (int64, ident.Version, error) {
	k.mu.Lock()
	count, known := k.counts[w.key.Engine]
	delete(k.counts, w.key.Engine)
	k.mu.Unlock()
	if known {
		return count, w.has, nil
	}
	report, err := k.report(ctx, w)
	return report.Count, report.Versions[w.key.Model], err
}

func (k *Keeper) report(ctx context.Context, w want) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTerm.Duration())
	defer cancel()
	return k.Engines.Report(ctx, w.engine)
}

// confirm asks the engine until it has the version, and tells everybody.
func (k *Keeper) confirm(ctx context.Context, w want) error {
	answered := k.answeredAt(w)
	until := answered + loadTerm
	pause := max(answered+loadFirst-k.Clock.Mono(), 0)
	for k.Clock.Mono() < until {
		if !k.Clock.Sleep(ctx, pause) {
			return ctx.Err()
		}
		pause = loadPoll
		report, err := k.report(ctx, w)
		if err != nil || report.Versions[w.key.Model] < w.version || report.Busy {
			continue
		}
		k.loaded(w, report)
		callCtx, cancel := context.WithTimeout(ctx, appendTerm.Duration())
		defer cancel()
		k.note(w, trail.Order, fmt.Sprintf("version %d loaded", w.version))
		_, err = k.Ledger.Append(callCtx, jobs.Loaded{Engine: w.key.Engine, Model: w.key.Model, Version: w.version})
		return err
	}
	return fault.New("swaps.confirm", Unsure, "no word that the version is loaded")
}

// tookWeight is what one load weighs against those before, as a divisor.
const tookWeight = 4

// loaded notes the end of a load.
func (k *Keeper) loaded(w want, report Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts[w.key.Engine] = report.Count
	k.took += (k.Clock.Mono() - k.loading[w.key].began - k.took) / tookWeight
}

func (k *Keeper) note(w want, action trail.Action, reason string) {
	k.Trail.Add(trail.Decision{ID: string(w.key.Model), Action: action, Choice: string(w.key.Engine), Reason: reason})
}
