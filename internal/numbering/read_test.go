package numbering

import (
	"errors"
	"strings"
	"testing"
)

// TestRead: what can't be read whole or breaks a rule is refused, whatever its
// shape, and says what is wrong.
func TestRead(t *testing.T) {
	route := func(fields string) string {
		return `{"version":3,"services":[{"name":"s"}],"routes":[{"name":"a","hostname":"h","pathPrefix":"/a/","routeKind":"safe","timeoutMs":9,` + fields + `}]}`
	}
	for _, c := range []struct {
		why, raw string
		want     error
		says     string
	}{
		{"well", route(`"service":"s"`), nil, ""},
		{"a brace too many", route(`"service":"s"`) + "}", ErrUnreadable, ""},
		{"two in a row", route(`"service":"s"`) + route(`"service":"s"`), ErrUnreadable, ""},
		{"cut short", route(`"service":"s"`)[:80], ErrUnreadable, ""},
		{"nothing", "", ErrUnreadable, ""},
		{"a list", "[]", ErrUnreadable, ""},
		{"nested without end", `{"version":3,"x":` + strings.Repeat("[", 1<<20), ErrUnreadable, ""},
		{"nested deeply", `{"version":3,"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + "}", ErrUnreadable, ""},
		{"bytes that are no text", "{\"version\":\xff\xfe}", ErrUnreadable, ""},
		{"a version that is a text", `{"version":"3"}`, ErrUnreadable, ""},
		{"a version below 0", `{"version":-3}`, ErrUnreadable, ""},
		{"no version", `{"routes":[]}`, ErrInvalid, "version"},
		{"a version out of range", `{"version":18446744073709551615}`, ErrInvalid, "version"},
		{"an unknown service", route(`"service":"z"`), ErrInvalid, `unknown service "z"`},
		{"weights of 0", route(`"weightedServices":[{"service":"s","weight":0}]`), ErrInvalid, "weights"},
		{"no time", strings.Replace(route(`"service":"s"`), `"timeoutMs":9`, `"timeoutMs":0`, 1), ErrInvalid, "timeoutMs"},
		{"two targets", route(`"service":"s","fanoutServices":["s"]`), ErrInvalid, "exactly one"},
		{"a shard twice", route(`"fanoutServices":["s","s"]`), ErrInvalid, "unique"},
		{"the same route many times", `{"version":3,"services":[{"name":"s"}],"routes":[` +
			strings.Repeat(`{"name":"a","hostname":"h","pathPrefix":"/a/","routeKind":"safe","timeoutMs":9,"service":"s"},`, 5000) +
			`{"name":"b","hostname":"h","pathPrefix":"/b/","routeKind":"safe","timeoutMs":9,"service":"s"}]}`, ErrInvalid, "host and prefix"},
	} {
		_, err := Read([]byte(c.raw))
		if !errors.Is(err, c.want) || err != nil && (!strings.Contains(err.Error(), c.says) || len(err.Error()) > 16<<10) {
			t.Errorf("%s: %.300v", c.why, err)
		}
	}
}
