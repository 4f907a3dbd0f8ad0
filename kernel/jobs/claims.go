package jobs

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

func (s *State) claim(offset ident.Offset, c Claim, now clock.Millis) {
	s.markHeard(c.Writer(), now)
	for _, t := range c.Targets {
		job, item := s.unfinishedItem(c.Job, t.Index)
		if item == nil || job.Ended || item.Claim != t.Replaces {
			continue
		}
		s.release(job, t.Index)
		s.assign(job, t.Index, c, offset)
		job.ProgressAt = now
	}
}

// assign records a claim on an item that has none.
func (s *State) assign(job *Job, index int, c Claim, offset ident.Offset) {
	item := &job.Items[index]
	item.Owner, item.Engine, item.Claim = c.By, c.Engine, offset
	s.adjustLoad(item, 1)
	job.Waiting--
	if s.Claims[c.By] == nil {
		s.Claims[c.By] = map[ItemKey]struct{}{}
	}
	s.Claims[c.By][ItemKey{Job: job.Job, Index: index}] = struct{}{}
}

// release removes the item's current claim, if any.
func (s *State) release(job *Job, index int) {
	item := &job.Items[index]
	if item.Claim == 0 {
		return
	}
	s.adjustLoad(item, -1)
	job.Waiting++
	delete(s.Claims[item.Owner], ItemKey{Job: job.Job, Index: index})
	if len(s.Claims[item.Owner]) == 0 {
		delete(s.Claims, item.Owner)
	}
	item.Owner, item.Engine, item.Claim = "", "", 0
}

// adjustLoad adds the item to the load of its engine (sign 1) or removes it (-1).
func (s *State) adjustLoad(item *Item, sign int) {
	load := s.Loads[item.Engine]
	load.Items += sign
	load.Expect += ident.Tokens(sign) * item.Expect
	if load.Items <= 0 {
		delete(s.Loads, item.Engine)
		return
	}
	s.Loads[item.Engine] = load
}

// GoneOwners returns the owners of claims that are no longer alive, as Alive reports it.
func (s *State) GoneOwners(since clock.Millis) map[ident.InstanceName]bool {
	gone := map[ident.InstanceName]bool{}
	for owner := range s.Claims {
		if !s.Alive(owner, since) {
			gone[owner] = true
		}
	}
	return gone
}

// ClaimedBy returns how many items the given owners have claimed for each engine.
func (s *State) ClaimedBy(owners map[ident.InstanceName]bool) map[ident.BackendName]int {
	items := map[ident.BackendName]int{}
	for owner := range owners {
		for key := range s.Claims[owner] {
			items[s.Jobs[key.Job].Items[key.Index].Engine]++
		}
	}
	return items
}
