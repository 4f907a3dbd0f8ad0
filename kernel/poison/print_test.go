package poison

import (
	"testing"

	"croftmoor.dev/kernel/rope"
)

func TestFingerprint(t *testing.T) {
	subject := Subject{Organisation: "o", Host: "h", Method: "POST", Target: "/a?b", Body: rope.Of([]byte("x"))}
	wantSame := func(t *testing.T, other Subject, same bool) {
		t.Helper()
		if got := subject.Fingerprint() == other.Fingerprint(); got != same {
			t.Errorf("fingerprints equal: %v, want %v", got, same)
		}
	}
	t.Run("what asks for the same has it", func(t *testing.T) { wantSame(t, subject, true) })
	changes := map[string]func(s *Subject){
		"organisation":                           func(s *Subject) { s.Organisation = "p" },
		"host":                                   func(s *Subject) { s.Host = "i" },
		"method":                                 func(s *Subject) { s.Method = "PUT" },
		"target":                                 func(s *Subject) { s.Target = "/a?c" },
		"body":                                   func(s *Subject) { s.Body = rope.Of([]byte("y")) },
		"a byte moved from one part to the next": func(s *Subject) { s.Target, s.Body = "/a?bx", rope.Rope{} },
	}
	for name, change := range changes {
		t.Run("another "+name+" has another", func(t *testing.T) {
			other := subject
			change(&other)
			wantSame(t, other, false)
		})
	}
}
