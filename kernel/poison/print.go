// Package poison finds the requests that end the servers that run them, from what
// instances tell of servers that ended and of servers that answered. It is pure: it
// neither sends nor waits.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"croftmoor.dev/kernel/ident"
)

// Fingerprint is the same for requests that ask for the same: ids differ each time a
// caller sends one again, whoever takes it.
type Fingerprint string

// fingerprintBytes is how much of the hash is kept: 128 bits, so that no caller finds a
// request with the fingerprint of another one.
const fingerprintBytes = 16

// Subject is what a request asks for, and for whom.
type Subject struct {
	// Organisation is whose request it is; empty if nobody's. Requests of different
	// organisations never share a fingerprint, so that none can shut out another's.
	Organisation ident.Organisation
	Host         string
	Method       string
	Target       string
	Body         []byte
}

// Fingerprint returns the subject's fingerprint.
func (s Subject) Fingerprint() Fingerprint {
	hash := sha256.New()
	for _, part := range []string{string(s.Organisation), s.Host, s.Method, s.Target} {
		// The length before each part keeps "ab","c" apart from "a","bc".
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write([]byte(part))
	}
	_, _ = hash.Write(s.Body)
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}
