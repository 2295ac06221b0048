package routing

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Amendment changes named items of a configuration.
type Amendment struct {
	Version uint64                       `json:"version" validate:"required,max=4611686018427387904"`
	Upsert  map[string][]json.RawMessage `json:"upsert" validate:"dive,keys,oneof=routes services tenants,endkeys"`
	Remove  map[string][]string          `json:"remove" validate:"dive,keys,oneof=routes services tenants,endkeys"`
}

// ParseAmendment decodes and checks an amendment by itself.
func ParseAmendment(raw []byte) (*Amendment, error) {
	a := &Amendment{}
	if err := json.Unmarshal(raw, a); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if err := structValidator.Struct(a); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, Violations(err))
	}
	for list, items := range a.Upsert {
		for i, item := range items {
			if itemName(item) == "" {
				return nil, fmt.Errorf("%w: upsert.%s[%d] has no name", ErrInvalid, list, i)
			}
		}
	}
	return a, nil
}

func itemName(item json.RawMessage) string {
	var n struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(item, &n) != nil {
		return ""
	}
	return n.Name
}

// Apply makes the whole configuration that the amendment turns current into.
// What it does not name stays as it was sent, fields unknown here included.
// Removing a name that is not there is no fault.
func (a *Amendment) Apply(current []byte) (*Configuration, []byte, error) {
	whole := map[string]json.RawMessage{}
	if len(current) > 0 {
		if err := json.Unmarshal(current, &whole); err != nil {
			return nil, nil, fmt.Errorf("%w: %v", ErrMalformed, err)
		}
	}
	whole["version"] = json.RawMessage(strconv.FormatUint(a.Version, 10))
	for _, list := range []string{"routes", "services", "tenants"} {
		if len(a.Upsert[list]) == 0 && len(a.Remove[list]) == 0 {
			continue
		}
		items, err := amendItems(whole[list], a.Upsert[list], a.Remove[list])
		if err != nil {
			return nil, nil, err
		}
		if whole[list], err = json.Marshal(items); err != nil {
			return nil, nil, fmt.Errorf("%w: %v", ErrMalformed, err)
		}
	}
	raw, err := json.Marshal(whole)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	cfg, err := Parse(raw)
	return cfg, raw, err
}

func amendItems(old json.RawMessage, upsert []json.RawMessage, remove []string) ([]json.RawMessage, error) {
	var items []json.RawMessage
	if len(old) > 0 {
		if err := json.Unmarshal(old, &items); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
		}
	}
	gone := map[string]bool{}
	for _, n := range remove {
		gone[n] = true
	}
	kept := make([]json.RawMessage, 0, len(items)+len(upsert))
	at := map[string]int{}
	for _, item := range items {
		if n := itemName(item); !gone[n] {
			at[n] = len(kept)
			kept = append(kept, item)
		}
	}
	for _, item := range upsert {
		n := itemName(item)
		if i, ok := at[n]; ok {
			kept[i] = item
		} else {
			at[n] = len(kept)
			kept = append(kept, item)
		}
	}
	return kept, nil
}
