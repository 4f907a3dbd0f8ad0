package steps

import (
	"encoding/base64"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Invalid marks a value that could not be parsed.
const Invalid Kind = "Invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Set is a set of slots, stored as a bitmap. The zero value is empty.
type Set struct {
	bits []byte
}

const bitsPerByte = 8

// Has reports whether slot is in the set. A negative slot is not.
func (s Set) Has(slot ident.Slot) bool {
	i := int(slot) / bitsPerByte
	return slot >= 0 && i < len(s.bits) && s.bits[i]&(1<<(uint(slot)%bitsPerByte)) != 0
}

// Add adds slot, which must not be negative, to the set.
func (s *Set) Add(slot ident.Slot) {
	i := int(slot) / bitsPerByte
	for len(s.bits) <= i {
		s.bits = append(s.bits, 0)
	}
	s.bits[i] |= 1 << (uint(slot) % bitsPerByte)
}

// Text returns the bitmap in base64, for the wire.
func (s Set) Text() string {
	return base64.StdEncoding.EncodeToString(s.bits)
}

// ParseSet parses what Text returned.
func ParseSet(text string) (Set, error) {
	bits, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return Set{}, fault.Wrap("steps.ParseSet", Invalid, err, "set of slots is not valid base64")
	}
	return Set{bits: bits}, nil
}
