package routing

import (
	"errors"
	"strings"
	"testing"
)

// routeWith returns a configuration with a service s and a route with additional fields.
func routeWith(fields string) string {
	return `{"version":3,"services":[{"name":"s"}],"routes":[` +
		`{"name":"a","hostname":"h","pathPrefix":"/a/","routeKind":"safe","timeoutMs":9,` + fields + `}]}`
}

// tenantsOnly returns a configuration that consists of tenants.
func tenantsOnly(list string) string { return `{"version":3,"tenants":[` + list + `]}` }

// TestParse guards against accepting configurations that are malformed or violate a rule.
// Errors must name the violation, have a bounded length and contain no API keys.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		wantErr   error
		wantText  string // part of the error
	}{
		{"valid", routeWith(`"service":"s"`), nil, ""},
		{"extra brace", routeWith(`"service":"s"`) + "}", ErrMalformed, ""},
		{"two configurations", routeWith(`"service":"s"`) + routeWith(`"service":"s"`), ErrMalformed, ""},
		{"truncated", routeWith(`"service":"s"`)[:80], ErrMalformed, ""},
		{"empty", "", ErrMalformed, "numbering: the configuration cannot be read: "},
		{"list", "[]", ErrMalformed, ""},
		{"nested without closing brackets", `{"version":3,"x":` + strings.Repeat("[", 1<<20), ErrMalformed, ""},
		{
			"nested deeply",
			`{"version":3,"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + "}",
			ErrMalformed, "",
		},
		{"invalid UTF-8", "{\"version\":\xff\xfe}", ErrMalformed, ""},
		{"version as a string", `{"version":"3"}`, ErrMalformed, ""},
		{"negative version", `{"version":-3}`, ErrMalformed, ""},
		{"no version", `{"routes":[]}`, ErrInvalid, "numbering: the configuration is invalid: version"},
		{"version out of range", `{"version":18446744073709551615}`, ErrInvalid, "version"},
		{"unknown service", routeWith(`"service":"z"`), ErrInvalid, `unknown service "z"`},
		{"weights that add up to 0", routeWith(`"weightedServices":[{"service":"s","weight":0}]`), ErrInvalid, "weights"},
		{"timeout of 0", routeWith(`"service":"s","timeoutMs":0`), ErrInvalid, "timeoutMs"},
		{"two targets", routeWith(`"service":"s","fanoutServices":["s"]`), ErrInvalid, "exactly one"},
		{"unsafe", routeWith(`"fanoutServices":["s"],"routeKind":"unsafe"`), ErrInvalid, "a gathered route must be safe"},
		{"duplicate shard", routeWith(`"fanoutServices":["s","s"]`), ErrInvalid, "unique"},
		{
			"valid tenants",
			tenantsOnly(`{"name":"a","apiKeys":["k1","k2"],"ratePerS":2.5,"burstSize":3,"priority":0,"new":1},{"name":"b"}`),
			nil, "",
		},
		{
			"key of two tenants",
			tenantsOnly(`{"name":"a","apiKeys":["k1"]},{"name":"b","apiKeys":["k2","k1"]}`),
			ErrInvalid, `tenants[1].apiKeys[1]: "b" shares it with "a"`,
		},
		{"duplicate key of one tenant", tenantsOnly(`{"name":"a","apiKeys":["k1","k1"]}`), nil, ""},
		{"duplicate tenant", tenantsOnly(`{"name":"a"},{"name":"a"}`), ErrInvalid, "tenants[1].name"},
		{"tenant without a name", tenantsOnly(`{"apiKeys":["k1"]}`), ErrInvalid, "tenants[0].name"},
		{"negative rate", tenantsOnly(`{"name":"a","ratePerS":-1}`), ErrInvalid, "tenants[0].ratePerS"},
		{"negative burst", tenantsOnly(`{"name":"a","burstSize":-1}`), ErrInvalid, "tenants[0].burstSize"},
		{
			"5000 identical routes",
			`{"version":3,"services":[{"name":"s"}],"routes":[` + strings.Repeat(
				`{"name":"a","hostname":"h","pathPrefix":"/a/","routeKind":"safe","timeoutMs":9,"service":"s"},`, 5000) +
				`{"name":"b","hostname":"h","pathPrefix":"/b/","routeKind":"safe","timeoutMs":9,"service":"s"}]}`,
			ErrInvalid, "host and prefix",
		},
	} {
		_, err := Parse([]byte(c.raw))
		if !errors.Is(err, c.wantErr) ||
			err != nil && (!strings.Contains(err.Error(), c.wantText) || len(err.Error()) > 16<<10) {
			t.Errorf("%s: Parse returned %.300v, want %v with %q, at most 16 KiB", c.name, err, c.wantErr, c.wantText)
		}
		if err != nil && strings.Contains(err.Error(), "k1") {
			t.Errorf("%s: the error of Parse contains an API key: %v", c.name, err)
		}
	}
}
