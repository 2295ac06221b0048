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

// TestConfigDeltas: whatever a holder has, what it is told makes the newest
// configuration of it, or is turned down where it does not fit.
func TestConfigDeltas(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	draw := func(version uint64) *routing.Configuration {
		c := &routing.Configuration{Version: version, Limits: routing.Limits{MaxBodyBytes: int64(rng.Intn(3))}}
		for i := range 8 {
			if rng.Intn(4) > 0 {
				r := routing.Route{Name: fmt.Sprint("r", rng.Intn(99)), Hostname: "H.example", PathPrefix: fmt.Sprintf("/%d/", i), RouteKind: "safe", TimeoutMs: int64(1 + rng.Intn(2))}
				if rng.Intn(2) == 0 {
					r.FanoutServices = []string{"a", "b"}
				} else {
					r.WeightedServices = []routing.WeightedService{{Service: "a", Weight: int64(rng.Intn(2))}}
				}
				c.Routes = append(c.Routes, r)
			}
			if rng.Intn(2) == 0 {
				c.Tenants = append(c.Tenants, routing.Tenant{Name: fmt.Sprint("t", i), APIKeys: []string{fmt.Sprint("k", rng.Intn(2))}, RatePerSecond: float64(rng.Intn(2))})
			}
			if rng.Intn(2) == 0 {
				c.Services = append(c.Services, routing.Service{Name: fmt.Sprint("s", i), ConnectionLimit: rng.Intn(2)})
			}
		}
		return c
	}
	sorted := func(c *routing.Configuration) *routing.Configuration {
		sort.Slice(c.Routes, func(i, j int) bool { return c.Routes[i].PathPrefix < c.Routes[j].PathPrefix })
		sort.Slice(c.Tenants, func(i, j int) bool { return c.Tenants[i].Name < c.Tenants[j].Name })
		sort.Slice(c.Services, func(i, j int) bool { return c.Services[i].Name < c.Services[j].Name })
		return c
	}
	for range 300 {
		old, next := draw(3), draw(7)
		for _, msg := range []*ConfigUpdate{ConfigDelta(old, next), FullConfig(next)} {
			raw, err := rpc.Marshal(msg)
			if err != nil {
				t.Fatal(err)
			}
			var got ConfigUpdate
			if err := rpc.Unmarshal(raw, &got); err != nil {
				t.Fatal(err)
			}
			made, ok := got.ApplyTo(old)
			if !ok || len(made.Routes) != len(next.Routes) || len(made.Services) != len(next.Services) || len(made.Tenants) != len(next.Tenants) {
				t.Fatalf("%v: %+v of %+v, not %+v", ok, made, old, next)
			}
			made, next := sorted(made), sorted(next)
			for i := range next.Routes {
				if !reflect.DeepEqual(made.Routes[i], next.Routes[i]) {
					t.Fatalf("%+v, not %+v", made.Routes[i], next.Routes[i])
				}
			}
			if !reflect.DeepEqual(made.Tenants, next.Tenants) && len(next.Tenants) > 0 {
				t.Fatalf("%+v, not %+v", made.Tenants, next.Tenants)
			}
			if !reflect.DeepEqual(made.Services, next.Services) && len(next.Services) > 0 || made.Limits != next.Limits || made.Version != 7 {
				t.Fatalf("%+v, not %+v", made, next)
			}
		}
	}
	delta := ConfigDelta(draw(3), draw(7))
	for _, held := range []*routing.Configuration{nil, draw(2), draw(4), draw(7), draw(8)} {
		if _, ok := delta.ApplyTo(held); ok {
			t.Errorf("a delta on 3 is taken on %v", held)
		}
	}
	if _, ok := FullConfig(draw(7)).ApplyTo(draw(8)); ok {
		t.Error("a configuration goes back")
	}
}
