package bench

import (
	"context"
	"slices"

	"croftmoor.dev/croftfake/listsv"
	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
)

// List adds or updates a member in the list of each zone. With Shape.Cuttable, a
// member of another zone is listed with the addresses of relays to it.
func (c *Cluster) List(m fleet.MemberWire) error {
	c.mu.Lock()
	c.members = slices.DeleteFunc(c.members, func(o fleet.MemberWire) bool { return o.Name == m.Name })
	if m.State != listsv.Removed {
		c.members = append(c.members, m)
	}
	c.mu.Unlock()
	for zone, list := range c.lists {
		shown, err := c.memberFromZone(zone, m)
		if err != nil {
			return err
		}
		_, err = stand.Post(context.Background(), &c.client, list.Listening, "/control/members", []fleet.MemberWire{shown})
		if err != nil {
			return err
		}
	}
	return nil
}

// memberFromZone returns a member with the addresses to list in a zone.
func (c *Cluster) memberFromZone(zone string, m fleet.MemberWire) (fleet.MemberWire, error) {
	if !c.Shape.Cuttable || m.Zone == zone || m.State == listsv.Removed {
		return m, nil
	}
	var err error
	if m.Peer != "" {
		m.Peer, err = c.relayTo(relayKey{fromZone: zone, to: m.Zone + "/" + m.Name + "/peer"}, m.Peer)
	}
	if err == nil && m.Kind == string(fleet.Backend) {
		m.Address, err = c.relayTo(relayKey{fromZone: zone, to: m.Zone + "/" + m.Name}, m.Address)
	}
	return m, err
}

// Unlist removes a member from the list of each zone.
func (c *Cluster) Unlist(name string) error {
	return c.List(fleet.MemberWire{Name: name, State: listsv.Removed})
}

// ListLeaving changes the state of a listed member to leaving.
func (c *Cluster) ListLeaving(name string) error {
	c.mu.Lock()
	at := slices.IndexFunc(c.members, func(m fleet.MemberWire) bool { return m.Name == name })
	if at < 0 {
		c.mu.Unlock()
		return fault.New("bench.ListLeaving", Broken, name+" is not listed")
	}
	m := c.members[at]
	c.mu.Unlock()
	m.State = string(fleet.Leaving)
	return c.List(m)
}

// ListAll adds members to the list of each zone in one request, without relays.
func (c *Cluster) ListAll(ctx context.Context, members []fleet.MemberWire) error {
	for _, list := range c.lists {
		if _, err := stand.Post(ctx, &c.client, list.Listening, "/control/members", members); err != nil {
			return err
		}
	}
	return nil
}
