package routing

import (
	"errors"
	"strings"
	"testing"
)

// routeWith is a configuration with a service s and a route with some fields.
func routeWith(fields string) string {
	return `{"version":3,"services":[{"name":"s"}],"routes":[` +
		`{"name":"a","hostname":"h","pathPrefix":"/a/","routeKind":"safe","timeoutMs":9,` + fields + `}]}`
}

// tenantsOnly is a configuration with tenants and nothing else.
func tenantsOnly(list string) string { return `{"version":3,"tenants":[` + list + `]}` }

// TestParse: what can't be read whole or breaks a rule is refused, whatever its
// shape, and says what is wrong.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		why, raw string
		want     error
		says     string
	}{
		{"well", routeWith(`"service":"s"`), nil, ""},
		{"a brace too many", routeWith(`"service":"s"`) + "}", ErrMalformed, ""},
		{"two in a row", routeWith(`"service":"s"`) + routeWith(`"service":"s"`), ErrMalformed, ""},
		{"cut short", routeWith(`"service":"s"`)[:80], ErrMalformed, ""},
		{"nothing", "", ErrMalformed, "numbering: the configuration cannot be read: "},
		{"a list", "[]", ErrMalformed, ""},
		{"nested without end", `{"version":3,"x":` + strings.Repeat("[", 1<<20), ErrMalformed, ""},
		{
			"nested deeply",
			`{"version":3,"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + "}",
			ErrMalformed, "",
		},
		{"bytes that are no text", "{\"version\":\xff\xfe}", ErrMalformed, ""},
		{"a version that is a text", `{"version":"3"}`, ErrMalformed, ""},
		{"a version below 0", `{"version":-3}`, ErrMalformed, ""},
		{"no version", `{"routes":[]}`, ErrInvalid, "numbering: the configuration is invalid: version"},
		{"a version out of range", `{"version":18446744073709551615}`, ErrInvalid, "version"},
		{"an unknown service", routeWith(`"service":"z"`), ErrInvalid, `unknown service "z"`},
		{"weights of 0", routeWith(`"weightedServices":[{"service":"s","weight":0}]`), ErrInvalid, "weights"},
		{"no time", routeWith(`"service":"s","timeoutMs":0`), ErrInvalid, "timeoutMs"},
		{"two targets", routeWith(`"service":"s","fanoutServices":["s"]`), ErrInvalid, "exactly one"},
		{"not safe", routeWith(`"fanoutServices":["s"],"routeKind":"unsafe"`), ErrInvalid, "a gathered route must be safe"},
		{"a shard twice", routeWith(`"fanoutServices":["s","s"]`), ErrInvalid, "unique"},
		{
			"tenants",
			tenantsOnly(`{"name":"a","apiKeys":["k1","k2"],"ratePerS":2.5,"burstSize":3,"priority":0,"new":1},{"name":"b"}`),
			nil, "",
		},
		{
			"a shared key",
			tenantsOnly(`{"name":"a","apiKeys":["k1"]},{"name":"b","apiKeys":["k2","k1"]}`),
			ErrInvalid, `tenants[1].apiKeys[1]: "b" shares it with "a"`,
		},
		{"one key twice", tenantsOnly(`{"name":"a","apiKeys":["k1","k1"]}`), nil, ""},
		{"a tenant twice", tenantsOnly(`{"name":"a"},{"name":"a"}`), ErrInvalid, "tenants[1].name"},
		{"a tenant without a name", tenantsOnly(`{"apiKeys":["k1"]}`), ErrInvalid, "tenants[0].name"},
		{"a rate below 0", tenantsOnly(`{"name":"a","ratePerS":-1}`), ErrInvalid, "tenants[0].ratePerS"},
		{"a burst below 0", tenantsOnly(`{"name":"a","burstSize":-1}`), ErrInvalid, "tenants[0].burstSize"},
		{
			"the same route many times",
			`{"version":3,"services":[{"name":"s"}],"routes":[` + strings.Repeat(
				`{"name":"a","hostname":"h","pathPrefix":"/a/","routeKind":"safe","timeoutMs":9,"service":"s"},`, 5000) +
				`{"name":"b","hostname":"h","pathPrefix":"/b/","routeKind":"safe","timeoutMs":9,"service":"s"}]}`,
			ErrInvalid, "host and prefix",
		},
	} {
		_, err := Parse([]byte(c.raw))
		if !errors.Is(err, c.want) || err != nil && (!strings.Contains(err.Error(), c.says) || len(err.Error()) > 16<<10) {
			t.Errorf("%s: %.300v", c.why, err)
		}
		if err != nil && strings.Contains(err.Error(), "k1") {
			t.Errorf("%s: a key is shown: %v", c.why, err)
		}
	}
}
