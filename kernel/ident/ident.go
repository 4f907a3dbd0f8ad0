// Package ident holds the named types for ids and units that all packages share.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"strconv"
	"strings"
)

// Ids.
type (
	// RequestID names one request of a caller; repeats carry the same id.
	RequestID string
	// InstanceName names one entry instance.
	InstanceName string
	// BackendName names one start of a backend server, its incarnation: one that starts
	// again holds and knows nothing of before, and must not pass for the old. All that
	// is believed of a server is kept by this name, so that it ends with the server.
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
	// RecordID names one appended record across lost answers.
	RecordID string
	// Job names a batch job.
	Job string
	// Item names one item of a batch job; a later job may bring it back.
	Item string
	// Group names the items of a job that share a prompt.
	Group string
	// Model names a model whose weights change by versions.
	Model string
	// Organisation names a customer of the platform; keys belong to one.
	Organisation string
	// Key is a secret by which a caller shows whose request it is.
	Key string
)

// Units.
type (
	// Offset is a position in a stream of the platform's log; the first record has offset 1.
	Offset int64
	// Revision is the offset of the record that made a configuration; 0 is none.
	Revision int64
	// Version counts the weights that a trainer has published; 0 is none.
	Version int64
	// Step counts a trainer's steps.
	Step int64
	// Window numbers the spans of true time for which use is reported.
	Window int64
	// Slot is the index of a sample within a step.
	Slot int32
	// Tokens counts generated tokens.
	Tokens int32
	// Fence is a fencing number; a backend server that checks refuses lower ones.
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

// String keeps keys out of logs and messages.
func (Key) String() string { return "(key)" }

// NewRandom returns a fresh random id in hexadecimal.
func NewRandom() string {
	var raw [randomBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// NewInstance returns the name of one life of the instance that the settings
// name: a restarted instance remembers nothing and must not pass for the old.
func NewInstance(name string) InstanceName {
	return InstanceName(name + incarnationSeparator + NewRandom()[:incarnationDigits])
}

// ListName returns the name under which the platform lists the instance.
func (n InstanceName) ListName() string { return trimIncarnation(string(n)) }

// NewBackend returns the name of one start of a backend server. Born tells the starts
// apart; it is when the server started by its own clock, which may go back, so that
// names say which starts are the same and not which came first. 0 is a server that
// does not tell: it has the same name always.
func NewBackend(name string, startedAt int64) BackendName {
	if startedAt == 0 {
		return BackendName(name)
	}
	return BackendName(name + incarnationSeparator + strconv.FormatInt(startedAt, startTimeBase))
}

// startTimeBase keeps names short: a time in Unix milliseconds has eight digits.
const startTimeBase = 36

// ListName returns the name under which the platform lists the backend server, which
// may be that of its other starts as well.
func (n BackendName) ListName() string { return trimIncarnation(string(n)) }

// OtherStart returns the name of the start that a server tells of, and whether that is
// another one than the named one. If either does not tell, it is not known to be.
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

// Hash returns a stable 64-bit hash of the parts, with a finaliser so that
// similar names give unrelated values.
func Hash(parts ...string) uint64 {
	sum := fnv.New64a()
	for _, part := range parts {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	x := sum.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
