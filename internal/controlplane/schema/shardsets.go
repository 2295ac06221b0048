package schema

import (
	"sort"
	"strings"

	"comethold/internal/routing"
)

// groupSeparator stands between the services that make up the key of a group.
const groupSeparator = "\x00"

// GroupRoutesByServices groups the routes of a configuration into shard sets: the routes
// that name the same services. The key of a group is its sorted services; see
// ServicesOfGroup.
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

// ServicesOfGroup returns the services that make up the key of a group.
func ServicesOfGroup(key string) []string { return strings.Split(key, groupSeparator) }

// AssignIndexes decides which index cell each group of routes belongs to. An index follows
// its routes: a group keeps the index with which it shares the most routes, then the one
// that has its services. It returns the index cells that are kept, with their groups, the
// groups that need a new index cell, and the index cells to remove.
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

// indexCandidate is an index cell that may serve a group.
type indexCandidate struct {
	index, group string
	// weight is twice the number of shared routes, plus one if the services are the same.
	weight int
}

// indexCandidates lists the candidates, best first.
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
