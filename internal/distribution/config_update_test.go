package distribution

import (
	"fmt"
	"math/rand"
	"reflect"
	"sort"
	"testing"

	"comethold/internal/routing"
	"comethold/internal/rpc"
)

// randomConfiguration draws routes, services and tenants from small sets, so that two
// configurations share some items, differ in others, and each lacks some of the other's.
func randomConfiguration(rng *rand.Rand, version uint64) *routing.Configuration {
	c := &routing.Configuration{Version: version, Limits: routing.Limits{MaxBodyBytes: int64(rng.Intn(3))}}
	for i := range 8 {
		if rng.Intn(4) > 0 {
			c.Routes = append(c.Routes, randomRoute(rng, i))
		}
		if rng.Intn(2) == 0 {
			c.Tenants = append(c.Tenants, routing.Tenant{
				Name:          fmt.Sprint("t", i),
				APIKeys:       []string{fmt.Sprint("k", rng.Intn(2))},
				RatePerSecond: float64(rng.Intn(2)),
			})
		}
		if rng.Intn(2) == 0 {
			c.Services = append(c.Services, routing.Service{Name: fmt.Sprint("s", i), ConnectionLimit: rng.Intn(2)})
		}
	}
	return c
}

func randomRoute(rng *rand.Rand, i int) routing.Route {
	r := routing.Route{
		Name:       fmt.Sprint("r", rng.Intn(99)),
		Hostname:   "H.example",
		PathPrefix: fmt.Sprintf("/%d/", i),
		RouteKind:  "safe",
		TimeoutMs:  int64(1 + rng.Intn(2)),
	}
	if rng.Intn(2) == 0 {
		r.FanoutServices = []string{"a", "b"}
	} else {
		r.WeightedServices = []routing.WeightedService{{Service: "a", Weight: int64(rng.Intn(2))}}
	}
	return r
}

// sortConfiguration sorts the items so that configurations can be compared: applying changes
// doesn't keep the order of the full configuration.
func sortConfiguration(c *routing.Configuration) {
	sort.Slice(c.Routes, func(i, j int) bool { return c.Routes[i].PathPrefix < c.Routes[j].PathPrefix })
	sort.Slice(c.Tenants, func(i, j int) bool { return c.Tenants[i].Name < c.Tenants[j].Name })
	sort.Slice(c.Services, func(i, j int) bool { return c.Services[i].Name < c.Services[j].Name })
}

// requireEqualConfigurations fails unless got, the result of ApplyTo, and want have the same items.
func requireEqualConfigurations(t *testing.T, got, want *routing.Configuration) {
	t.Helper()
	if len(got.Routes) != len(want.Routes) ||
		len(got.Services) != len(want.Services) ||
		len(got.Tenants) != len(want.Tenants) {
		t.Fatalf("ApplyTo returned %+v, want %+v", got, want)
	}
	sortConfiguration(got)
	sortConfiguration(want)
	for i := range want.Routes {
		if !reflect.DeepEqual(got.Routes[i], want.Routes[i]) {
			t.Fatalf("ApplyTo returned the route %+v, want %+v", got.Routes[i], want.Routes[i])
		}
	}
	if !reflect.DeepEqual(got.Tenants, want.Tenants) && len(want.Tenants) > 0 {
		t.Fatalf("ApplyTo returned the tenants %+v, want %+v", got.Tenants, want.Tenants)
	}
	if !reflect.DeepEqual(got.Services, want.Services) && len(want.Services) > 0 ||
		got.Limits != want.Limits || got.Version != want.Version {
		t.Fatalf("ApplyTo returned %+v, want %+v", got, want)
	}
}

// TestConfigUpdateApplyTo: a full update or a delta changes the base configuration into the new
// one. A delta is rejected by a receiver that holds another version, and a full update by a
// receiver that holds a newer one.
func TestConfigUpdateApplyTo(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 300 {
		old, next := randomConfiguration(rng, 3), randomConfiguration(rng, 7)
		for _, sent := range []*ConfigUpdate{ConfigDelta(old, next), FullConfig(next)} {
			raw, err := rpc.Marshal(sent)
			if err != nil {
				t.Fatal(err)
			}
			var received ConfigUpdate
			if err := rpc.Unmarshal(raw, &received); err != nil {
				t.Fatal(err)
			}
			got, ok := received.ApplyTo(old)
			if !ok {
				t.Fatalf("ApplyTo rejected the update %+v although %+v is held, want it applied", received, old)
			}
			requireEqualConfigurations(t, got, next)
		}
	}
	delta := ConfigDelta(randomConfiguration(rng, 3), randomConfiguration(rng, 7))
	heldVersions := []uint64{2, 4, 7, 8}
	held := []*routing.Configuration{nil}
	for _, version := range heldVersions {
		held = append(held, randomConfiguration(rng, version))
	}
	for _, configuration := range held {
		if _, ok := delta.ApplyTo(configuration); ok {
			t.Errorf("ApplyTo applied changes since version 3 to %v, want a rejection", configuration)
		}
	}
	if _, ok := FullConfig(randomConfiguration(rng, 7)).ApplyTo(randomConfiguration(rng, 8)); ok {
		t.Error("ApplyTo replaced version 8 by version 7, want a rejection")
	}
}
