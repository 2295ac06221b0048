package statemachine

import "strings"

// ChangedKeys is a set of changed keys. If All is set, any key may have been changed.
type ChangedKeys struct {
	All  bool
	Keys []string
}

// AnyWithPrefix reports whether any key that begins with the prefix may have been changed.
func (c ChangedKeys) AnyWithPrefix(prefix string) bool {
	if c.All {
		return true
	}
	for _, key := range c.Keys {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}
