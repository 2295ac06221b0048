package distributor

import (
	"slices"

	"comethold/internal/distribution"
	"comethold/internal/routing"
)

// maxConfigurations is the number of configurations that are kept. A node that holds one of the
// earlier ones receives only the changes.
const maxConfigurations = 4

// configurationHistory holds the last few configurations, newest last.
type configurationHistory struct {
	versions []*routing.Configuration
}

// add appends a configuration if it is newer than the others, and reports whether it did.
func (h *configurationHistory) add(configuration *routing.Configuration) bool {
	if latest := h.latest(); latest != nil && latest.Version >= configuration.Version {
		return false
	}
	h.versions = append(h.versions, configuration)
	if len(h.versions) > maxConfigurations {
		h.versions = slices.Clone(h.versions[1:])
	}
	return true
}

func (h *configurationHistory) latest() *routing.Configuration {
	if n := len(h.versions); n > 0 {
		return h.versions[n-1]
	}
	return nil
}

// updateFrom returns the update for a node that holds the version held, or nil if the node is up
// to date. The update is a delta if that version is in the history, else the full configuration.
func (h *configurationHistory) updateFrom(held uint64) *distribution.ConfigUpdate {
	latest := h.latest()
	if latest == nil || latest.Version <= held {
		return nil
	}
	for _, earlier := range h.versions {
		if earlier.Version == held {
			return distribution.ConfigDelta(earlier, latest)
		}
	}
	return distribution.FullConfig(latest)
}
