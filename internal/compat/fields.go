package compat

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// fieldCoverage records, by struct type and field name, which exported fields had a non-zero value.
type fieldCoverage map[reflect.Type]map[string]bool

// add records the fields of all structs that v contains.
func (f fieldCoverage) add(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			f.add(v.Elem())
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			f.add(v.Index(i))
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			f.add(v.MapIndex(k))
		}
	case reflect.Struct:
		f.addStruct(v)
	default: // values of other kinds contain no structs
	}
}

// addStruct records the exported fields of a struct and adds their values. It skips the structs of time
// and math/big, which have no exported fields.
func (f fieldCoverage) addStruct(v reflect.Value) {
	if v.Type().PkgPath() == "time" || v.Type().PkgPath() == "math/big" {
		return
	}
	unmarshaler := reflect.TypeFor[cbor.Unmarshaler]()
	if f[v.Type()] == nil {
		f[v.Type()] = map[string]bool{}
	}
	for i := range v.NumField() {
		if field := v.Type().Field(i); field.IsExported() {
			// A type that implements cbor.Unmarshaler must be checked by a separate record.
			f[v.Type()][field.Name] = f[v.Type()][field.Name] || !v.Field(i).IsZero() || field.Type.Implements(unmarshaler)
			f.add(v.Field(i))
		}
	}
}

// unset returns the fields that were zero in every added value.
func (f fieldCoverage) unset() (names []string) {
	for typ, set := range f {
		for name, ok := range set {
			if !ok {
				names = append(names, typ.String()+"."+name)
			}
		}
	}
	return names
}
