package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var (
	eventRow = regexp.MustCompile(`(?m)^\| (\d{3}) \|`)
	fieldRow = regexp.MustCompile("(?m)^\\| `(\\w+)` \\|")
)

// TestEventsAreListed guards against an event number that is declared but has no row in events.md, and
// against a row whose event number is not declared.
func TestEventsAreListed(t *testing.T) {
	compareNames(t, "event", declaredEvents(t), firstColumn(t, eventRow))
}

// TestLogFieldsAreListed guards against a field of a log line that has no row in events.md, and against a
// row whose field is in no log line.
func TestLogFieldsAreListed(t *testing.T) {
	compareNames(t, "field", usedLogFields(t), firstColumn(t, fieldRow))
}

// compareNames reports the names that are only in the sources or only in events.md. The failure texts use
// kind ("event" or "field") to describe a name.
func compareNames(t *testing.T, kind string, inSources, listed []string) {
	t.Helper()
	for _, name := range inSources {
		if !slices.Contains(listed, name) {
			t.Errorf("events.md has no row for the %s %s, which is in the sources", kind, name)
		}
	}
	for _, name := range listed {
		if !slices.Contains(inSources, name) {
			t.Errorf("events.md has a row for the %s %s, which is not in the sources", kind, name)
		}
	}
}

// firstColumn returns the first column of the rows of events.md that match row.
func firstColumn(t *testing.T, row *regexp.Regexp) []string {
	t.Helper()
	raw, err := os.ReadFile("events.md")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, match := range row.FindAllStringSubmatch(string(raw), -1) {
		names = append(names, match[1])
	}
	return names
}

// declaredEvents returns the event numbers that internal/logging declares.
func declaredEvents(t *testing.T) []string {
	t.Helper()
	var numbers []string
	inspectSources(t, filepath.Join(root, "internal", "logging"), func(node ast.Node) {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return
		}
		typeName, isIdent := spec.Type.(*ast.Ident)
		value, isLiteral := spec.Values[0].(*ast.BasicLit)
		if isIdent && isLiteral && typeName.Name == "EventNumber" {
			numbers = append(numbers, value.Value)
		}
	})
	if len(numbers) == 0 {
		t.Fatal("found no event numbers in internal/logging, want at least one")
	}
	return numbers
}

// usedLogFields returns the sorted names of the fields that the sources add to a log line before they call Msg.
func usedLogFields(t *testing.T) []string {
	t.Helper()
	fields := map[string]bool{}
	inspectSources(t, root, func(node ast.Node) {
		call, selector := methodCall(node)
		if call == nil || selector.Sel.Name != "Msg" {
			return
		}
		for {
			call, selector = methodCall(selector.X)
			if call == nil {
				return
			}
			if selector.Sel.Name == "Err" {
				fields["error"] = true // zerolog's field name for Err
			}
			if name, ok := firstStringLiteral(call.Args); ok && selector.Sel.Name != "Msg" {
				fields[name] = true
			}
		}
	})
	var names []string
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// methodCall returns the call and the selector of a node of the form x.Method(...), and nil for any other node.
func methodCall(node ast.Node) (*ast.CallExpr, *ast.SelectorExpr) {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return nil, nil
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil, nil
	}
	return call, selector
}

// firstStringLiteral returns the value of the first argument. Returns false if it is not a string literal.
func firstStringLiteral(args []ast.Expr) (string, bool) {
	if len(args) == 0 {
		return "", false
	}
	value, ok := args[0].(*ast.BasicLit)
	if !ok || value.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(value.Value)
	return text, err == nil
}

// inspectSources calls visit for every syntax node of the Go files below dir, except test files.
func inspectSources(t *testing.T, dir string, visit func(ast.Node)) {
	t.Helper()
	err := filepath.WalkDir(dir, func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() && entry.Name() == ".git" {
			return errorOrSkip(err)
		}
		if !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
			return nil
		}
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(tree, func(node ast.Node) bool {
			visit(node)
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func errorOrSkip(err error) error {
	if err != nil {
		return err
	}
	return filepath.SkipDir
}
