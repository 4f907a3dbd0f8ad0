package batch

import (
	"testing"

	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

// An instance that acts only for servers other than engines must get no items.
func TestShareIsAmongThoseWithEngines(t *testing.T) {
	shared := 0
	waiting := 0
	for n := range 4 {
		r := newTestRunner(4, 1, 1)
		r.Self = ident.InstanceName([]string{"front-0", "front-1", "front-2", "front-3"}[n])
		list := r.Fleet.View().Backends["models"]
		for _, zone := range []ident.Zone{"z-1", "z-2", "z-3"} {
			list = append(list, fleet.Member{Name: "plain-" + string(zone), Kind: fleet.Backend, Service: "plain", Zone: zone})
		}
		r.Fleet.Set(list)
		ledger, _ := r.Ledger.(*stateLedger)
		s := r.takeSnapshot(ledger.state, r.Routes(), ledger.QuietSince())
		s.addItems()
		waiting = len(s.items)
		items := r.ownItems(s)
		shared += len(items)
		if len(items) > 0 && len(r.ownEngines(s)) == 0 {
			t.Errorf("%s has %d items and no engine", r.Self, len(items))
		}
	}
	if shared != waiting {
		t.Errorf("%d of %d waiting items have an instance that runs them", shared, waiting)
	}
}
