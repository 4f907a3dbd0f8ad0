package jobs

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Decode parses what Encode wrote. A record of an unknown kind, written by a newer
// version of the program, yields nil and no error.
func Decode(data []byte) (Record, error) {
	r := &reader{decoder: msgpack.NewDecoder(bytes.NewReader(data))}
	kind := recordKind(r.int())
	record := r.record(kind)
	if r.err != nil {
		return nil, fault.Wrap("jobs.Decode", Corrupt, r.err, "cannot decode ledger record")
	}
	return record, nil
}

// reader decodes fields; after the first error it returns zero values.
type reader struct {
	decoder *msgpack.Decoder
	err     error
}

func (r *reader) setErr(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *reader) text() string {
	if r.err != nil {
		return ""
	}
	s, err := r.decoder.DecodeString()
	r.setErr(err)
	return s
}

// optionalText reads a trailing text field that older versions of the program did not
// write.
func (r *reader) optionalText() string {
	if _, err := r.decoder.PeekCode(); err != nil {
		return ""
	}
	return r.text()
}

// optionalInt is the same for a number, 0 if it is missing.
func (r *reader) optionalInt() int64 {
	if _, err := r.decoder.PeekCode(); err != nil {
		return 0
	}
	return r.int()
}

// optionalRoles is the same for the roles of a heartbeat.
func (r *reader) optionalRoles() []HeldRole {
	if _, err := r.decoder.PeekCode(); err != nil {
		return nil
	}
	n := r.length()
	var roles []HeldRole
	for range n {
		roles = append(roles, HeldRole{Role: r.text(), Fence: ident.Fence(r.int())})
	}
	return roles
}

func (r *reader) int() int64 {
	if r.err != nil {
		return 0
	}
	n, err := r.decoder.DecodeInt64()
	r.setErr(err)
	return n
}

func (r *reader) flag() bool {
	if r.err != nil {
		return false
	}
	b, err := r.decoder.DecodeBool()
	r.setErr(err)
	return b
}

func (r *reader) length() int {
	if r.err != nil {
		return 0
	}
	n, err := r.decoder.DecodeArrayLen()
	r.setErr(err)
	if n < 0 || n > maxListLength {
		r.setErr(fault.New("jobs.Decode", Corrupt, "list length out of range"))
		return 0
	}
	return n
}

func (r *reader) span() Span {
	return Span{Stream: ident.Stream(r.text()), First: ident.Offset(r.int()), Count: int(r.int())}
}

func (r *reader) spans() []Span {
	n := r.length()
	var list []Span
	for range n {
		list = append(list, r.span())
	}
	return list
}

func (r *reader) partial() Partial {
	return Partial{Texts: r.spans(), Events: int(r.int()), Versions: r.versions(), Complete: r.flag()}
}

func (r *reader) timing() Timing {
	return Timing{Engine: ident.BackendName(r.text()), Events: int(r.int()), Millis: int(r.int())}
}

func (r *reader) versions() []ident.Version {
	n := r.length()
	var list []ident.Version
	for range n {
		list = append(list, ident.Version(r.int()))
	}
	return list
}

func (r *reader) counts() []Count {
	n := r.length()
	var list []Count
	for range n {
		list = append(list, Count{Organisation: ident.Organisation(r.text()), Requests: r.int()})
	}
	return list
}

func (r *reader) record(kind recordKind) Record {
	switch kind {
	case acceptKind:
		return r.accept()
	case claimKind:
		return r.claim()
	case yieldKind:
		return Yield{
			Job: ident.Job(r.text()), By: ident.InstanceName(r.text()), Index: int(r.int()),
			Partial: r.partial(), Failed: r.flag(), Timing: r.timing(),
		}
	case finishKind:
		return Finish{
			Job: ident.Job(r.text()), By: ident.InstanceName(r.text()), Index: int(r.int()), Outcome: Outcome(r.text()),
			Versions: r.versions(), Score: r.text(), Texts: r.spans(), Events: int(r.int()), Timing: r.timing(),
		}
	case endKind:
		return End{Job: ident.Job(r.text())}
	case heartbeatKind:
		return Heartbeat{
			By: ident.InstanceName(r.text()), Zone: ident.Zone(r.text()), Leaving: r.flag(), Address: ident.Address(r.text()),
			Start: ident.Offset(r.optionalInt()), Roles: r.optionalRoles(),
		}
	case holdKind:
		return Hold{Role: r.text(), By: ident.InstanceName(r.text()), Replaces: ident.Offset(r.int())}
	case loadOrderKind:
		return LoadOrder{
			Role: r.text(), Fence: ident.Fence(r.int()), Engine: ident.BackendName(r.text()),
			Model: ident.Model(r.text()), Version: ident.Version(r.int()), Within: int(r.optionalInt()),
		}
	case orderSettledKind:
		return OrderSettled{Engine: ident.BackendName(r.text()), Order: ident.Offset(r.int())}
	case loadedKind:
		return Loaded{Engine: ident.BackendName(r.text()), Model: ident.Model(r.text()), Version: ident.Version(r.int())}
	case usageDeltaKind, usageTotalKind, usageReportedKind:
		return r.usage(kind)
	case savePartialKind:
		return SavePartial{Job: ident.Job(r.text()), By: ident.InstanceName(r.text()), Index: int(r.int()), Partial: r.partial()}
	case deferKind:
		return Defer{Job: ident.Job(r.text()), By: ident.InstanceName(r.text()), Index: int(r.int()), Millis: int(r.int())}
	case avoidKind:
		return Avoid{By: ident.InstanceName(r.text()), Engine: ident.BackendName(r.text()), Millis: int(r.int())}
	default:
		return nil
	}
}

func (r *reader) usage(kind recordKind) Record {
	switch kind {
	case usageDeltaKind:
		return UsageDelta{By: ident.InstanceName(r.text()), Window: ident.Window(r.int()), Counts: r.counts()}
	case usageTotalKind:
		return UsageTotal{Role: r.text(), Fence: ident.Fence(r.int()), Window: ident.Window(r.int()), Counts: r.counts()}
	default:
		return UsageReported{Window: ident.Window(r.int())}
	}
}

func (r *reader) accept() Record {
	a := Accept{
		Job: ident.Job(r.text()), Host: r.text(), Prefix: r.text(), Service: ident.Service(r.text()),
		Model: ident.Model(r.text()), Step: ident.Step(r.int()), MinVersion: ident.Version(r.int()),
		WantedGroups: int(r.int()), SingleVersion: r.flag(),
	}
	n := r.length()
	for range n {
		a.Items = append(a.Items, ItemSpec{
			ID: ident.Item(r.text()), Group: ident.Group(r.text()), Expect: ident.Tokens(r.int()), Body: r.span(),
		})
	}
	a.Organisation = ident.Organisation(r.optionalText())
	return a
}

func (r *reader) claim() Record {
	c := Claim{Job: ident.Job(r.text()), By: ident.InstanceName(r.text()), Engine: ident.BackendName(r.text())}
	n := r.length()
	for range n {
		c.Targets = append(c.Targets, Target{Index: int(r.int()), Replaces: ident.Offset(r.int())})
	}
	c.Dealer = ident.InstanceName(r.optionalText())
	return c
}
