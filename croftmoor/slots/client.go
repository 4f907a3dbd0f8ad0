package slots

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/admit"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/elect"
	"croftmoor.dev/kernel/ident"
)

// Client asks for slots. Set the exported fields and call Setup before use.
type Client struct {
	Servers Servers
	// Host is this instance's own.
	Host *Host
	// Self is this instance, HostOf the one that hands out slots in a zone; it returns false if
	// none is known.
	Self   ident.InstanceName
	HostOf func(key string, zone ident.Zone) (elect.Member, bool)
	Clock  *clock.Clock
	Log    zerolog.Logger

	client *http.Client
	wake   chan struct{}

	mu sync.Mutex
	// lost are the instances that gave no answer, since when.
	lost map[ident.Address]clock.Millis
	// heard is when an instance last answered.
	heard  map[ident.Address]clock.Millis
	grants map[admit.GrantID]grant
	lastID admit.GrantID
	// ends are the ended requests that are not told yet.
	ends map[ident.Address][]endWire
}

// grant is a slot that this instance uses. Its id at the host differs from the one here, since
// hosts number theirs each by itself.
type grant struct {
	host    ident.Address
	service ident.Service
	id      admit.GrantID
}

// own stands for the address of this instance.
const own ident.Address = ""

// Setup initialises the client.
func (c *Client) Setup() {
	c.client = rpcs.NewClient()
	c.wake = make(chan struct{}, 1)
	c.lost = map[ident.Address]clock.Millis{}
	c.heard = map[ident.Address]clock.Millis{}
	c.grants = map[admit.GrantID]grant{}
	c.ends = map[ident.Address][]endWire{}
}

// Ask waits until a request may start at a server, or is refused. It returns false if nobody
// hands out the service's slots, or whoever does gives no answer. End must be called once with
// the Grant of a decision to start.
func (c *Client) Ask(ctx context.Context, service ident.Service, request admit.Request) (admit.Decision, bool) {
	host, ok := c.pickHost(service)
	if !ok {
		return admit.Decision{}, false
	}
	decision, ok := c.askHost(ctx, host, service, request)
	if !ok {
		return admit.Decision{}, false
	}
	decision.Reason += ", by " + cmp.Or(string(host), "this instance")
	if decision.Verdict == admit.Start {
		decision.Grant = c.keep(grant{host: host, service: service, id: decision.Grant})
	}
	return decision, true
}

// pickHost returns the address of the instance to ask: that of one of the zones that have
// servers, at random by their slots.
func (c *Client) pickHost(service ident.Service) (ident.Address, bool) {
	now := c.Clock.Mono()
	type zoneSlots struct{ servers, slots int }
	zones := map[ident.Zone]zoneSlots{}
	for _, server := range c.Servers(service) {
		if server.Usable(now) {
			z := zones[server.Zone]
			zones[server.Zone] = zoneSlots{servers: z.servers + 1, slots: z.slots + max(server.Slots(), 1)}
		}
	}
	var hosts []ident.Address
	var weights []int
	total := 0
	for zone, z := range zones {
		if z.servers > maxServers {
			return "", false
		}
		if host, ok := c.hostOf(service, zone, now); ok {
			hosts, weights = append(hosts, host), append(weights, z.slots)
			total += z.slots
		}
	}
	if total == 0 {
		return "", false
	}
	at := rand.IntN(total)
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return hosts[i], true
		}
	}
	return "", false
}

// hostOf returns the address of the instance that hands out a service's slots in a zone, unless
// it gave no answer.
func (c *Client) hostOf(service ident.Service, zone ident.Zone, now clock.Millis) (ident.Address, bool) {
	host, ok := c.HostOf("slots "+string(service), zone)
	if ok && host.Name == c.Self {
		return own, true
	}
	if !ok || host.Address == "" {
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	since, lost := c.lost[host.Address]
	return host.Address, !lost || now-since > forgetAfter
}

func (c *Client) askHost(ctx context.Context, host ident.Address, service ident.Service, request admit.Request) (admit.Decision, bool) {
	if host == own {
		decision, err := c.Host.Enter(ctx, service, request)
		return decision, err == nil || decision.Verdict == admit.Refuse
	}
	callerCtx := ctx
	now := c.Clock.Mono()
	ctx, cancel := context.WithTimeout(callerCtx, (request.StartBy - now + answerMargin).Duration())
	defer cancel()
	defer c.watch(ctx, host, cancel)()
	answer, err := rpcs.Call[askWire, decisionWire](ctx, c.client, host, askPath, encodeAsk(service, request, now))
	if err != nil {
		if callerCtx.Err() == nil {
			c.setLost(host, err)
		}
		return admit.Decision{}, false
	}
	c.answered(host)
	return answer.decision(), true
}

// watch calls giveUp if the instance that is asked has ended or is frozen: it has sent no answer
// for silenceLimit, and does not answer a probe either. stop ends that.
func (c *Client) watch(ctx context.Context, host ident.Address, giveUp func()) (stop func() bool) {
	return c.Clock.AfterFunc(silenceLimit, func() {
		for ctx.Err() == nil {
			if !c.heardLately(host) && !c.tell(ctx, host, nil) {
				giveUp()
			}
			c.Clock.Sleep(ctx, silenceLimit)
		}
	}).Stop
}

func (c *Client) heardLately(host ident.Address) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Mono()-c.heard[host] < silenceLimit
}

