// Package compat holds the records of what earlier versions stored and sent, and the
// checks that this version still reads them.
//
// During a roll-out two versions run side by side, and a new version opens the data
// directories of the old one. So bucket names, keys and cbor numbers never change. The
// records under testdata are keyed by these alone: a rename of a Go identifier or a move of
// a type to another package leaves them as they are.
//
// The records are rewritten by
//
//	COMPAT_UPDATE=1 go test ./...
//
// which is right only after something was added, or if an old format is dropped on purpose.
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
	Name  string // of its record; never changes
	Value any    // the value that the record must decode to; a struct, map or slice, not a pointer
}

// record is the file of a message.
type record struct {
	CBOR  string `json:"cbor"`  // the recorded bytes, in hex
	Value any    `json:"value"` // the same in readable form, by cbor numbers
}

// Updating reports whether the records are to be rewritten.
func Updating() bool { return os.Getenv("COMPAT_UPDATE") != "" }

// Path returns the path of a file in this package's testdata, whichever package the test runs in.
func Path(names ...string) string {
	_, self, _, _ := runtime.Caller(0)
	return filepath.Join(append([]string{filepath.Dir(self), "testdata"}, names...)...)
}

// CheckMessages decodes the recorded bytes of every message and compares the result with its value.
// It also compares this version's encoding of the value with the record. Together the messages must
// fill every field of every type that they contain.
func CheckMessages(t *testing.T, messages []Message) {
	t.Helper()
	filled := fields{}
	for _, m := range messages {
		filled.note(reflect.ValueOf(m.Value))
		t.Run(m.Name, func(t *testing.T) { checkMessage(t, m) })
	}
	for _, name := range filled.empty() {
		t.Errorf("no message fills %s: add a record that does", name)
	}
}

func checkMessage(t *testing.T, m Message) {
	t.Helper()
	sent, err := cbor.Marshal(m.Value)
	if err != nil {
		t.Fatal(err)
	}
	path := Path("messages", m.Name+".json")
	if Updating() {
		write(t, path, record{hex.EncodeToString(sent), Readable(t, sent)})
	}
	var rec record
	read(t, path, &rec)
	recorded, err := hex.DecodeString(rec.CBOR)
	if err != nil {
		t.Fatal(err)
	}
	decoded := reflect.New(reflect.TypeOf(m.Value))
	if err := cbor.Unmarshal(recorded, decoded.Interface()); err != nil {
		t.Fatalf("the recorded message can't be decoded: %v", err)
	}
	if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, m.Value) {
		t.Errorf("the recorded message decodes to\n%+v, not\n%+v", got, m.Value)
	}
	if place, ok := difference("", plain(t, Readable(t, sent)), rec.Value); ok {
		t.Errorf("what this version sends differs at %s", place)
	}
}

// Readable decodes cbor without knowledge of Go types: maps by their numbers or names.
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

// Text returns bytes as text if they are printable, else in hex.
func Text(b []byte) string {
	if utf8.Valid(b) && strings.IndexFunc(string(b), func(r rune) bool { return !unicode.IsPrint(r) }) < 0 {
		return "text " + string(b)
	}
	return "hex " + hex.EncodeToString(b)
}

// CheckJSON compares a value with the recorded one in a file of testdata.
func CheckJSON(t *testing.T, path string, v any) {
	t.Helper()
	if Updating() {
		write(t, path, v)
	}
	var want any
	read(t, path, &want)
	if at, ok := difference("", plain(t, v), want); ok {
		t.Errorf("%s differs at %s", filepath.Base(path), at)
	}
}

// plain encodes a value as JSON and decodes it again.
func plain(t *testing.T, v any) (out any) {
	t.Helper()
	d := json.NewDecoder(strings.NewReader(asJSON(t, v)))
	d.UseNumber()
	if err := d.Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

// difference returns a position at which two decoded values differ.
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
	return fmt.Sprintf("%s: %v, recorded is %v", at, got, want), !reflect.DeepEqual(got, want)
}

func differenceOfLists(at string, got, want []any) (string, bool) {
	for i := range got {
		if place, ok := difference(fmt.Sprintf("%s[%d]", at, i), got[i], want[i]); ok {
			return place, true
		}
	}
	return "", false
}

func differenceOfMaps(at string, got, want map[string]any) (string, bool) {
	for _, key := range slices.Sorted(maps.Keys(want)) {
		if place, ok := difference(at+"/"+key, got[key], want[key]); ok {
			return place, true
		}
	}
	for key := range got {
		if _, ok := want[key]; !ok {
			return fmt.Sprintf("%s/%s: not recorded", at, key), true
		}
	}
	return "", false
}

func asJSON(t *testing.T, v any) string {
	t.Helper()
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func write(t *testing.T, path string, v any) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(asJSON(t, v)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, path string, v any) {
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
