package routing

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// amendableLists are the lists of a configuration that an amendment can change. Their items have names.
var amendableLists = []string{"routes", "services", "tenants"}

// Amendment is a change to a configuration. The keys of Upsert and Remove are the names of
// lists. Upsert holds items to add; an item replaces an existing one of the same name. Remove
// holds the names of items to remove.
// Version is the version of the resulting configuration.
type Amendment struct {
	Version uint64                       `json:"version" validate:"required,max=4611686018427387904"`
	Upsert  map[string][]json.RawMessage `json:"upsert" validate:"dive,keys,oneof=routes services tenants,endkeys"`
	Remove  map[string][]string          `json:"remove" validate:"dive,keys,oneof=routes services tenants,endkeys"`
}

// ParseAmendment decodes and validates an amendment. The validation does not depend on the
// configuration to amend. The error wraps ErrMalformed or ErrInvalid.
func ParseAmendment(raw []byte) (*Amendment, error) {
	amendment := &Amendment{}
	if err := json.Unmarshal(raw, amendment); err != nil {
		return nil, malformedError(err)
	}
	if err := structValidator.Struct(amendment); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, Violations(err))
	}
	for list, items := range amendment.Upsert {
		for i, item := range items {
			if itemName(item) == "" {
				return nil, fmt.Errorf("%w: upsert.%s[%d] has no name", ErrInvalid, list, i)
			}
		}
	}
	return amendment, nil
}

// itemName returns the name of an item, or an empty string if it has none or cannot be decoded.
func itemName(item json.RawMessage) string {
	var named struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(item, &named) != nil {
		return ""
	}
	return named.Name
}

// Apply returns the complete configuration that results from amending current, decoded
// and as JSON. All other fields of current stay unchanged, including fields that this version
// does not know. Removing a name that does not exist is not an error. The error wraps
// ErrMalformed or ErrInvalid.
func (a *Amendment) Apply(current []byte) (*Configuration, []byte, error) {
	fields := map[string]json.RawMessage{}
	if len(current) > 0 {
		if err := json.Unmarshal(current, &fields); err != nil {
			return nil, nil, malformedError(err)
		}
	}
	fields["version"] = json.RawMessage(strconv.FormatUint(a.Version, 10))
	for _, list := range amendableLists {
		if len(a.Upsert[list]) == 0 && len(a.Remove[list]) == 0 {
			continue
		}
		amended, err := amendItems(fields[list], a.Upsert[list], a.Remove[list])
		if err != nil {
			return nil, nil, err
		}
		fields[list] = amended
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		return nil, nil, malformedError(err)
	}
	configuration, err := Parse(raw)
	return configuration, raw, err
}

// amendItems returns the amended list: the old items in their order, with replacements in
// place, followed by the new items.
func amendItems(old json.RawMessage, upsert []json.RawMessage, remove []string) (json.RawMessage, error) {
	var items []json.RawMessage
	if len(old) > 0 {
		if err := json.Unmarshal(old, &items); err != nil {
			return nil, malformedError(err)
		}
	}
	removed := map[string]bool{}
	for _, name := range remove {
		removed[name] = true
	}
	amended := make([]json.RawMessage, 0, len(items)+len(upsert))
	indexByName := map[string]int{}
	for _, item := range items {
		name := itemName(item)
		if removed[name] {
			continue
		}
		indexByName[name] = len(amended)
		amended = append(amended, item)
	}
	for _, item := range upsert {
		name := itemName(item)
		if i, ok := indexByName[name]; ok {
			amended[i] = item
			continue
		}
		indexByName[name] = len(amended)
		amended = append(amended, item)
	}
	raw, err := json.Marshal(amended)
	if err != nil {
		return nil, malformedError(err)
	}
	return raw, nil
}
