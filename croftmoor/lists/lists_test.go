package lists

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/rpcs/h2test"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/elect"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

const (
	plainService  = "plain"
	engineService = "model"
)

func plainServer(id string, zone ident.Zone) fleet.Member {
	return fleet.Member{Name: id, Kind: fleet.Backend, Service: plainService, Zone: zone, Address: "10.0.0.1:80", State: fleet.Live, Slots: 6}
}

func engineWith(id string, zone ident.Zone, version ident.Version) fleet.Member {
	m := plainServer(id, zone)
	m.Service, m.Versions = engineService, map[ident.Model]ident.Version{"m": version}
	return m
}

func emptyCatalog() *Catalog {
	c := &Catalog{Clock: clock.New(), IsEngines: func(name ident.Service) bool { return name == engineService }}
	c.Setup()
	return c
}

// catalogOf returns a loaded catalog.
func catalogOf(members ...fleet.Member) *Catalog {
	c := emptyCatalog()
	for _, m := range members {
		c.Put(m)
	}
	c.MarkCurrent(c.Clock.Mono())
	c.Commit(1)
	return c
}

// follower serves a catalog to clients.
func follower(t *testing.T, c *Catalog) elect.Member {
	t.Helper()
	mux := http.NewServeMux()
	Handle(mux, c)
	return elect.Member{Name: "front-1~1", Zone: "z", Address: h2test.Serve(t, mux), Follows: true}
}

// followed is what a running client was told last.
type followed struct {
	mu      sync.Mutex
	members map[string]fleet.Member
	changes int
}

func (f *followed) set(members []fleet.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = map[string]fleet.Member{}
	f.changes++
	for _, m := range members {
		f.members[m.Name] = m
	}
}

func (f *followed) names() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	for _, name := range []string{"a", "b", "c", "e"} {
		if m, ok := f.members[name]; ok && m.State == fleet.Leaving {
			all = append(all, name+"!")
		} else if ok {
			all = append(all, name)
		}
	}
	return strings.Join(all, " ")
}

// run starts a client of the followers.
func run(t *testing.T, engines []ident.Service, followers ...elect.Member) *followed {
	t.Helper()
	f := &followed{}
	client := &Client{
		Instance: "front-9", Zone: "z", Clock: clock.New(), Log: zerolog.Nop(), OnChange: f.set,
		Holders: func(string) []elect.Member { return followers }, Follows: func() bool { return false },
		Engines: func() []ident.Service { return engines },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { client.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return f
}

func wantNames(t *testing.T, f *followed, want string) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		if f.names() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("the client has %q, want %q", f.names(), want)
}

// An instance that does not read the list itself has its servers, and their changes, from a
// follower.
func TestClient(t *testing.T) {
	t.Run("servers come, leave and go", func(t *testing.T) {
		c := catalogOf(plainServer("a", "z"), plainServer("b", "z"))
		f := run(t, nil, follower(t, c))
		wantNames(t, f, "a b")
		leaving := plainServer("a", "z")
		leaving.State = fleet.Leaving
		c.Put(leaving)
		c.Put(plainServer("c", "y"))
		c.Commit(2)
		wantNames(t, f, "a! b c")
		c.Remove("a")
		c.Commit(3)
		wantNames(t, f, "b c")
	})
}

// What an instance is told must be what it sends requests to, and as it may use it.
func TestWhatIsTold(t *testing.T) {
	t.Run("an evacuated zone gets nothing until that is taken back", func(t *testing.T) {
		c := catalogOf(plainServer("a", "z"), plainServer("b", "y"), engineWith("e", "z", 1))
		f := run(t, []ident.Service{engineService}, follower(t, c))
		wantNames(t, f, "a b e")
		c.Evacuate(map[ident.Zone]bool{"z": true})
		c.Commit(1)
		wantNames(t, f, "a! b e!")
		c.Evacuate(nil)
		c.Commit(1)
		wantNames(t, f, "a b e")
	})
	t.Run("engines only where requests go to them", func(t *testing.T) {
		c := catalogOf(plainServer("a", "z"), engineWith("e", "z", 3))
		wantNames(t, run(t, nil, follower(t, c)), "a")
		wantNames(t, run(t, []ident.Service{engineService}, follower(t, c)), "a e")
	})
	t.Run("versions of engines that it uses come with the next answer", func(t *testing.T) {
		c := catalogOf(engineWith("e", "z", 3))
		f := run(t, []ident.Service{engineService}, follower(t, c))
		wantNames(t, f, "e")
		c.Put(engineWith("e", "z", 4))
		c.Commit(2)
		time.Sleep((pollWait + clock.Second/2).Duration())
		f.mu.Lock()
		defer f.mu.Unlock()
		if got := f.members["e"].Versions["m"]; got != 4 {
			t.Errorf("the client has version %d, want 4", got)
		}
	})
	t.Run("versions of engines that it does not use are not told", func(t *testing.T) {
		c := catalogOf(plainServer("a", "z"), engineWith("e", "z", 3))
		f := run(t, nil, follower(t, c))
		wantNames(t, f, "a")
		for version := range ident.Version(20) {
			c.Put(engineWith("e", "z", version))
			c.Commit(ident.Offset(version) + 2)
		}
		time.Sleep(300 * time.Millisecond)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.changes != 1 {
			t.Errorf("told of %d changes, want 1", f.changes)
		}
	})
	t.Run("a plain server that tells versions is no engine", func(t *testing.T) {
		odd := plainServer("b", "z")
		odd.Versions = map[ident.Model]ident.Version{"m": 1}
		wantNames(t, run(t, nil, follower(t, catalogOf(plainServer("a", "z"), odd))), "a b")
	})
}

// A holder that knows less, is gone, or has no list must cost an instance neither its servers
// nor much time.
func TestHolders(t *testing.T) {
	t.Run("a follower that has read less brings nothing back", func(t *testing.T) {
		behind, ahead := catalogOf(plainServer("a", "z"), plainServer("b", "z")), catalogOf(plainServer("b", "z"))
		ahead.Commit(9)
		first := follower(t, ahead)
		f := run(t, nil, first, follower(t, behind))
		wantNames(t, f, "b")
		ahead.MarkCurrent(ahead.Clock.Mono() - 2*maxAge)
		ahead.Commit(9)
		time.Sleep(500 * time.Millisecond)
		wantNames(t, f, "b")
	})
	t.Run("the next follower is asked where the first can't answer", func(t *testing.T) {
		empty := emptyCatalog()
		dead := elect.Member{Name: "front-2~1", Address: "127.0.0.1:1"}
		f := run(t, nil, dead, follower(t, empty), follower(t, catalogOf(plainServer("a", "z"))))
		wantNames(t, f, "a")
	})
	t.Run("a holder that gives the list up is no longer asked", func(t *testing.T) {
		first, second := catalogOf(plainServer("a", "z")), catalogOf(plainServer("a", "z"))
		f := run(t, nil, follower(t, first), follower(t, second))
		wantNames(t, f, "a")
		first.Reset()
		second.Put(plainServer("b", "z"))
		second.Commit(2)
		wantNames(t, f, "a b")
	})
	t.Run("a holder that is reading the list is waited for", func(t *testing.T) {
		c := emptyCatalog()
		c.ExpectList()
		began := c.Clock.Mono()
		f := run(t, nil, follower(t, c))
		const load = 600 * clock.Millis(1)
		c.Clock.Sleep(t.Context(), load)
		c.Put(plainServer("a", "z"))
		c.Commit(1)
		wantNames(t, f, "a")
		if took := c.Clock.Mono() - began; took > load+200 {
			t.Errorf("the client has the list after %d ms, it was read after %d", took, load)
		}
	})
	t.Run("a list without servers is a list", func(t *testing.T) {
		f := run(t, nil, follower(t, catalogOf()))
		deadline := time.Now().Add(5 * time.Second)
		for told := 0; told == 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			f.mu.Lock()
			told = f.changes
			f.mu.Unlock()
		}
		if f.changes == 0 {
			t.Error("the client was told nothing")
		}
	})
}

