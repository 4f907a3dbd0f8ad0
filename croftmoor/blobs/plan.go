package blobs

import (
	"slices"

	"croftmoor.dev/kernel/ident"
)

const (
	// minReadBytes is the least that one read asks for: a few bodies or texts, which have 2 to
	// 5 KB. It is small because a caller that runs
	// one item seldom needs its neighbours, and all instances share the log's read throughput.
	minReadBytes = 16 << 10
	// maxReadBytes limits one read, so that its first records arrive soon over a slow link.
	maxReadBytes = 128 << 10
	// maxGapBytes is the most unwanted bytes between two wanted records of one read. Up to
	// this size, reading the gap costs less than another call to the log.
	maxGapBytes = 12 << 10
	// marginPercent is added to the expected size of the records of a read.
	marginPercent = 10
	percent       = 100
)

// extent is the range of one read: it starts at offset first and asks for bytes. The offsets of
// the wanted records are in ascending order.
type extent struct {
	first   ident.Offset
	bytes   int
	offsets []ident.Offset
}

// extentFor returns the extent that begins at offset and covers the following offsets of
// others, up to the first that exceeds maxBytes or lies beyond a gap wider than maxGapBytes.
// recordBytes is the expected size of a record.
func extentFor(offset ident.Offset, others []ident.Offset, recordBytes, maxBytes int) extent {
	sorted := slices.Clone(others)
	slices.Sort(sorted)
	at, found := slices.BinarySearch(sorted, offset)
	if !found {
		sorted = slices.Insert(sorted, at, offset)
	}
	end := at + 1
	for end < len(sorted) && int(sorted[end]-offset+1)*recordBytes <= maxBytes && int(sorted[end]-sorted[end-1]-1)*recordBytes <= maxGapBytes {
		end++
	}
	wanted := sorted[at:end]
	expectedBytes := int(wanted[len(wanted)-1]-offset+1) * recordBytes
	return extent{first: offset, bytes: min(max(expectedBytes+expectedBytes*marginPercent/percent, minReadBytes), maxBytes), offsets: wanted}
}
