// Package compat holds recorded data and messages of earlier versions, and test helpers that
// check that this version still decodes them.
//
// During a rolling upgrade two versions run side by side, and the new version opens data
// directories that the old one wrote. Bucket names, keys and CBOR field numbers must
// therefore never change. The records under testdata are keyed only by these, so renaming a
// Go identifier or moving a type to another package doesn't affect them.
//
// This command rewrites the records:
//
//	COMPAT_UPDATE=1 go test ./...
//
// Use it only after adding a field or a message, or to drop an old format on purpose.
package compat

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math/big"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
	"unicode"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Message is one value of a type that is sent or stored.
type Message struct {
	Name  string // name of the record file without its extension; must never change
	Value any    // expected result of decoding the record; a struct, map or slice, not a pointer
}

// record is the content of a message's record file.
type record struct {
	CBOR  string `json:"cbor"`  // the recorded bytes, in hex
	Value any    `json:"value"` // the decoded message, keyed by CBOR field numbers; see Readable
}

// Updating reports whether the tests rewrite the records (COMPAT_UPDATE is set).
func Updating() bool { return os.Getenv("COMPAT_UPDATE") != "" }

// Path returns the path of a file in this package's testdata directory. It works in tests of any
// package.
func Path(names ...string) string {
	_, self, _, _ := runtime.Caller(0)
	return filepath.Join(append([]string{filepath.Dir(self), "testdata"}, names...)...)
}

// CheckMessages decodes the recorded bytes of every message and compares the result with its value.
// It also compares this version's encoding of the value with the record. Every exported field of
// every struct type in the messages must be non-zero in at least one of them, so that no field is
// left unchecked.
func CheckMessages(t *testing.T, messages []Message) {
	t.Helper()
	coverage := fieldCoverage{}
	for _, m := range messages {
		coverage.add(reflect.ValueOf(m.Value))
		t.Run(m.Name, func(t *testing.T) { checkMessage(t, m) })
	}
	for _, name := range coverage.unset() {
		t.Errorf("field %s is zero in all messages: add a message that sets it", name)
	}
}

func checkMessage(t *testing.T, m Message) {
	t.Helper()
	encoded, err := cbor.Marshal(m.Value)
	if err != nil {
		t.Fatal(err)
	}
	path := Path("messages", m.Name+".json")
	if Updating() {
		writeJSON(t, path, record{hex.EncodeToString(encoded), Readable(t, encoded)})
	}
	var rec record
	readJSON(t, path, &rec)
	recorded, err := hex.DecodeString(rec.CBOR)
	if err != nil {
		t.Fatal(err)
	}
	decoded := reflect.New(reflect.TypeOf(m.Value))
	if err := cbor.Unmarshal(recorded, decoded.Interface()); err != nil {
		t.Fatalf("the recorded message can't be decoded: %v", err)
	}
	if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, m.Value) {
		t.Errorf("the recorded message decodes to\n%+v, want\n%+v", got, m.Value)
	}
	if position, ok := difference("", normalize(t, Readable(t, encoded)), rec.Value); ok {
		t.Errorf("the encoding of this version differs from the record at %s", position)
	}
}

// Readable decodes CBOR without Go types into values that can be written as JSON. Maps and structs
// become maps whose keys are the encoded field numbers, in decimal, or the encoded names.
func Readable(t *testing.T, raw []byte) any {
	t.Helper()
	var v any
	if err := cbor.Unmarshal(raw, &v); err != nil {
		t.Fatal(err)
	}
	return readable(v)
}

func readable(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := map[string]any{}
		for key, val := range v {
			out[fmt.Sprint(key)] = readable(val)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = readable(v[i])
		}
		return out
	case []byte:
		return Text(v)
	case big.Int:
		return "integer " + v.String()
	case uint64, int64:
		return json.Number(fmt.Sprint(v))
	}
	return v
}

// Text returns b as text if it is valid UTF-8 without unprintable characters, otherwise in hex. The
// result begins with "text " or "hex ".
func Text(b []byte) string {
	if utf8.Valid(b) && strings.IndexFunc(string(b), func(r rune) bool { return !unicode.IsPrint(r) }) < 0 {
		return "text " + string(b)
	}
	return "hex " + hex.EncodeToString(b)
}

// CheckJSON compares the JSON encoding of v with the recorded JSON file at path.
func CheckJSON(t *testing.T, path string, v any) {
	t.Helper()
	if Updating() {
		writeJSON(t, path, v)
	}
	var want any
	readJSON(t, path, &want)
	if position, ok := difference("", normalize(t, v), want); ok {
		t.Errorf("the value differs from the record %s at %s", filepath.Base(path), position)
	}
}

// normalize encodes a value as JSON and decodes it again, so that it has the same Go types as a
// decoded record.
func normalize(t *testing.T, v any) (out any) {
	t.Helper()
	d := json.NewDecoder(strings.NewReader(marshalJSON(t, v)))
	d.UseNumber()
	if err := d.Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

// difference compares two decoded JSON values. If they differ, it returns a text with the position
// and the values of a difference, and true. at is the position of the compared values.
func difference(at string, got, want any) (string, bool) {
	switch got := got.(type) {
	case []any:
		if want, ok := want.([]any); ok && len(want) == len(got) {
			return differenceOfLists(at, got, want)
		}
	case map[string]any:
		if want, ok := want.(map[string]any); ok {
			return differenceOfMaps(at, got, want)
		}
	}
	return fmt.Sprintf("%s: got %v, recorded %v", at, got, want), !reflect.DeepEqual(got, want)
}

func differenceOfLists(at string, got, want []any) (string, bool) {
	for i := range got {
		if position, ok := difference(fmt.Sprintf("%s[%d]", at, i), got[i], want[i]); ok {
			return position, true
		}
	}
	return "", false
}

func differenceOfMaps(at string, got, want map[string]any) (string, bool) {
	for _, key := range slices.Sorted(maps.Keys(want)) {
		if position, ok := difference(at+"/"+key, got[key], want[key]); ok {
			return position, true
		}
	}
	for key := range got {
		if _, ok := want[key]; !ok {
			return fmt.Sprintf("%s/%s: missing from the record", at, key), true
		}
	}
	return "", false
}

func marshalJSON(t *testing.T, v any) string {
	t.Helper()
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func writeJSON(t *testing.T, path string, v any) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(marshalJSON(t, v)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

func readJSON(t *testing.T, path string, v any) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	d := json.NewDecoder(f)
	d.UseNumber()
	if err := d.Decode(v); err != nil {
		t.Fatal(err)
	}
}
