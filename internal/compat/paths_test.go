package compat_test

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"comethold/internal/controlplane"
	"comethold/internal/logging"
	"comethold/internal/objectcache"
	"comethold/internal/proxy"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"

	"github.com/labstack/echo/v4"
)

// TestPaths: during a roll-out each version calls the other under these paths.
func TestPaths(t *testing.T) {
	set := &settings.Settings{
		NodeName: "n1", IPAddress: address, AvailabilityZone: "z1", DataDirectory: t.TempDir(),
		InternalPortRange: []int{7120, 7135}, SeedNodes: []string{address + ":7120"},
	}
	control := controlplane.New(set, logging.Nop(), rpc.TCPNetwork, storage.LocalDisk{})
	proxy := proxy.New(set, logging.Nop(), rpc.TCPNetwork)
	defer proxy.Close()
	cache := objectcache.New(set, logging.Nop(), rpc.TCPNetwork)
	defer cache.Close()
	for _, c := range []struct {
		who    string
		serves *echo.Echo
		paths  string
	}{
		{
			"control plane, to operators",
			control.OperatorHandler(),
			"/Configuration.Amend /Configuration.Read /Configuration.Replace /Duties.Read " +
				"/Estimates.Read /Estimates.Saved /Notices.Read /Notices.Redrive /purge",
		},
		{
			"control plane, inside",
			control.InternalHandler(),
			"/cells /claim /confirm /feed /list /list/read /move /notices /propose /ration /usage",
		},
		{"data plane, inside", proxy.InternalHandler(), "/estimates /feed /here"},
		{"object cache, inside", cache.InternalHandler(), "/errand /feed /here /object"},
	} {
		got := map[string]bool{}
		for _, r := range c.serves.Routes() {
			got[r.Path] = true
		}
		if served := strings.Join(slices.Sorted(maps.Keys(got)), " "); served != c.paths {
			t.Errorf("%s: %s, not %s", c.who, served, c.paths)
		}
	}
}
