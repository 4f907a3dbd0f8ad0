// Package relay implements a TCP relay that injects network faults: closed
// connections, stalls in one or both directions, delays, and lost answers.
package relay

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
)

// Rules are the faults that the relay injects. The zero value forwards
// everything unchanged.
type Rules struct {
	// Cut closes open connections, and new ones as soon as they are accepted.
	Cut bool
	// FreezeTo holds back bytes sent to the target, FreezeFrom bytes sent by it.
	FreezeTo   bool
	FreezeFrom bool
	// DelayMillis delays each chunk, in each direction.
	DelayMillis int64
	// DropAnswers is the number of connections still to be closed when the
	// target sends data.
	DropAnswers int
}

// Relay forwards connections to Target. Set the exported fields before Run.
type Relay struct {
	Listen  string
	Control string
	Target  string
	Clock   *clock.Clock

	mu        sync.Mutex
	rules     Rules
	openConns map[net.Conn]bool
	stop      context.CancelFunc
	group     conc.WaitGroup

	address string
}

const (
	chunkBytes   = 32 << 10
	pollInterval = 5 * clock.Millis(1)
)

// Run relays connections and serves the control port until SIGINT or SIGTERM.
func (r *Relay) Run() error {
	address, err := r.Open()
	if err != nil {
		return err
	}
	defer r.Close()
	if err := stand.Announce(address); err != nil {
		return err
	}
	app := stand.NewApp()
	app.Post("/control/rules", r.postRules)
	return stand.Serve(app, r.Control)
}

// Open starts relaying and returns the address that it listens on.
func (r *Relay) Open() (address string, err error) {
	r.openConns = map[net.Conn]bool{}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", r.Listen)
	if err != nil {
		return "", fault.Wrap("relay.Open", stand.Unlistenable, err, "cannot listen on "+r.Listen)
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.group.Go(func() { r.accept(ctx, listener) })
	r.address = listener.Addr().String()
	return r.address, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string {
	return r.address
}

// Rules returns the rules in force.
func (r *Relay) Rules() Rules {
	return r.currentRules()
}

// Close stops listening, closes all connections and waits for their goroutines.
func (r *Relay) Close() {
	r.stop()
	r.group.Wait()
}

func (r *Relay) postRules(c fiber.Ctx) error {
	var rules Rules
	if err := json.Unmarshal(c.Body(), &rules); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	r.Set(rules)
	return c.SendStatus(fiber.StatusOK)
}

// Set replaces the rules. Open connections are closed if rules.Cut is set.
func (r *Relay) Set(rules Rules) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = rules
	if !rules.Cut {
		return
	}
	for conn := range r.openConns {
		_ = conn.Close()
	}
}

func (r *Relay) currentRules() Rules {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules
}

func (r *Relay) accept(ctx context.Context, listener net.Listener) {
	var group conc.WaitGroup
	defer group.Wait()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		group.Go(func() { r.relayConn(ctx, conn) })
	}
}

func (r *Relay) relayConn(ctx context.Context, in net.Conn) {
	defer func() { _ = in.Close() }()
	if r.currentRules().Cut {
		return
	}
	dialer := net.Dialer{}
	out, err := dialer.DialContext(ctx, "tcp", r.Target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = in.Close(); _ = out.Close() })
	defer stop()
	r.trackConn(in, true)
	defer r.trackConn(in, false)
	var group conc.WaitGroup
	group.Go(func() { r.forward(ctx, out, in, true) })
	group.Go(func() { r.forward(ctx, in, out, false) })
	group.Wait()
}

// trackConn adds conn to the open connections, or removes it.
func (r *Relay) trackConn(conn net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.openConns[conn] = true
	} else {
		delete(r.openConns, conn)
	}
}

// forward copies data in one direction and closes both connections when it returns.
func (r *Relay) forward(ctx context.Context, to, from net.Conn, toTarget bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.applyRules(ctx, toTarget) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyRules waits as the rules require before one chunk is forwarded. It
// reports whether to forward the chunk; if not, the connection is closed.
func (r *Relay) applyRules(ctx context.Context, toTarget bool) bool {
	for {
		rules := r.currentRules()
		if rules.Cut {
			return false
		}
		frozen := (toTarget && rules.FreezeTo) || (!toTarget && rules.FreezeFrom)
		if !frozen {
			break
		}
		if !r.Clock.Sleep(ctx, pollInterval) {
			return false
		}
	}
	if delay := r.currentRules().DelayMillis; delay > 0 {
		r.Clock.Sleep(ctx, clock.Millis(delay))
	}
	return toTarget || !r.takeAnswerDrop()
}

// takeAnswerDrop reports whether to drop the answer, and counts it against
// DropAnswers.
func (r *Relay) takeAnswerDrop() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rules.DropAnswers == 0 {
		return false
	}
	r.rules.DropAnswers--
	return true
}
