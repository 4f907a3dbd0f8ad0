// Package relay is a TCP relay that cuts, freezes, delays and drops traffic,
// one direction at a time.
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

// Rules is what the relay does to traffic.
type Rules struct {
	// Cut closes connections and accepts none that lead anywhere.
	Cut bool
	// FreezeTo holds bytes towards the target; FreezeFrom those coming back.
	FreezeTo   bool
	FreezeFrom bool
	// DelayMillis delays each chunk, in each direction.
	DelayMillis int64
	// DropAnswers closes so many connections at the first answer byte.
	DropAnswers int
}

// Relay carries connections to Target. Set the exported fields before Run.
type Relay struct {
	Listen  string
	Control string
	Target  string
	Clock   *clock.Clock

	mu    sync.Mutex
	rules Rules
	links map[net.Conn]bool
	stop  context.CancelFunc
	group conc.WaitGroup

	address string
}

const (
	chunk      = 32 << 10
	checkPause = 5 * clock.Millis(1)
)

// Run serves the control port until a signal and relays meanwhile.
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

// Open starts to relay and returns the address. Close ends it.
func (r *Relay) Open() (address string, err error) {
	r.links = map[net.Conn]bool{}
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

// Address returns where the relay listens.
func (r *Relay) Address() string {
	return r.address
}

// Rules returns the rules in force.
func (r *Relay) Rules() Rules {
	return r.now()
}

// Close ends all connections and stops relaying.
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

// Set puts rules in force; a cut closes the connections that are open.
func (r *Relay) Set(rules Rules) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = rules
	if !rules.Cut {
		return
	}
	for conn := range r.links {
		_ = conn.Close()
	}
}

func (r *Relay) now() Rules {
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
		group.Go(func() { r.carry(ctx, conn) })
	}
}

func (r *Relay) carry(ctx context.Context, in net.Conn) {
	defer func() { _ = in.Close() }()
	if r.now().Cut {
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
	r.keep(in, true)
	defer r.keep(in, false)
	var group conc.WaitGroup
	group.Go(func() { r.copy(ctx, out, in, true) })
	group.Go(func() { r.copy(ctx, in, out, false) })
	group.Wait()
}

func (r *Relay) keep(conn net.Conn, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.links[conn] = true
	} else {
		delete(r.links, conn)
	}
}

// copy carries one direction and closes both ends when it ends.
func (r *Relay) copy(ctx context.Context, to, from net.Conn, towards bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.pass(ctx, towards) {
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

// pass applies the rules to one chunk and reports whether it may go on.
func (r *Relay) pass(ctx context.Context, towards bool) bool {
	for {
		rules := r.now()
		if rules.Cut {
			return false
		}
		frozen := (towards && rules.FreezeTo) || (!towards && rules.FreezeFrom)
		if !frozen {
			break
		}
		if !r.Clock.Sleep(ctx, checkPause) {
			return false
		}
	}
	if delay := r.now().DelayMillis; delay > 0 {
		r.Clock.Sleep(ctx, clock.Millis(delay))
	}
	return towards || !r.dropAnswer()
}

func (r *Relay) dropAnswer() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rules.DropAnswers == 0 {
		return false
	}
	r.rules.DropAnswers--
	return true
}
