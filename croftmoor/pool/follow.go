package pool

import (
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

// Refresh applies the fleet's current view to the server lists if it has changed.
func (p *Pool) Refresh() {
	view := p.Fleet.View()
	if view == p.lastView {
		return
	}
	p.lastView = view
	for service, members := range view.Backends {
		p.setMembers(service, p.subset(members))
	}
	p.services.Range(func(key, _ any) bool {
		service, _ := key.(ident.Service)
		if _, listed := view.Backends[service]; !listed {
			p.setMembers(service, nil)
		}
		return true
	})
}

// subset returns the members that this instance uses: those of its own availability zone
// first.
func (p *Pool) subset(members []fleet.Member) []fleet.Member {
	if p.Subset <= 0 || len(members) <= p.Subset {
		return members
	}
	return fleet.NewIndex(members).Nearest(p.Zone, p.Self, p.Subset, 0)
}

// setMembers replaces the server list of a service and keeps the state of known servers.
func (p *Pool) setMembers(service ident.Service, members []fleet.Member) {
	s := p.serverSet(service)
	old := *s.list.Load()
	// Indexed by name because a linear search per member is slow for large services.
	known := make(map[ident.BackendName]*Server, len(old))
	for _, server := range old {
		known[server.Name] = server
	}
	fresh := make([]*Server, 0, len(members))
	for _, m := range members {
		server := known[ident.BackendName(m.Name)]
		if server == nil {
			server = newServer(ident.BackendName(m.Name), service, m.Zone)
		}
		server.setMember(m)
		fresh = append(fresh, server)
	}
	s.list.Store(&fresh)
	p.endRestarted(old, fresh)
}

// endRestarted ends the lifetime of servers that have restarted: fresh has another start under
// the same ListName. Their requests are lost, and callers would otherwise wait for answers
// until a timeout.
func (p *Pool) endRestarted(old, fresh []*Server) {
	current := make(map[string]*Server, len(fresh))
	for _, server := range fresh {
		current[server.Name.ListName()] = server
	}
	for _, server := range old {
		next := current[server.Name.ListName()]
		if next == nil || next == server {
			continue
		}
		if p.Restarted != nil {
			p.Restarted(server.Address())
		}
		server.endLifetime()
	}
}
