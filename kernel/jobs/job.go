package jobs

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Item is the state of one item of a job.
type Item struct {
	ItemSpec
	// Owner, Engine and Claim describe the current claim; Claim is 0 if there is none.
	Owner  ident.InstanceName
	Engine ident.BackendName
	Claim  ident.Offset
	// Done reports whether the item has a result.
	Done bool
	// Partial is the longest saved prefix of the text, or the whole text.
	Partial Partial
	// CarriedOver reports whether an earlier job contained the item. The trainer is
	// already waiting for such an item.
	CarriedOver bool
	// FailedOn lists the engines that failed the item, one entry per failure.
	FailedOn []ident.BackendName
	// Yields counts how often the item was released without a result. VainYields counts those
	// since its saved text last grew, the first of which was read at VainSince.
	Yields     int
	VainYields int
	VainSince  clock.Millis
}

// updatePartial replaces the saved text if p is worth more, and reports whether it did. Each
// text is saved whole, so that two are never mixed. A complete text is worth the most. With
// singleVersion, one of a newer version is worth more than one of an older version, however
// long that is: engines with the older version become fewer, and the text that was begun anew
// must not be lost to a late record of the other.
func (i *Item) updatePartial(p Partial, singleVersion bool) bool {
	saved := i.Partial
	worthMore := p.Events > saved.Events
	if newest, kept := p.newestVersion(), saved.newestVersion(); singleVersion && newest != kept {
		worthMore = newest > kept
	}
	if saved.Complete || (!worthMore && !p.Complete) {
		return false
	}
	i.Partial = p
	return true
}

// noteYield counts a yield, which is in vain if the saved text did not grow with it.
func (i *Item) noteYield(grew bool, now clock.Millis) {
	if grew {
		i.VainYields = 0
		return
	}
	if i.VainYields == 0 {
		i.VainSince = now
	}
	i.VainYields++
}

// Result is the result of the item at Index.
type Result struct {
	Index int
	Finish
}

// ItemKey identifies an item of a job.
type ItemKey struct {
	Job   ident.Job
	Index int
}

// Job is the state of a job. Its Accept.Items is nil: the item specs are in Items.
type Job struct {
	Accept
	Items   []Item
	Results []Result
	// Waiting counts the items that have neither a result nor a current claim.
	Waiting int
	// GroupLengths is the expected length of each group: that of its longest item.
	GroupLengths map[ident.Group]ident.Tokens
	// CarriedOverGroups are the groups with at least one carried-over item.
	CarriedOverGroups map[ident.Group]bool
	Ended             bool
	// SeenAt is when this reader read the Accept record.
	SeenAt clock.Millis
	// ProgressAt is when this reader last saw the job accepted, or an item of it claimed,
	// yielded or finished.
	ProgressAt clock.Millis
	// FromBacklog reports whether the Accept record was read late, in which case SeenAt
	// does not approximate the time of acceptance.
	FromBacklog bool
	// EndSeenAt is when this reader read the End record.
	EndSeenAt clock.Millis
}

// Open reports whether the job has not ended and still lacks results.
func (j *Job) Open() bool {
	return !j.Ended && len(j.Results) < len(j.Items)
}
