package jobs

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// adoptRoles takes the writer of a heartbeat for the holder of the roles that it names, where this
// reader has not read their holds. One that has read all knows the same holder or a later one.
func (s *State) adoptRoles(r Heartbeat) {
	for _, held := range r.Roles {
		if held.Fence > s.RoleHolders[held.Role].Fence {
			s.RoleHolders[held.Role] = RoleHolder{By: r.By, Fence: held.Fence}
		}
	}
}

// RolesOf returns the roles that an instance holds, by name.
func (s *State) RolesOf(name ident.InstanceName) []HeldRole {
	var roles []HeldRole
	for role, holder := range s.RoleHolders {
		if holder.By == name {
			roles = append(roles, HeldRole{Role: role, Fence: holder.Fence})
		}
	}
	slices.SortFunc(roles, func(a, b HeldRole) int { return cmp.Compare(a.Role, b.Role) })
	return roles
}

// hold makes the writer the holder of a role. A superseded start takes none: it has ended, and
// its record was appended late.
func (s *State) hold(offset ident.Offset, h Hold, now clock.Millis) {
	s.markHeard(h.By, now)
	if s.Members[h.By].Superseded || ident.Offset(s.RoleHolders[h.Role].Fence) != h.Replaces {
		return
	}
	s.RoleHolders[h.Role] = RoleHolder{By: h.By, Fence: ident.Fence(offset)}
}
