package serve

import (
	"slices"
	"strings"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// statusWire is the JSON form of an instance's status in the administration API.
type statusWire struct {
	Instance         string
	Zone             string
	NotReady         string
	Revision         int64
	UpTo             int64
	LogSilenceMillis int64
	InFlight         int64
	ShardsLed        int
	ShardsBackedUp   int
	RememberedIDs    int
	Peers            []peerWire
	Entries          []entryWire
	Backends         []backendWire
	Steps            []stepWire
}

type peerWire struct {
	Instance string
	Revision int64
	UpTo     int64
	Draining bool
}

// entryWire is an entry instance on the platform's list.
type entryWire struct {
	Name  string
	Zone  string
	Admin string
	State string
}

type backendWire struct {
	Name           string
	Service        string
	Zone           string
	State          string
	InFlight       int
	BelievedLoad   int
	ReportedLoad   int
	ReportAtMillis int64
	Versions       []versionWire
}

type versionWire struct {
	Trainer string
	Version int64
}

type stepWire struct {
	Trainer string
	Step    int64
	Newest  int64
	Missing int
	Running int
	Ready   int
	Held    int
	Stale   int
}

func (i *Instance) status() any {
	primaries, backups, ids := i.home.Counts()
	heartbeat := i.heartbeat()
	w := statusWire{
		Instance: string(i.self), Zone: string(i.Config.Zone), NotReady: i.notReadyReason(),
		Revision: int64(heartbeat.Revision), UpTo: int64(heartbeat.UpTo),
		LogSilenceMillis: int64(i.clock.Mono() - clock.Millis(i.logReadAt.Load())),
		InFlight:         i.front.InFlight(), ShardsLed: primaries, ShardsBackedUp: backups, RememberedIDs: ids,
	}
	for _, p := range i.health.Peers() {
		w.Peers = append(w.Peers, peerWire{
			Instance: string(p.Instance), Revision: int64(p.Revision), UpTo: int64(p.UpTo), Draining: p.Draining,
		})
	}
	for _, m := range i.fleet.View().Entries {
		w.Entries = append(w.Entries, entryWire{Name: m.Name, Zone: string(m.Zone), Admin: string(m.Admin), State: string(m.State)})
	}
	w.Backends = i.backends()
	for _, s := range i.feed.Statuses() {
		w.Steps = append(w.Steps, stepWire{
			Trainer: string(s.Trainer), Step: int64(s.Step), Newest: int64(s.Newest),
			Missing: s.Missing, Running: s.Running, Ready: s.Ready, Held: s.Held, Stale: s.Stale,
		})
	}
	return w
}

// backends returns the servers of all services, ordered by name.
func (i *Instance) backends() []backendWire {
	var list []backendWire
	state := i.reader.Current()
	if state == nil {
		return nil
	}
	for _, entry := range state.Conf.Teams {
		for _, service := range entry.File.Services {
			list = append(list, i.backendsOf(service.Name)...)
		}
	}
	slices.SortFunc(list, func(a, b backendWire) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (i *Instance) backendsOf(service ident.Service) []backendWire {
	var list []backendWire
	for _, server := range i.pool.Servers(service) {
		s := server.Status(i.clock.Mono())
		w := backendWire{
			Name: string(s.Name), Service: string(s.Service), Zone: string(s.Zone), State: "Live",
			InFlight: s.Own, BelievedLoad: s.EstimatedLoad, ReportedLoad: s.Report.Running + s.Report.Waiting,
			ReportAtMillis: int64(s.Report.At),
		}
		switch {
		case s.Leaving || i.fleet.MarkedLeaving(string(s.Name)):
			w.State = "Leaving"
		case s.Weight == 0:
			w.State = "Ejected"
		case s.Weight < 1:
			w.State = "Returning"
		}
		for trainer, version := range s.Report.Versions {
			w.Versions = append(w.Versions, versionWire{Trainer: string(trainer), Version: int64(version)})
		}
		list = append(list, w)
	}
	return list
}
