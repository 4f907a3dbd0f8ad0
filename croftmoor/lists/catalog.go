package lists

import (
	"context"
	"maps"
	"slices"
	"sync"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

// Catalog is a holder's copy of the whole list. Set the exported fields and call Setup before
// use. Readers are woken by Commit.
type Catalog struct {
	Clock *clock.Clock
	// IsEngines reports whether the servers of a service are engines, which hold versions of
	// weights.
	IsEngines func(ident.Service) bool

	mu       sync.Mutex
	services map[ident.Service]*service
	// serviceOf is the service of each listed server.
	serviceOf map[string]ident.Service
	// placements counts the changes of anything but versions, of all services.
	placements int64
	// evacuated are the availability zones whose servers get nothing new.
	evacuated map[ident.Zone]bool
	// next is the offset up to which the list was read; 0 until it was loaded. reading is set
	// while that is to be expected.
	next    ident.Offset
	reading bool
	// currentAt is when the list was last known to be current.
	currentAt clock.Millis
	// changed is closed by each Commit.
	changed chan struct{}
}

// service holds the servers of a service.
type service struct {
	members map[string]fleet.Member
	// index holds the servers, and shared those of them that all instances use if they are
	// engines. Both are nil after a change of the placement.
	index  *fleet.Index
	shared []string
}

// Setup makes an empty catalog, which is not loaded.
func (c *Catalog) Setup() {
	c.changed = make(chan struct{})
	c.Reset()
}

// Reset empties the catalog; it is not loaded then.
func (c *Catalog) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = map[ident.Service]*service{}
	c.serviceOf = map[string]ident.Service{}
	c.next, c.reading = 0, false
	close(c.changed)
	c.changed = make(chan struct{})
}

// ExpectList tells that the list is being read: readers wait for it.
func (c *Catalog) ExpectList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
}

// Loaded reports whether the whole list was read.
func (c *Catalog) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next > 0
}

// Put adds or replaces a server.
func (c *Catalog) Put(m fleet.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := listName(m)
	if before, known := c.serviceOf[id]; known && before != m.Service {
		c.remove(id)
	}
	s := c.services[m.Service]
	if s == nil {
		s = &service{members: map[string]fleet.Member{}}
		c.services[m.Service] = s
	}
	if old, known := s.members[id]; !known || !samePlacement(old, m) {
		c.moved(s)
	}
	s.members[id] = m
	c.serviceOf[id] = m.Service
}

// samePlacement reports whether two entries of a server differ in nothing but versions.
func samePlacement(a, b fleet.Member) bool {
	return a.Name == b.Name && a.Zone == b.Zone && a.Address == b.Address && a.State == b.State && a.Slots == b.Slots && a.Spot == b.Spot
}

// Remove removes a server by the name that all its starts share.
func (c *Catalog) Remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(id)
}

// remove implements Remove; the caller holds mu.
func (c *Catalog) remove(id string) {
	name, known := c.serviceOf[id]
	if !known {
		return
	}
	delete(c.serviceOf, id)
	s := c.services[name]
	delete(s.members, id)
	c.moved(s)
}

// moved notes a change of anything but versions of a service's servers; the caller holds mu.
func (c *Catalog) moved(s *service) {
	c.placements++
	s.index, s.shared = nil, nil
}

// Evacuate sets the availability zones whose servers get nothing new: they are listed as
// leaving.
func (c *Catalog) Evacuate(zones map[ident.Zone]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated = zones
	for _, s := range c.services {
		c.moved(s)
	}
}

// Commit makes the changes visible; next is the offset up to which the list was read.
func (c *Catalog) Commit(next ident.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(next, c.next, 1)
	close(c.changed)
	c.changed = make(chan struct{})
}

// MarkCurrent records that the list was current at a time.
func (c *Catalog) MarkCurrent(at clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.currentAt = at
}

// All returns all servers of a service.
func (c *Catalog) All(name ident.Service) []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.services[name]; s != nil {
		return slices.Collect(maps.Values(s.members))
	}
	return nil
}

