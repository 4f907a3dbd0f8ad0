package blobs

import (
	"slices"

	"croftmoor.dev/kernel/ident"
)

const (
	// leastRead is how much one read asks for at least: a few bodies or texts, of 2 to
	// 5 KB. Whoever runs one item seldom needs its neighbours, and all instances share
	// what the log reads out.
	leastRead = 16 << 10
	// mostRead bounds one read, so that the first records of many come soon over a slow
	// link.
	mostRead = 128 << 10
	// mostGap is how many bytes of others' records are read rather than to call the log
	// once more.
	mostGap = 12 << 10
	// marginPercent is what a read asks for beyond the expected size of its records.
	marginPercent = 10
	percent       = 100
)

// extent is what one read asks for: about so many bytes from an offset on, for the offsets
// that are wanted, in rising order.
type extent struct {
	first  ident.Offset
	bytes  int
	wanted []ident.Offset
}

// extentFor returns the read for an offset and for those of the others that one read can
// bring with it, given the expected bytes of a record and the most bytes of a read. It is pure.
func extentFor(offset ident.Offset, others []ident.Offset, record, most int) extent {
	sorted := slices.Clone(others)
	slices.Sort(sorted)
	at, found := slices.BinarySearch(sorted, offset)
	if !found {
		sorted = slices.Insert(sorted, at, offset)
	}
	end := at + 1
	for end < len(sorted) && int(sorted[end]-offset+1)*record <= most && int(sorted[end]-sorted[end-1]-1)*record <= mostGap {
		end++
	}
	wanted := sorted[at:end]
	expected := int(wanted[len(wanted)-1]-offset+1) * record
	return extent{first: offset, bytes: min(max(expected+expected*marginPercent/percent, leastRead), most), wanted: wanted}
}
