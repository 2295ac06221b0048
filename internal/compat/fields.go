package compat

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// fields records which fields of which struct types had a value other than zero.
type fields map[reflect.Type]map[string]bool

func (f fields) note(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			f.note(v.Elem())
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			f.note(v.Index(i))
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			f.note(v.MapIndex(k))
		}
	case reflect.Struct:
		f.noteStruct(v)
	default: // it holds no fields
	}
}

func (f fields) noteStruct(v reflect.Value) {
	if v.Type().PkgPath() == "time" || v.Type().PkgPath() == "math/big" {
		return
	}
	encodesItself := reflect.TypeFor[cbor.Unmarshaler]()
	if f[v.Type()] == nil {
		f[v.Type()] = map[string]bool{}
	}
	for i := range v.NumField() {
		if field := v.Type().Field(i); field.IsExported() {
			// A type that encodes itself has a record of its own.
			f[v.Type()][field.Name] = f[v.Type()][field.Name] || !v.Field(i).IsZero() || field.Type.Implements(encodesItself)
			f.note(v.Field(i))
		}
	}
}

func (f fields) empty() (names []string) {
	for typ, of := range f {
		for name, ok := range of {
			if !ok {
				names = append(names, typ.String()+"."+name)
			}
		}
	}
	return names
}
