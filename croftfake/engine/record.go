package engine

import (
	"math/rand/v2"
	"slices"
)

// TokenRun is a run of consecutive tokens that one version generated.
type TokenRun struct {
	Index   int
	Tokens  int
	Version int64
}

// Load is a load report.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Draining bool
	Versions []AdapterVersion
	// Cached lists the prompt families in the prefix cache.
	Cached []string
	Role   string
	// At is the time of the report in milliseconds.
	At int64
}

// recordRun keeps a run so that version labels can be checked against it. It
// extends the last run if possible. mu is held.
func (e *Engine) recordRun(id string, run TokenRun) {
	runs, known := e.runsByRequest[id]
	if !known {
		e.requestIDs = append(e.requestIDs, id)
		if len(e.requestIDs) > maxRecordedRequests {
			delete(e.runsByRequest, e.requestIDs[0])
			e.requestIDs = e.requestIDs[1:]
		}
	}
	if n := len(runs); n > 0 && runs[n-1].Version == run.Version && runs[n-1].Index+runs[n-1].Tokens == run.Index {
		runs[n-1].Tokens += run.Tokens
		return
	}
	e.runsByRequest[id] = append(runs, run)
}

// recordLoad stores a load report, to be returned when it is LoadLag old. mu is
// held.
func (e *Engine) recordLoad() {
	load := Load{
		Running: len(e.running), Waiting: len(e.waiting), Slots: e.Slots, Draining: e.faults.Active().Draining,
		Role: e.role, At: int64(e.Clock.Now()),
	}
	if rand.Float64() >= e.CacheGaps {
		load.Cached = slices.Clone(e.cachedFamilies)
	}
	for adapter, version := range e.reportedVersions {
		load.Versions = append(load.Versions, AdapterVersion{Adapter: adapter, Version: version})
	}
	e.loadReports = append(e.loadReports, load)
	if len(e.loadReports) > maxLoadReports {
		e.loadReports = slices.Delete(e.loadReports, 0, len(e.loadReports)-maxLoadReports)
	}
}

// delayedLoad returns the newest report that is at least LoadLag old.
func (e *Engine) delayedLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	shown := Load{Slots: e.Slots}
	newest := int64(e.Clock.Now() - e.LoadLag)
	for _, load := range e.loadReports {
		if load.At <= newest {
			shown = load
		}
	}
	return shown
}
