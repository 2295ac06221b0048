package routing

import (
	"errors"
	"strings"
	"testing"
)

const baseConfiguration = `{"version":3,"extra":{"kept":1},"limits":{},"services":[{"name":"s1"},{"name":"s2"}],
"routes":[{"name":"a","hostname":"h","pathPrefix":"/a/","routeKind":"safe","timeoutMs":9,"service":"s1"},
{"name":"b","hostname":"h","pathPrefix":"/b/","routeKind":"cacheable","timeoutMs":9,"service":"s2","cacheTtlS":2.5,
"later":true}]}`

// TestAmendment guards against amendments that change other items than those that they name,
// or drop unknown fields. ParseAmendment must reject amendments that are malformed or
// violate a rule ("rejected"), and Apply those that result in an invalid configuration
// ("invalid").
func TestAmendment(t *testing.T) {
	upsertRoute := func(fields string) string {
		return `{"version":5,"upsert":{"routes":[{` + fields + `}]}}`
	}
	for _, c := range []struct{ name, amendment, want string }{
		{
			"replace a route",
			upsertRoute(`"name":"a","hostname":"h","pathPrefix":"/a/","routeKind":"unsafe","timeoutMs":7,"service":"s2"`),
			"a/unsafe/7 b/cacheable/9",
		},
		{
			"add a route",
			upsertRoute(`"name":"c","hostname":"h","pathPrefix":"/c/","routeKind":"safe","timeoutMs":1,"service":"s1"`),
			"a/safe/9 b/cacheable/9 c/safe/1",
		},
		{"remove a route and an unknown name", `{"version":5,"remove":{"routes":["a","zz"]}}`, "b/cacheable/9"},
		{"remove a service that a route uses", `{"version":5,"remove":{"services":["s1"]}}`, "invalid"},
		{"remove a service and its only route", `{"version":5,"remove":{"services":["s1"],"routes":["a"]}}`, "b/cacheable/9"},
		{
			"add a route with the host and prefix of another",
			upsertRoute(`"name":"c","hostname":"h","pathPrefix":"/a/","routeKind":"safe","timeoutMs":1,"service":"s1"`),
			"invalid",
		},
		{"no version", `{"remove":{"routes":["a"]}}`, "rejected"},
		{"route without a name", `{"version":5,"upsert":{"routes":[{"hostname":"h"}]}}`, "rejected"},
		{"list that cannot be amended", `{"version":5,"upsert":{"limits":[]}}`, "rejected"},
		{"truncated", `{"version":5,"upsert":`, "rejected"},
	} {
		got := ""
		if a, err := ParseAmendment([]byte(c.amendment)); err != nil {
			got = "rejected"
		} else if cfg, raw, err := a.Apply([]byte(baseConfiguration)); errors.Is(err, ErrInvalid) {
			got = "invalid"
		} else if err != nil {
			got = err.Error()
		} else {
			for _, r := range cfg.Routes {
				got += " " + r.Name + "/" + r.RouteKind + "/" + string(rune('0'+r.TimeoutMs))
			}
			got = strings.TrimSpace(got)
			keepsUnknown := strings.Contains(string(raw), `"kept":1`) &&
				(!strings.Contains(got, "b/") || strings.Contains(string(raw), `"later":true`))
			if cfg.Version != 5 || !keepsUnknown {
				t.Errorf("%s: Apply returned %s, want version 5 and the unknown fields of the base configuration", c.name, raw)
			}
		}
		if got != c.want {
			t.Errorf("%s: parsing and applying the amendment gave %q, want %q", c.name, got, c.want)
		}
	}
}
