package lists

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/rs/zerolog"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/avoid"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/elect"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

const (
	// pollWait is how long a holder keeps a call without news waiting, and pollTimeout
	// bounds the whole call.
	pollWait    = 1 * clock.Second
	pollTimeout = 1800 * clock.Millis(1)
	// minChangePause is the pause after an answer with changes, so that changes that come one
	// by one share an answer. It doubles up to maxChangePause while each answer has some, as
	// when all servers start. A server that leaves must be known within 2 s.
	minChangePause = 200 * clock.Millis(1)
	maxChangePause = 800 * clock.Millis(1)
	// minRetryDelay is the pause after a call that failed; it doubles up to maxRetryDelay.
	minRetryDelay = 50 * clock.Millis(1)
	maxRetryDelay = 500 * clock.Millis(1)
	// avoidTime is how long a holder that failed, or whose list is old, is asked only if
	// all others are avoided too.
	avoidTime = 2 * clock.Second
	// maxAge is the age of a holder's list beyond which other holders are asked.
	maxAge = 3 * clock.Second
	// lostAfter is the number of failures in a row after which the list counts as lost.
	lostAfter = 8
	// maxDoublings is more than it takes to reach any of the longest pauses.
	maxDoublings = 8
)

// Client follows the servers that this instance uses, as holders tell them. Set the exported
// fields before Run.
type Client struct {
	Instance string
	Zone     ident.Zone
	// Holders returns the instances to ask, in the order of preference.
	Holders func(key string) []elect.Member
	// Follows reports whether this instance follows the ledger; it gets the engines that all
	// followers use then.
	Follows func() bool
	// Engines returns the services of engines that this instance sends requests to.
	Engines func() []ident.Service
	// OnChange is called with the servers whenever they have changed, from one goroutine.
	OnChange func([]fleet.Member)
	Clock    *clock.Clock
	Log      zerolog.Logger

	client *http.Client
	// next is the highest offset up to which a holder had read the list.
	next    ident.Offset
	digest  uint64
	avoided avoid.Set[ident.Address]
	// failures counts the calls in a row that failed, changes the answers in a row that had
	// changes.
	failures int
	changes  int
	// lost is set while no holder answers.
	lost bool
}

// Run follows the list until ctx ends. It may be called again then.
func (c *Client) Run(ctx context.Context) {
	if c.client == nil {
		c.client = rpcs.NewClient()
	}
	c.digest = 0
	for ctx.Err() == nil {
		c.Clock.Sleep(ctx, c.poll(ctx))
	}
}

// poll asks one holder and returns the pause until the next call.
func (c *Client) poll(ctx context.Context) clock.Millis {
	holder, ok := c.holder()
	if !ok {
		return c.failed("", nil)
	}
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	request := &listWire{Instance: c.Instance, Zone: string(c.Zone), Digest: c.digest, WaitMillis: int64(pollWait), Follower: c.Follows()}
	for _, name := range c.Engines() {
		request.Engines = append(request.Engines, string(name))
	}
	answer, err := rpcs.Call[listWire, listedWire](callCtx, c.client, holder.Address, listPath, request)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		return c.failed(holder.Address, err)
	}
	if ident.Offset(answer.Next) < c.next {
		// A holder that has read less would bring back servers that have left.
		return c.failed(holder.Address, fault.New("lists.poll", Behind, string(holder.Name)+" has read less than another holder"))
	}
	if clock.Millis(answer.AgeMillis) > maxAge {
		c.avoid(holder.Address)
	}
	c.answered(holder)
	c.next = ident.Offset(answer.Next)
	if !answer.Changed {
		c.changes = 0
		return 0
	}
	c.digest = answer.Digest
	members := make([]fleet.Member, 0, len(answer.Members))
	for _, w := range answer.Members {
		members = append(members, memberFromWire(w))
	}
	c.OnChange(members)
	c.changes++
	return doubled(minChangePause, c.changes-1, maxChangePause)
}

// holder returns the holder to ask: the first that is not avoided, else any.
func (c *Client) holder() (elect.Member, bool) {
	all := c.Holders(c.Instance)
	now := c.Clock.Mono()
	for _, m := range all {
		if !c.avoided.Has(m.Address, now) {
			return m, true
		}
	}
	if len(all) == 0 {
		return elect.Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

// avoid marks a holder as one to ask last for a while.
func (c *Client) avoid(at ident.Address) {
	now := c.Clock.Mono()
	c.avoided.Add(at, now, now+avoidTime)
}

// failed records a call without an answer and returns the pause until the next.
func (c *Client) failed(at ident.Address, err error) clock.Millis {
	if at != "" {
		c.avoid(at)
	}
	c.failures++
	if c.failures == lostAfter && c.digest != 0 {
		c.lost = true
		c.Log.Warn().Err(err).Str("Dependency", "servers").Str("Holder", string(at)).Msg("lost")
	}
	delay := doubled(minRetryDelay, c.failures, maxRetryDelay)
	return delay/2 + clock.Millis(rand.Int64N(int64(delay)))
}

// answered records that a holder answered.
func (c *Client) answered(from elect.Member) {
	c.failures = 0
	if c.lost {
		c.lost = false
		c.Log.Info().Str("Dependency", "servers").Str("Holder", string(from.Name)).Msg("regained")
	}
}

// doubled returns a pause that was doubled some times, most at most.
func doubled(first clock.Millis, times int, most clock.Millis) clock.Millis {
	return min(first<<min(times, maxDoublings), most)
}
