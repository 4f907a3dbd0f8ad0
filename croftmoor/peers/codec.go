package peers

import (
	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/once"
)

const (
	kindHeader   = "Croft-Kind"
	remedyHeader = "Croft-Do"
	retryHeader  = "Croft-Retry-Millis"
)

// toConnect converts an error to its form on the wire. Its kind survives the call only if
// fromConnect lists it.
func toConnect(err error) error {
	if err == nil {
		return nil
	}
	var refusal *refuse.Error
	if eris.As(err, &refusal) {
		e := connect.NewError(connect.CodeFailedPrecondition, eris.New(refusal.What))
		e.Meta().Set(kindHeader, string(refusal.Kind))
		e.Meta().Set(remedyHeader, refusal.Do)
		return e
	}
	kind := fault.KindOf[once.Kind](err)
	code := connect.CodeUnknown
	switch kind {
	case once.NotPrimary:
		code = connect.CodeFailedPrecondition
	case once.NotReady:
		code = connect.CodeUnavailable
	case once.OldEpoch:
		code = connect.CodeAborted
	}
	e := connect.NewError(code, err)
	e.Meta().Set(kindHeader, string(kind))
	return e
}

// fromConnect converts an error of a call back. Errors of kinds that it does not list
// become Unreachable.
func fromConnect(op string, err error) error {
	var e *connect.Error
	if !eris.As(err, &e) {
		return fault.Wrap(op, Unreachable, err, "the peer gave no answer")
	}
	switch kind := e.Meta().Get(kindHeader); kind {
	case string(once.NotPrimary), string(once.NotReady), string(once.OldEpoch):
		return fault.New(op, once.Kind(kind), e.Message())
	case string(refuse.StepUnknown), string(refuse.Invalid), string(refuse.NotRun):
		return &refuse.Error{Op: op, Kind: refuse.Kind(kind), What: e.Message(), Do: e.Meta().Get(remedyHeader), RetryAfter: retryDelay}
	default:
		return fault.Wrap(op, Unreachable, err, "the peer gave no answer")
	}
}

// retryDelay is the RetryAfter of refusals from peers: the wire form has none.
const retryDelay = 200 * clock.Millis(1)
