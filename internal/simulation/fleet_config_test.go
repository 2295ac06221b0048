package simulation_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"comethold/internal/simulation"
)

// seriesTimeout is the time within which each change of a series must be acknowledged.
const seriesTimeout = 8 * time.Second

// configurationBody returns a configuration as JSON. The name of its default route contains mark, so that
// two configurations with the same version can differ.
func (f *fleet) configurationBody(version uint64, mark string) string {
	tenants := f.tenantsField()
	var routes, services strings.Builder
	f.writeExtraRoutes(&routes, version)
	for i := range f.extraIndexes {
		fmt.Fprintf(&routes, `{"name":"x%d","hostname":"h.example","pathPrefix":"/x%d/","routeKind":"safe",`+
			`"timeoutMs":1000,"service":"x%d","maxAttempts":2},`, i, i, i)
		fmt.Fprintf(&services, `,{"name":"x%d","connectionLimit":40}`, i)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s{"name":"r%s","hostname":"h.example","pathPrefix":"/",`+
		`"routeKind":"safe","timeoutMs":1000,"service":"s","maxAttempts":2,"lookupClass":"urgent"}],`+
		`"services":[{"name":"s","connectionLimit":40}%s],%s"limits":{}}`,
		version, routes.String(), mark, services.String(), tenants)
}

// tenantsField returns the JSON field with the tenants and a comma, or "" if there are none.
func (f *fleet) tenantsField() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.tenants) == 0 {
		return ""
	}
	raw, err := json.Marshal(slices.Collect(maps.Values(f.tenants)))
	if err != nil {
		panic(err) // a tenant always marshals
	}
	return `"tenants":` + string(raw) + `,`
}

// writeExtraRoutes adds routes with long random paths, which hardly compress. One of them differs from
// version to version.
func (f *fleet) writeExtraRoutes(routes *strings.Builder, version uint64) {
	const pathBytes = 400
	for i := range f.extraRoutes {
		seed := int64(i)
		if i == int(version)%f.extraRoutes {
			seed = int64(version * 1000)
		}
		path := make([]byte, pathBytes)
		_, _ = rand.New(rand.NewSource(seed)).Read(path) // never fails
		fmt.Fprintf(routes, `{"name":"m%d","hostname":"h.example","pathPrefix":"/m%d/%x/","routeKind":"safe",`+
			`"timeoutMs":1000,"service":"s","maxAttempts":2,"lookupClass":"urgent"},`, i, i, path)
	}
}

// setExtraRoutes is `routes N`: adds N routes to all later configurations.
func (f *fleet) setExtraRoutes(c simulation.Command) error {
	f.extraRoutes = c.Int(0)
	return nil
}

// setExtraIndexes is `indexes N`: adds N routes, each with a separate index, to all later
// configurations.
func (f *fleet) setExtraIndexes(c simulation.Command) error {
	f.extraIndexes = c.Int(0)
	return nil
}

// replace is `replace VERSION BASE AT [mark= within=]`: sends the change to VERSION, based on BASE, to the
// machine AT. While the outcome is unknown, it repeats the change for up to within milliseconds.
func (f *fleet) replace(c simulation.Command) error {
	f.replaceAt(f.machineNamed(c.Word(2)), c.Uint(0), c.Uint(1), c.Options["mark"], c.OptionDuration("within", 0))
	return nil
}

// replaceSeries is `replace-series FROM N AT [gap= within=]`: sends N changes, from version FROM on, each
// based on the newest acknowledged one; each must be acknowledged.
func (f *fleet) replaceSeries(c simulation.Command) error {
	for i := range c.Uint(1) {
		version := c.Uint(0) + i
		status := f.replaceAt(f.machineNamed(c.Word(2)), version, f.newest, "", c.OptionDuration("within", 8000))
		if status != http.StatusOK {
			return fmt.Errorf("change to version %d got status %d, want 200", version, status)
		}
		time.Sleep(c.OptionDuration("gap", 50))
	}
	f.replaceStatuses = map[string]int{}
	return nil
}

// replaceInTurn is `replace-in-turn N BASE NAMES`: sends N changes to these machines in turn, each based on
// the one before it; each must be acknowledged.
func (f *fleet) replaceInTurn(c simulation.Command) error {
	machines := f.machinesNamed(c.Word(2))
	for i := range c.Uint(0) {
		base := c.Uint(1) + i
		m := machines[int(i)%len(machines)]
		if f.replaceAt(m, base+1, base, "", seriesTimeout) != http.StatusOK {
			return fmt.Errorf("%s did not acknowledge the change to version %d, want status 200", m.name, base+1)
		}
	}
	return nil
}

// replaceAgain is `replace-again VERSION BASE NAMES [mark= within=]`: sends the same change to
// each of these machines in turn.
func (f *fleet) replaceAgain(c simulation.Command) error {
	for _, m := range f.machinesNamed(c.Word(2)) {
		f.replaceAt(m, c.Uint(0), c.Uint(1), c.Options["mark"], c.OptionDuration("within", 0))
	}
	return nil
}

// race is `race BASE V1@AT V2@AT/MARK ... [within=]`: sends changes on the same base concurrently.
func (f *fleet) race(c simulation.Command) error {
	var sending sync.WaitGroup
	for _, word := range c.Words[1:] {
		number, at, _ := strings.Cut(word, "@")
		name, mark, _ := strings.Cut(at, "/")
		version, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return err
		}
		sending.Go(func() { f.replaceAt(f.machineNamed(name), version, c.Uint(0), mark, c.OptionDuration("within", 0)) })
	}
	sending.Wait()
	return nil
}

// wantStatuses is `want STATUS=N ...`: checks that N changes and redrives since the last such command ended with
// this HTTP status. Status 0 means no answer.
func (f *fleet) wantStatuses(c simulation.Command) error {
	for status, want := range c.Options {
		if strconv.Itoa(f.replaceStatuses[status]) != want {
			return fmt.Errorf("numbers of changes by HTTP status: %v, want %s with status %s", f.replaceStatuses, want, status)
		}
	}
	f.replaceStatuses = map[string]int{}
	return nil
}

// wantConfig is `want-config VERSION WITHIN`: waits up to WITHIN milliseconds until VERSION is in force on every
// running proxy.
func (f *fleet) wantConfig(c simulation.Command) error {
	return f.waitUntil(c.Milliseconds(1), "the version is in force on every proxy", func() bool {
		for _, m := range f.machines {
			if m.proxy != nil && f.versionAt(m) != c.Uint(0) {
				return false
			}
		}
		return true
	})
}

// wantRead is `want-read WITHIN`: waits up to WITHIN milliseconds until a read returns the newest acknowledged
// configuration.
func (f *fleet) wantRead(c simulation.Command) error {
	got := ""
	return f.waitUntil(c.Milliseconds(0), "a read returns the newest acknowledged configuration", func() bool {
		for _, m := range f.machines {
			if m.controlPlane == nil {
				continue
			}
			status, raw := f.call(m, http.MethodGet, pathRead, 0, "")
			if status == http.StatusOK {
				got = raw
				break
			}
		}
		return got == f.acknowledged[f.newest]
	})
}

// wantReplaceAccepted is `want-order NAMES WITHIN`: waits, for each of these machines, up to WITHIN milliseconds
// until it accepts a change based on the configuration that it returns to a read.
func (f *fleet) wantReplaceAccepted(c simulation.Command) error {
	for _, m := range f.machinesNamed(c.Word(0)) {
		var attempts []string
		err := f.waitUntil(c.Milliseconds(1), "read and change succeed at "+m.name, func() bool {
			version, ok := f.readVersionAt(m)
			status := 0
			if ok {
				status = f.replaceUntilOutcomeKnown(m, version, version+1, f.configurationBody(version+1, m.name), 0)
			}
			attempts = append(attempts, fmt.Sprintf("read version %d (answered: %v), change got status %d", version, ok, status))
			return status == http.StatusOK
		})
		if err != nil {
			return fmt.Errorf("%w: %s", err, strings.Join(attempts, "; "))
		}
	}
	return nil
}

// wantIndeterminate is `want-unclear NAMES`: checks that these machines do not answer reads and changes, or
// answer them with status 503.
func (f *fleet) wantIndeterminate(c simulation.Command) error {
	const versionOffset = 1000 // distance from the versions of other changes, so that none is used twice
	for i, m := range f.machinesNamed(c.Word(0)) {
		if status, _ := f.call(m, http.MethodGet, pathRead, 0, ""); !isIndeterminate(status) {
			return fmt.Errorf("%s answered a read with status %d, want no answer or 503", m.name, status)
		}
		for _, base := range []uint64{0, f.newest, f.newest + 1} {
			body := f.configurationBody(f.newest+versionOffset+base+uint64(i), "lesser")
			if status := f.post(m, pathReplace, base, body); !isIndeterminate(status) {
				return fmt.Errorf("%s answered a change on base %d with status %d, want no answer or 503", m.name, base, status)
			}
		}
	}
	return nil
}
