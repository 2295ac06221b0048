package logging

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
)

// TestEventsAreDocumented checks that events.go and docs/events.md contain the same event numbers, each once.
func TestEventsAreDocumented(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var declared []string
	ast.Inspect(file, func(node ast.Node) bool {
		if number, ok := node.(*ast.BasicLit); ok && number.Kind == token.INT {
			declared = append(declared, number.Value)
		}
		return true
	})
	raw, err := os.ReadFile(filepath.Join("..", "..", "docs", "events.md"))
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for _, row := range regexp.MustCompile(`(?m)^\| (\d{3}) \|`).FindAllSubmatch(raw, -1) {
		documented = append(documented, string(row[1]))
	}
	slices.Sort(declared)
	slices.Sort(documented)
	if len(declared) == 0 || fmt.Sprint(declared) != fmt.Sprint(documented) {
		t.Errorf("events.go declares %v, docs/events.md lists %v, want the same numbers, each once", declared, documented)
	}
}
