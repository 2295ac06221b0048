package statemachine

import "strings"

// ChangedKeys names the keys that were changed, or says that all may have been.
type ChangedKeys struct {
	All  bool
	Keys []string
}

// AnyWithPrefix reports whether a key that begins with the prefix may have been changed.
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
