package routing

import (
	"fmt"
	"testing"
	"time"
)

// TestMatch guards against choosing a route other than the one with the longest matching
// prefix, and against a dependence on the case of the host or on its port.
func TestMatch(t *testing.T) {
	table := Compile(&Configuration{Routes: []Route{
		{Name: "root", Hostname: "Example.org", PathPrefix: "/"},
		{Name: "a", Hostname: "example.org", PathPrefix: "/a/"},
		{Name: "ab", Hostname: "example.org", PathPrefix: "/a/b/"},
		{Name: "v6", Hostname: "::1", PathPrefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"example.org", "/", "root"},
		{"EXAMPLE.org:8080", "/a", "root"},
		{"example.org", "/a/", "a"},
		{"example.org", "/a/bc", "a"},
		{"example.org", "/a/b/c", "ab"},
		{"example.org", "", "none"},
		{"[::1]:80", "/x/y", "v6"},
		{"[::1]:80", "/y", "none"},
		{"other.org", "/", "none"},
	} {
		got := "none"
		if route := table.Match(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("Match(%s, %s) returned route %s, want %s", c.host, c.path, got, c.want)
		}
	}
	count := 0
	table.ForEachRoute(func(*CompiledRoute) { count++ })
	if count != 4 {
		t.Errorf("ForEachRoute visited %d routes, want 4", count)
	}
}

// TestCompileRoute guards against wrong conversions of times, attempt limits and shard
// shares, such as a rounding error that requires one shard too many.
func TestCompileRoute(t *testing.T) {
	route := compileRoute(&Route{
		TimeoutMs: 900, TargetLatencyMs: 200, FanoutServices: []string{"a", "b", "c"}, MinimumShardShare: 0.5,
	})
	if route.Timeout != 900*time.Millisecond || route.TargetLatency != 200*time.Millisecond {
		t.Errorf("timeout %v and target latency %v, want 900ms and 200ms", route.Timeout, route.TargetLatency)
	}
	if route.AttemptLimit != 1 || compileRoute(&Route{MaxAttempts: 3}).AttemptLimit != 3 {
		t.Error("AttemptLimit is not 1 without MaxAttempts, or not 3 with a MaxAttempts of 3")
	}
	if route.RequiredShards != 2 || !route.IsFanOut() {
		t.Errorf("RequiredShards is %d and IsFanOut %v, want 2 and true", route.RequiredShards, route.IsFanOut())
	}
	for _, c := range []struct {
		shards int
		share  float64
		want   int
	}{{1, 0, 1}, {4, 0, 1}, {4, 0.25, 1}, {4, 0.26, 2}, {10, 0.3, 3}, {3, 1, 3}, {3, 2.0 / 3, 2}} {
		if got := requiredShards(c.shards, c.share); got != c.want {
			t.Errorf("share %v of %d shards: requiredShards returned %d, want %d", c.share, c.shards, got, c.want)
		}
	}
}

// TestPickService guards against requests that are not split by weight, and against services
// of weight 0 that receive requests.
func TestPickService(t *testing.T) {
	single := compileRoute(&Route{Service: "s"})
	if got := single.PickService(0.9); got != "s" {
		t.Errorf("PickService on a route with one service returned %s, want s", got)
	}
	split := compileRoute(&Route{WeightedServices: []WeightedService{
		{Service: "a", Weight: 1}, {Service: "none", Weight: 0}, {Service: "b", Weight: 3},
	}})
	for point, want := range map[float64]string{0: "a", 0.24: "a", 0.25: "b", 0.999: "b", 1: "b"} {
		if got := split.PickService(point); got != want {
			t.Errorf("PickService(%v) returned %s, want %s", point, got, want)
		}
	}
}

// TestAuthenticate guards against accepting requests without a required key, and against
// forwarding to leafs the credentials that are meant for this system.
func TestAuthenticate(t *testing.T) {
	table := Compile(&Configuration{Tenants: []Tenant{{Name: "t", APIKeys: []string{"k", ""}}}})
	open := Compile(&Configuration{})
	if !table.RequiresKey() || open.RequiresKey() {
		t.Error("RequiresKey returned false with tenants or true without, want true and false")
	}
	if table.Tenant("t") == nil || table.Tenant("u") != nil {
		t.Error("Tenant did not return the tenant t, or returned a tenant for the unknown name u")
	}
	for _, c := range []struct {
		name        string
		credentials []string
		wantPrivate string // tenant or -, StripCredentials, ok
		wantPublic  string // the same on a public route
	}{
		{"no credentials", nil, "- false false", "- false true"},
		{"valid key", []string{"Token k"}, "t true true", "t true true"},
		{"scheme in another case, spaces", []string{"tOKEN  k "}, "t true true", "t true true"},
		{"unknown key", []string{"Token x"}, "- true false", "- true false"},
		{"empty key", []string{"Token "}, "- true false", "- true false"},
		{"another scheme", []string{"Basic k"}, "- true false", "- false true"},
		{"two headers", []string{"Token k", "Token k"}, "- true false", "- false true"},
	} {
		for _, public := range []bool{false, true} {
			identity, ok := table.Authenticate(&CompiledRoute{Route: Route{Public: public}}, c.credentials)
			tenant := "-"
			if identity.Tenant != nil {
				tenant = identity.Tenant.Name
			}
			want := c.wantPrivate
			if public {
				want = c.wantPublic
			}
			if got := fmt.Sprint(tenant, " ", identity.StripCredentials, " ", ok); got != want {
				t.Errorf("%s, public %v: Authenticate returned %s, want %s", c.name, public, got, want)
			}
		}
		if identity, ok := open.Authenticate(&CompiledRoute{}, c.credentials); !ok || identity != (Identity{}) {
			t.Errorf("%s, no tenants: Authenticate returned %v and %v, want an empty identity and true", c.name, identity, ok)
		}
	}
}

// BenchmarkMatch measures the lookup of one of 1000 routes.
func BenchmarkMatch(b *testing.B) {
	configuration := &Configuration{}
	for i := range 1000 {
		configuration.Routes = append(configuration.Routes, Route{
			Name: fmt.Sprint(i), Hostname: fmt.Sprint("host-", i%10), PathPrefix: fmt.Sprint("/route-", i, "/"),
		})
	}
	table := Compile(configuration)
	b.ReportAllocs()
	for b.Loop() {
		if table.Match("host-7", "/route-17/some/path") == nil {
			b.Fatal("Match returned no route")
		}
	}
}
