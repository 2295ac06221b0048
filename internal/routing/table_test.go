package routing

import (
	"fmt"
	"testing"
	"time"
)

// TestMatch: the longest prefix of the path on the host is the route, whatever the case
// of the host and its port.
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
			t.Errorf("%s%s: %s, want %s", c.host, c.path, got, c.want)
		}
	}
	count := 0
	table.ForEachRoute(func(*CompiledRoute) { count++ })
	if count != 4 {
		t.Errorf("%d routes were visited, want 4", count)
	}
}

// TestCompiledRoute: times, attempts and shares as the data plane needs them.
func TestCompiledRoute(t *testing.T) {
	route := compileRoute(&Route{
		TimeoutMs: 900, TargetLatencyMs: 200, FanoutServices: []string{"a", "b", "c"}, MinimumShardShare: 0.5,
	})
	if route.Timeout != 900*time.Millisecond || route.TargetLatency != 200*time.Millisecond {
		t.Errorf("times %v and %v", route.Timeout, route.TargetLatency)
	}
	if route.AttemptLimit != 1 || compileRoute(&Route{MaxAttempts: 3}).AttemptLimit != 3 {
		t.Error("the attempt limit is wrong")
	}
	if route.RequiredShards != 2 || !route.IsFanOut() {
		t.Errorf("%d shards are required of 3", route.RequiredShards)
	}
	for _, c := range []struct {
		shards int
		share  float64
		want   int
	}{{1, 0, 1}, {4, 0, 1}, {4, 0.25, 1}, {4, 0.26, 2}, {10, 0.3, 3}, {3, 1, 3}, {3, 2.0 / 3, 2}} {
		if got := requiredShards(c.shards, c.share); got != c.want {
			t.Errorf("a share of %v of %d shards: %d, want %d", c.share, c.shards, got, c.want)
		}
	}
}

// TestPickService: requests are split by weight.
func TestPickService(t *testing.T) {
	single := compileRoute(&Route{Service: "s"})
	if got := single.PickService(0.9); got != "s" {
		t.Errorf("picked %s of one service", got)
	}
	split := compileRoute(&Route{WeightedServices: []WeightedService{
		{Service: "a", Weight: 1}, {Service: "none", Weight: 0}, {Service: "b", Weight: 3},
	}})
	for point, want := range map[float64]string{0: "a", 0.24: "a", 0.25: "b", 0.999: "b", 1: "b"} {
		if got := split.PickService(point); got != want {
			t.Errorf("at %v: %s, want %s", point, got, want)
		}
	}
}

// TestAuthenticate: who is let in, and whose credentials leafs may not see.
func TestAuthenticate(t *testing.T) {
	table := Compile(&Configuration{Tenants: []Tenant{{Name: "t", APIKeys: []string{"k", ""}}}})
	open := Compile(&Configuration{})
	if !table.RequiresKey() || open.RequiresKey() {
		t.Error("keys are required without tenants, or not required with them")
	}
	if table.Tenant("t") == nil || table.Tenant("u") != nil {
		t.Error("tenants are not found by name")
	}
	for _, c := range []struct {
		why         string
		credentials []string
		private     string // tenant, whether the credentials are ours, whether it passes
		public      string
	}{
		{"no credentials", nil, "- false false", "- false true"},
		{"a key", []string{"Token k"}, "t true true", "t true true"},
		{"another case and spaces", []string{"tOKEN  k "}, "t true true", "t true true"},
		{"an unknown key", []string{"Token x"}, "- true false", "- true false"},
		{"an empty key", []string{"Token "}, "- true false", "- true false"},
		{"another scheme", []string{"Basic k"}, "- true false", "- false true"},
		{"two of them", []string{"Token k", "Token k"}, "- true false", "- false true"},
	} {
		for _, public := range []bool{false, true} {
			identity, ok := table.Authenticate(&CompiledRoute{Route: Route{Public: public}}, c.credentials)
			name := "-"
			if identity.Tenant != nil {
				name = identity.Tenant.Name
			}
			want := c.private
			if public {
				want = c.public
			}
			if got := fmt.Sprint(name, " ", identity.StripCredentials, " ", ok); got != want {
				t.Errorf("%s, public %v: %s, want %s", c.why, public, got, want)
			}
		}
		if identity, ok := open.Authenticate(&CompiledRoute{}, c.credentials); !ok || identity != (Identity{}) {
			t.Errorf("%s, without tenants: %v %v", c.why, identity, ok)
		}
	}
}

// BenchmarkMatch measures the lookup of a route among a thousand.
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
			b.Fatal("not found")
		}
	}
}
