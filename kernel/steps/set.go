package steps

import (
	"encoding/base64"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Invalid means that a value could not be read.
const Invalid Kind = "Invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Set is a set of slots as a bitmap. The zero value is empty.
type Set struct {
	bits []byte
}

const bitsPerByte = 8

// Has tells whether slot is in the set.
func (s Set) Has(slot ident.Slot) bool {
	i := int(slot) / bitsPerByte
	return slot >= 0 && i < len(s.bits) && s.bits[i]&(1<<(uint(slot)%bitsPerByte)) != 0
}

// Add puts slot into the set.
func (s *Set) Add(slot ident.Slot) {
	i := int(slot) / bitsPerByte
	for len(s.bits) <= i {
		s.bits = append(s.bits, 0)
	}
	s.bits[i] |= 1 << (uint(slot) % bitsPerByte)
}

// Text returns the set as base64 text for the wire.
func (s Set) Text() string {
	return base64.StdEncoding.EncodeToString(s.bits)
}

// ParseSet reads what Text wrote.
func ParseSet(text string) (Set, error) {
	bits, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return Set{}, fault.Wrap("steps.ParseSet", Invalid, err, "the set of held slots is not base64")
	}
	return Set{bits: bits}, nil
}