// fleetOf returns a catalog of engines and plain servers in six availability zones.
func fleetOf(servers int) *Catalog {
	var members []fleet.Member
	for n := range servers {
		zone := ident.Zone(fmt.Sprintf("zone-%d", n%6))
		if n%5 < 3 {
			members = append(members, engineWith(fmt.Sprintf("e-%d", n), zone, 1))
		} else {
			members = append(members, plainServer(fmt.Sprintf("p-%d", n), zone))
		}
	}
	return catalogOf(members...)
}

// What an instance holds must not grow with the fleet, nor what it is sent when servers
// change that it does not use.
func TestBoundedByTheSubset(t *testing.T) {
	for _, servers := range []int{1000, 10_000, 20_000} {
		t.Run(fmt.Sprintf("%d servers", servers), func(t *testing.T) {
			c := fleetOf(servers)
			if got, most := len(c.Used("front-1", "zone-1")), 6*maxEnginesPerZone+maxServers; got > most {
				t.Errorf("a follower uses %d servers, want %d at most", got, most)
			}
			r := reader{instance: "front-2", zone: "zone-2"}
			before, err := c.await(t.Context(), r, 0, 0)
			if err != nil || len(before.members) > maxServers {
				t.Errorf("another instance uses %d servers, want %d at most; error %v", len(before.members), maxServers, err)
			}
			answers := 0
			for n := range 50 {
				c.Remove(fmt.Sprintf("p-%d", 5*n+3))
				c.Commit(ident.Offset(n))
				after, err := c.await(t.Context(), r, before.digest, 0)
				if err != nil {
					t.Fatal(err)
				}
				if after.digest != before.digest {
					answers++
				}
				before = after
			}
			const most = 25
			if answers > most {
				t.Errorf("%d of 50 servers that went were told to an instance, want %d at most", answers, most)
			}
		})
	}
}

// BenchmarkChange works out what one instance is told after a plain server has changed.
func BenchmarkChange(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000, 20_000} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			c := fleetOf(servers)
			r := reader{instance: "front-2", zone: "zone-2"}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.await(b.Context(), r, 0, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