// reader is an instance that uses servers of the list.
type reader struct {
	instance string
	zone     ident.Zone
	// engines are the services of engines that it uses; a follower uses all.
	engines  []ident.Service
	follower bool
}

// Used returns the servers that the holder itself uses.
func (c *Catalog) Used(instance string, zone ident.Zone) []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.subset(reader{instance: instance, zone: zone, follower: true})
}

// subset returns the servers that a reader uses; the caller holds mu.
func (c *Catalog) subset(r reader) []fleet.Member {
	var all []fleet.Member
	for name, s := range c.services {
		switch {
		case !c.IsEngines(name):
			all = append(all, c.indexOf(s).Nearest(r.zone, r.instance, maxServers, maxFar)...)
		case r.follower:
			all = append(all, c.shared(name, s)...)
		case slices.Contains(r.engines, name):
			all = append(all, fleet.NewIndex(c.shared(name, s)).Nearest(r.zone, r.instance, maxServers, maxFar)...)
		}
	}
	return all
}

// indexOf returns the index of a service; the caller holds mu.
func (c *Catalog) indexOf(s *service) *fleet.Index {
	if s.index == nil {
		members := make([]fleet.Member, 0, len(s.members))
		for _, m := range s.members {
			members = append(members, c.withState(m))
		}
		s.index = fleet.NewIndex(members)
	}
	return s.index
}

// withState returns a server with the state that it has for its users; the caller holds mu.
func (c *Catalog) withState(m fleet.Member) fleet.Member {
	if c.evacuated[m.Zone] {
		m.State = fleet.Leaving
	}
	return m
}

// shared returns the engines of a service that all instances use. They are chosen again only
// when a server came, went or changed its state. The caller holds mu.
func (c *Catalog) shared(name ident.Service, s *service) []fleet.Member {
	if s.shared == nil {
		for _, m := range c.indexOf(s).PerZone(string(name), maxEnginesPerZone) {
			s.shared = append(s.shared, listName(m))
		}
	}
	members := make([]fleet.Member, 0, len(s.shared))
	for _, id := range s.shared {
		members = append(members, c.withState(s.members[id]))
	}
	return members
}

// state is the list as one reader sees it.
type state struct {
	next    ident.Offset
	age     clock.Millis
	members []fleet.Member
	digest  uint64
}

// await returns the reader's servers as soon as their digest is not known, or after wait.
// Changes of versions alone end no wait: engines load them all the time, and followers learn
// of them from the ledger first. The error is NotLoaded if the list is not read by then, or not
// to be expected.
func (c *Catalog) await(ctx context.Context, r reader, known uint64, wait clock.Millis) (state, error) {
	timeout := c.Clock.After(wait)
	for seen := int64(-1); ; {
		s, placements, changed, err := c.look(r, seen)
		if err != nil {
			return state{}, err
		}
		if s.next > 0 && placements != seen && s.digest != known {
			return s, nil
		}
		seen = placements
		select {
		case <-ctx.Done():
			return state{}, ctx.Err()
		case <-timeout:
			if s, _, _, err = c.look(r, -1); err == nil && s.next == 0 {
				err = notLoaded()
			}
			return s, err
		case <-changed:
		}
	}
}

// look returns the list as a reader sees it if it may have changed since the placements were
// seen, the placements, and what is closed by the next change. The state's next is 0 while the
// list is being read.
func (c *Catalog) look(r reader, seen int64) (s state, placements int64, changed <-chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.next > 0:
	case c.reading:
		return state{}, -1, c.changed, nil
	default:
		return state{}, 0, nil, notLoaded()
	}
	s = state{next: c.next, age: c.Clock.Mono() - c.currentAt}
	if c.placements != seen {
		s.members = c.subset(r)
		s.digest = digest(s.members)
	}
	return s, c.placements, c.changed, nil
}

func notLoaded() error {
	return fault.New("lists.await", NotLoaded, "this instance has not read the list of servers")
}