func (c *Client) answered(host ident.Address) {
	c.mu.Lock()
	_, lost := c.lost[host]
	delete(c.lost, host)
	c.heard[host] = c.Clock.Mono()
	c.mu.Unlock()
	if lost {
		c.Log.Info().Str("Dependency", "slots").Str("Peer", string(host)).Msg("regained")
	}
}

// setLost notes that an instance gave no answer.
func (c *Client) setLost(host ident.Address, err error) {
	c.mu.Lock()
	_, known := c.lost[host]
	if !known {
		c.lost[host] = c.Clock.Mono()
	}
	delete(c.ends, host)
	c.mu.Unlock()
	if !known {
		c.Log.Warn().Err(err).Str("Dependency", "slots").Str("Peer", string(host)).Msg("lost")
	}
}

// keep notes a grant and returns its id here.
func (c *Client) keep(g grant) admit.GrantID {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	c.grants[c.lastID] = g
	return c.lastID
}

// End ends the grant of a signal with what the signal tells of the server. It does nothing if
// the grant has ended.
func (c *Client) End(s admit.Signal) {
	c.mu.Lock()
	g, ok := c.grants[s.Grant]
	delete(c.grants, s.Grant)
	s.Grant = g.id
	if ok && g.host != own && len(c.ends[g.host]) < maxEnds {
		c.ends[g.host] = append(c.ends[g.host], encodeEnd(g.service, s))
	}
	c.mu.Unlock()
	switch {
	case !ok:
	case g.host == own:
		c.Host.End(g.service, s)
	default:
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// Run tells of ended requests, and probes lost instances, until ctx ends. What ends while a
// call is under way shares the next one.
func (c *Client) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { c.Clock.Every(ctx, probePeriod, func() { c.probeLost(ctx) }) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		tellAll(c.takeEnds(), func(host ident.Address, ends []endWire) { c.tell(ctx, host, ends) })
	}
}

// tellAll calls tell for each entry at the same time.
func tellAll(all map[ident.Address][]endWire, tell func(ident.Address, []endWire)) {
	var group conc.WaitGroup
	defer group.Wait()
	for host, ends := range all {
		group.Go(func() { tell(host, ends) })
	}
}

// probeLost probes the lost instances, and forgets those that were lost long ago.
func (c *Client) probeLost(ctx context.Context) {
	now := c.Clock.Mono()
	c.mu.Lock()
	maps.DeleteFunc(c.lost, func(_ ident.Address, since clock.Millis) bool { return now-since > forgetAfter })
	probes := map[ident.Address][]endWire{}
	for host := range c.lost {
		probes[host] = nil
	}
	c.mu.Unlock()
	tellAll(probes, func(host ident.Address, none []endWire) { c.tell(ctx, host, none) })
}

func (c *Client) takeEnds() map[ident.Address][]endWire {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := c.ends
	c.ends = map[ident.Address][]endWire{}
	return ends
}

// tell tells an instance of ended requests, and reports whether it answered.
func (c *Client) tell(ctx context.Context, host ident.Address, ends []endWire) bool {
	callCtx, cancel := context.WithTimeout(ctx, silenceLimit.Duration())
	defer cancel()
	_, err := rpcs.Call[endsWire, emptyWire](callCtx, c.client, host, endPath, &endsWire{Ends: ends})
	switch {
	case err == nil:
		c.answered(host)
	case ctx.Err() == nil:
		c.setLost(host, err)
	}
	return err == nil
}
