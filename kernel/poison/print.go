// Package poison detects requests that crash the servers that run them. Its input is
// records of servers that ended and of servers that answered; it does no I/O and starts no
// goroutines.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/rope"
)

// Fingerprint identifies requests with equal content, in hex. Request ids do not serve,
// because each retry by a caller gets a new one.
type Fingerprint string

// fingerprintBytes is the length of the truncated hash; 128 bits make it infeasible to
// construct a request with a given fingerprint.
const fingerprintBytes = 16

// Subject is the content of a request and its owner, from which the fingerprint is made.
type Subject struct {
	// Organisation owns the request; it may be empty. It is part of the fingerprint so
	// that no organisation can get another's requests held.
	Organisation ident.Organisation
	Host         string
	Method       string
	Target       string
	Body         rope.Rope
}

// Fingerprint returns the truncated SHA-256 hash of the subject in hex.
func (s Subject) Fingerprint() Fingerprint {
	hash := sha256.New()
	for _, part := range []string{string(s.Organisation), s.Host, s.Method, s.Target} {
		// The length prefix makes "ab","c" differ from "a","bc".
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write([]byte(part))
	}
	_, _ = s.Body.WriteTo(hash)
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}
