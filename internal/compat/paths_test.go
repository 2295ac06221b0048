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

// TestServedPaths guards against a renamed or removed path of a handler. During a rolling upgrade
// processes of the other version, and operators' tools, call these paths.
func TestServedPaths(t *testing.T) {
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
		server  string
		handler *echo.Echo
		paths   string
	}{
		{
			"operator handler of the control plane",
			control.OperatorHandler(),
			"/Configuration.Amend /Configuration.Read /Configuration.Replace /Duties.Read " +
				"/Estimates.Read /Estimates.Saved /Notices.Read /Notices.Redrive /purge",
		},
		{
			"internal handler of the control plane",
			control.InternalHandler(),
			"/cells /claim /confirm /feed /list /list/read /move /notices /propose /ration /usage",
		},
		{"internal handler of the data plane", proxy.InternalHandler(), "/estimates /feed /here"},
		{"internal handler of the object cache", cache.InternalHandler(), "/errand /feed /here /object"},
	} {
		got := map[string]bool{}
		for _, r := range c.handler.Routes() {
			got[r.Path] = true
		}
		if served := strings.Join(slices.Sorted(maps.Keys(got)), " "); served != c.paths {
			t.Errorf("%s serves the paths %s, want %s", c.server, served, c.paths)
		}
	}
}
