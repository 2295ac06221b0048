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

// TestAmend: an amendment changes what it names and nothing else, and is refused if it
// breaks a rule by itself ("unread") or makes a configuration that does ("invalid").
func TestAmend(t *testing.T) {
	upsertRoute := func(fields string) string {
		return `{"version":5,"upsert":{"routes":[{` + fields + `}]}}`
	}
	for _, c := range []struct{ why, amend, want string }{
		{
			"replace by name",
			upsertRoute(`"name":"a","hostname":"h","pathPrefix":"/a/","routeKind":"unsafe","timeoutMs":7,"service":"s2"`),
			"a/unsafe/7 b/cacheable/9",
		},
		{
			"add",
			upsertRoute(`"name":"c","hostname":"h","pathPrefix":"/c/","routeKind":"safe","timeoutMs":1,"service":"s1"`),
			"a/safe/9 b/cacheable/9 c/safe/1",
		},
		{"remove, and what is not there", `{"version":5,"remove":{"routes":["a","zz"]}}`, "b/cacheable/9"},
		{"a service that a route names", `{"version":5,"remove":{"services":["s1"]}}`, "invalid"},
		{"route and service together", `{"version":5,"remove":{"services":["s1"],"routes":["a"]}}`, "b/cacheable/9"},
		{
			"same host and prefix",
			upsertRoute(`"name":"c","hostname":"h","pathPrefix":"/a/","routeKind":"safe","timeoutMs":1,"service":"s1"`),
			"invalid",
		},
		{"no version", `{"remove":{"routes":["a"]}}`, "unread"},
		{"no name", `{"version":5,"upsert":{"routes":[{"hostname":"h"}]}}`, "unread"},
		{"another list", `{"version":5,"upsert":{"limits":[]}}`, "unread"},
		{"cut short", `{"version":5,"upsert":`, "unread"},
	} {
		got := ""
		if a, err := ParseAmendment([]byte(c.amend)); err != nil {
			got = "unread"
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
				t.Errorf("%s: what was not named is lost: %s", c.why, raw)
			}
		}
		if got != c.want {
			t.Errorf("%s: %q, not %q", c.why, got, c.want)
		}
	}
}
