package schema

import (
	"sort"
	"strings"

	"comethold/internal/routing"
)

// groupSeparator separates the service names in the key of a group.
const groupSeparator = "\x00"

// GroupRoutesByServices groups the routes of a configuration into shard sets: routes that name the
// same services form a group. It returns the sorted names of the routes by the key of their group,
// which consists of the sorted service names; see ServicesOfGroup.
func GroupRoutesByServices(config *routing.Configuration) map[string][]string {
	groups := map[string][]string{}
	for i := range config.Routes {
		services := append([]string(nil), config.Routes[i].ServiceNames()...)
		sort.Strings(services)
		key := strings.Join(services, groupSeparator)
		groups[key] = append(groups[key], config.Routes[i].Name)
	}
	for _, routes := range groups {
		sort.Strings(routes)
	}
	return groups
}

// ServicesOfGroup returns the service names in the key of a group.
func ServicesOfGroup(key string) []string { return strings.Split(key, groupSeparator) }

// AssignIndexes assigns the existing index cells to groups of routes. It matches pairs of a cell
// and a group, starting with those that share the most routes. Among pairs that share equally many,
// those with the same services come first. A pair without shared routes is matched only if its
// services are the same. kept maps the name of each cell that remains to its group. added lists the
// groups that need a new cell, and removed the cells that no group needs.
func AssignIndexes(
	old map[string]IndexRecord, groups map[string][]string,
) (kept map[string]string, added, removed []string) {
	kept = map[string]string{}
	assigned := map[string]bool{}
	for _, candidate := range indexCandidates(old, groups) {
		if _, used := kept[candidate.index]; !used && !assigned[candidate.group] {
			kept[candidate.index] = candidate.group
			assigned[candidate.group] = true
		}
	}
	for group := range groups {
		if !assigned[group] {
			added = append(added, group)
		}
	}
	for index := range old {
		if _, isKept := kept[index]; !isKept {
			removed = append(removed, index)
		}
	}
	sort.Strings(added)
	sort.Strings(removed)
	return kept, added, removed
}

// indexCandidate is a possible assignment of an index cell to a group.
type indexCandidate struct {
	index, group string
	// weight is twice the number of shared routes, plus one if the services are the same.
	weight int
}

// indexCandidates returns the possible assignments, in order of decreasing weight.
func indexCandidates(old map[string]IndexRecord, groups map[string][]string) []indexCandidate {
	indexOfRoute := map[string]string{}
	for index, record := range old {
		for _, route := range record.Routes {
			indexOfRoute[route] = index
		}
	}
	var candidates []indexCandidate
	for group, routes := range groups {
		shared := map[string]int{}
		for _, route := range routes {
			if index := indexOfRoute[route]; index != "" {
				shared[index]++
			}
		}
		for index, count := range shared {
			candidates = append(candidates, indexCandidate{index, group, 2 * count})
		}
		for index, record := range old {
			if strings.Join(record.Services, groupSeparator) == group {
				candidates = append(candidates, indexCandidate{index, group, 2*shared[index] + 1})
			}
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if a.weight != b.weight {
			return a.weight > b.weight
		}
		if a.index != b.index {
			return a.index < b.index
		}
		return a.group < b.group
	})
	return candidates
}
