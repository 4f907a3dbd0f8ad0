// Package ident defines the types of the identifiers and units that all packages share.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"strconv"
	"strings"
)

// Identifiers.
type (
	// RequestID identifies one request of a caller; its retries carry the same id.
	RequestID string
	// InstanceName names one start of an instance; see NewInstance.
	InstanceName string
	// BackendName names one start of a backend server, its incarnation. A restarted server has
	// lost its state, so all that is known of a server is stored under this name and expires
	// with that start.
	BackendName string
	// Zone names an availability zone.
	Zone string
	// Service names a model service or a plain service.
	Service string
	// Trainer names a trainer.
	Trainer string
	// Team names a team that owns a configuration file.
	Team string
	// Class names a class of callers.
	Class string
	// Stream names a stream of the platform's log.
	Stream string
	// RecordID identifies one appended record; a writer whose append ended without a response
	// recognises its record by it.
	RecordID string
	// Job names a batch job.
	Job string
	// Item names one item of a batch job; a later job may contain the same item.
	Item string
	// Group names the items of a job that share a prompt.
	Group string
	// Model names a model with versioned weights.
	Model string
	// Organisation names a customer of the platform. Each Key belongs to one.
	Organisation string
	// Key is the secret by which a caller authenticates its requests.
	Key string
)

// Units.
type (
	// Offset is a position in a stream of the platform's log; the first record has offset 1.
	Offset int64
	// Revision identifies a configuration by the offset of the record that created it; 0 is
	// none.
	Revision int64
	// Version counts the weights that a trainer has published; 0 is none.
	Version int64
	// Step counts a trainer's steps.
	Step int64
	// Window numbers the spans of wall-clock time for which usage is reported.
	Window int64
	// Slot is the index of a sample within a step.
	Slot int32
	// Tokens counts generated tokens.
	Tokens int32
	// Fence is a fencing token; a backend server that checks it refuses lower ones.
	Fence int64
	// Address is an IP address and port.
	Address string
)

// randomBytes is the length of a random id before hex encoding.
const randomBytes = 12

const (
	incarnationSeparator = "~"
	incarnationDigits    = 8
)

// String returns a placeholder, which keeps keys out of logs and messages.
func (Key) String() string { return "(key)" }

// NewRandom returns a new random id in hexadecimal.
func NewRandom() string {
	var raw [randomBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// NewInstance returns the name of one start of the instance that the settings name. A
// restarted instance has lost its state and must not be taken for the earlier one.
func NewInstance(name string) InstanceName {
	return InstanceName(name + incarnationSeparator + NewRandom()[:incarnationDigits])
}

// ListName returns the instance's name in the platform's list, which all its starts share.
func (n InstanceName) ListName() string { return trimIncarnation(string(n)) }

// NewBackend returns the name of one start of a backend server. startedAt is the server's
// start time in Unix milliseconds by its own clock, which may go back: two names show whether
// two starts are the same, but not which came first. If the server does not report its start
// time, startedAt is 0 and all its starts have the same name.
func NewBackend(name string, startedAt int64) BackendName {
	if startedAt == 0 {
		return BackendName(name)
	}
	return BackendName(name + incarnationSeparator + strconv.FormatInt(startedAt, startTimeBase))
}

// startTimeBase is the base of the digits of a start time in a name. A high base keeps names
// short.
const startTimeBase = 36

// ListName returns the server's name in the platform's list, which all its starts share.
func (n BackendName) ListName() string { return trimIncarnation(string(n)) }

// OtherStart returns the name of the start that a server reports, and whether it is known to
// differ from n. It is not known to if n or the report lacks a start time.
func (n BackendName) OtherStart(startedAt int64) (other BackendName, differs bool) {
	other = NewBackend(n.ListName(), startedAt)
	return other, startedAt != 0 && other != n && n.ListName() != string(n)
}

func trimIncarnation(name string) string {
	if at := strings.LastIndex(name, incarnationSeparator); at >= 0 {
		return name[:at]
	}
	return name
}

// Hash returns a stable 64-bit hash of the parts. A finaliser mixes the bits, so that similar
// parts give unrelated values.
func Hash(parts ...string) uint64 {
	sum := fnv.New64a()
	for _, part := range parts {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	return Mix(sum.Sum64())
}

// UnitInterval mixes two hashes into a number between 0 and 1, both exclusive.
func UnitInterval(a, b uint64) float64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	const bits = 53
	return (float64(x>>(64-bits)) + 0.5) / (1 << bits)
}

// Mix returns a hash of a number whose bits are unrelated to those of the hashes of similar
// numbers.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
