// Package docs_test checks the pages of this folder against the sources: names in backticks and
// link targets must exist, and events.md must list the events and fields of the log.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = ".."

// measuredPages lists the pages whose names are not checked, because they keep the names that were in use when
// their figures were measured.
var measuredPages = map[string]bool{"rounds.md": true, "results.md": true}

// foreignNames maps names in the pages that this repository does not declare to the place that declares them.
var foreignNames = map[string]string{
	"http.Transport":   "the standard library, net/http",
	"nolint":           "the linter",
	"downgradeSlackMs": "a bound in the operators' settings that no code reads",
}

var (
	codeSpan     = regexp.MustCompile("`([^`]+)`")
	codeBlock    = regexp.MustCompile("(?ms)^```.*?^```")
	markdownLink = regexp.MustCompile(`\]\(([^)#]+)`)
	plainWord    = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_]*$`)
	dottedName   = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*){1,2}$`)
	testMention  = regexp.MustCompile(`\bTest[A-Z]\w*(/[a-z][a-z0-9-]*)?`)
	testName     = regexp.MustCompile(`^(Test|Benchmark|Example|Fuzz)[A-Z]\w*(/[\w-]+)?$`)
	scenarioName = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)+$`)
	sourceFile   = regexp.MustCompile(`^[\w-]+\.(go|txt|md)$`)
	sourcePath   = regexp.MustCompile(`^(\.\./)*(internal|cmd|docs|deploy|examples|tools|\.ci)(/[\w.*-]+)*(/\.\.\.)?/?$`)
	identifier   = regexp.MustCompile(`[A-Za-z_]\w*`)
	hyphenated   = regexp.MustCompile(`[a-z0-9]+(?:-[a-z0-9]+)+`)
)

// sources indexes the declarations, words and file names of the repository.
type sources struct {
	packages  map[string]map[string]bool // package name -> its declarations, "Type.Member" for members
	members   map[string]bool            // "Type.Member" of all packages
	declared  map[string]bool            // every declared identifier
	tests     map[string]bool            // test, benchmark, example and fuzz functions
	words     map[string]bool            // words of string literals and of scenario and data files
	scenarios map[string]bool            // names of scenario files without .txt
	files     map[string]bool            // base names of all files
}

// TestNamesInPagesExist guards against pages that still use the old name of a test, declaration, file,
// scenario or key after it was renamed or removed.
func TestNamesInPagesExist(t *testing.T) {
	known := readSources(t)
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		// Code blocks are not checked. Their line breaks stay, so that reported line numbers are correct.
		text := codeBlock.ReplaceAllStringFunc(string(raw), func(block string) string {
			return strings.Repeat("\n", strings.Count(block, "\n"))
		})
		for lineIndex, line := range strings.Split(text, "\n") {
			for _, mention := range testMention.FindAllString(line, -1) {
				if problem := known.checkTest(mention); problem != "" {
					t.Errorf("%s:%d: test %s not found: %s", filepath.Base(page), lineIndex+1, mention, problem)
				}
			}
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				if problem := known.check(span[1]); problem != "" {
					t.Errorf("%s:%d: `%s` not found: %s", filepath.Base(page), lineIndex+1, span[1], problem)
				}
			}
		}
	}
}

// TestLinksInPagesExist guards against relative links in pages and incident reports whose target was
// moved or removed.
func TestLinksInPagesExist(t *testing.T) {
	incidents, err := filepath.Glob(filepath.Join("incidents", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range append(pages(t), incidents...) {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, link := range markdownLink.FindAllStringSubmatch(string(raw), -1) {
			if strings.Contains(link[1], "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), link[1])); err != nil {
				t.Errorf("%s: the target of the link to %s does not exist", page, link[1])
			}
		}
	}
}

// pages returns the paths of the pages whose names are checked: README.md, CONTRIBUTING.md if it exists, and
// the pages of this folder except measuredPages.
func pages(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("*.md")
	if err != nil || len(all) == 0 {
		t.Fatalf("found no *.md files in docs (error: %v), want at least one", err)
	}
	found := []string{filepath.Join(root, "README.md")}
	if contributing := filepath.Join(root, "CONTRIBUTING.md"); exists(contributing) {
		found = append(found, contributing)
	}
	for _, page := range all {
		if !measuredPages[page] {
			found = append(found, page)
		}
	}
	return found
}

// check returns the reason why a name in backticks is not found. Returns "" if it is found, or if its form
// is not checked.
func (s *sources) check(span string) string {
	name := strings.TrimSuffix(span, "()")
	if foreignNames[name] != "" {
		return ""
	}
	switch {
	case testName.MatchString(name):
		return s.checkTest(name)
	case sourcePath.MatchString(name):
		return checkPath(name)
	case sourceFile.MatchString(name):
		if !s.files[name] {
			return "no file has this name"
		}
	case strings.Contains(name, " "):
		return "" // a command or a line of a file
	case dottedName.MatchString(name):
		return s.checkDotted(name)
	case scenarioName.MatchString(name):
		if !s.scenarios[name] && !s.words[name] {
			return "no scenario file, command or value has this name"
		}
	case plainWord.MatchString(name):
		if !s.declared[name] && !s.words[name] && s.packages[name] == nil && !s.files[name] {
			return "no declaration, file, key or value has this name"
		}
	}
	return ""
}

func (s *sources) checkTest(name string) string {
	function, scenario, isScenario := strings.Cut(name, "/")
	if !s.tests[function] {
		return "no test has this name"
	}
	if isScenario && !s.scenarios[scenario] {
		return "no scenario file has this name"
	}
	return ""
}

func (s *sources) checkDotted(name string) string {
	first, rest, _ := strings.Cut(name, ".")
	switch {
	case s.members[name], s.words[name], s.files[name]:
		return ""
	case s.packages[first][rest]:
		return ""
	}
	// The name of a file to which the code appends an ending, for example vault.db.new.
	if ending := path.Ext(name); s.words[strings.TrimSuffix(name, ending)] && s.words[ending] {
		return ""
	}
	return "no declaration, file or key has this name"
}

func checkPath(name string) string {
	name = strings.TrimSuffix(strings.TrimSuffix(name, "..."), "/")
	found, err := filepath.Glob(filepath.Join(root, name))
	if err != nil || len(found) == 0 {
		return "no file or folder has this path"
	}
	return ""
}

func readSources(t *testing.T) *sources {
	t.Helper()
	s := &sources{
		packages:  map[string]map[string]bool{},
		members:   map[string]bool{},
		declared:  map[string]bool{},
		tests:     map[string]bool{},
		words:     map[string]bool{},
		scenarios: map[string]bool{},
		files:     map[string]bool{},
	}
	err := filepath.WalkDir(root, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			switch entry.Name() {
			case ".git", "target", "journal":
				return filepath.SkipDir
			}
			return nil
		}
		s.files[entry.Name()] = true
		switch path.Ext(entry.Name()) {
		case ".go":
			return s.addGo(file)
		case ".txt", ".toml", ".json", ".yml":
			return s.addText(file)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// addText adds the words of a scenario, settings or data file. Records a file in testdata, or in a direct
// subfolder of testdata, as a scenario.
func (s *sources) addText(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	s.addWords(string(raw))
	if filepath.Base(filepath.Dir(filepath.Dir(file))) == "testdata" || filepath.Base(filepath.Dir(file)) == "testdata" {
		s.scenarios[strings.TrimSuffix(filepath.Base(file), ".txt")] = true
	}
	return nil
}

func (s *sources) addWords(text string) {
	for _, word := range identifier.FindAllString(text, -1) {
		s.words[word] = true
	}
	for _, word := range hyphenated.FindAllString(text, -1) {
		s.words[word] = true
	}
	isSeparator := func(r rune) bool { return strings.ContainsRune(" \t\n\"'`/:;,=()?[]", r) }
	for _, field := range strings.FieldsFunc(text, isSeparator) {
		s.words[field] = true
	}
}

// addGo adds the declarations and the words of the string literals of a Go file. A main package is recorded
// under the name of its folder.
func (s *sources) addGo(file string) error {
	tree, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	name := strings.TrimSuffix(tree.Name.Name, "_test")
	if name == "main" {
		name = filepath.Base(filepath.Dir(file))
	}
	if s.packages[name] == nil {
		s.packages[name] = map[string]bool{}
	}
	for _, declaration := range tree.Decls {
		s.addDeclaration(name, declaration)
	}
	ast.Inspect(tree, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			s.addWords(literal.Value)
		}
		return true
	})
	return nil
}

func (s *sources) addDeclaration(pkg string, declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			s.add(pkg, "", d.Name.Name)
			if testName.MatchString(d.Name.Name) {
				s.tests[d.Name.Name] = true
			}
			return
		}
		s.add(pkg, receiverName(d.Recv.List[0].Type), d.Name.Name)
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch spec := spec.(type) {
			case *ast.TypeSpec:
				s.add(pkg, "", spec.Name.Name)
				s.addMembers(pkg, spec)
			case *ast.ValueSpec:
				for _, n := range spec.Names {
					s.add(pkg, "", n.Name)
				}
			}
		}
	}
}

// addMembers adds the fields of a struct or the methods of an interface.
func (s *sources) addMembers(pkg string, spec *ast.TypeSpec) {
	var fields *ast.FieldList
	switch kind := spec.Type.(type) {
	case *ast.StructType:
		fields = kind.Fields
	case *ast.InterfaceType:
		fields = kind.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, n := range field.Names {
			s.add(pkg, spec.Name.Name, n.Name)
		}
	}
}

// add records a declaration. owner is the type of a method or field, and empty for other declarations.
func (s *sources) add(pkg, owner, name string) {
	s.declared[name] = true
	if owner == "" {
		s.packages[pkg][name] = true
		return
	}
	s.members[owner+"."+name] = true
	s.packages[pkg][owner+"."+name] = true
}

func receiverName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.StarExpr:
		return receiverName(e.X)
	case *ast.IndexExpr:
		return receiverName(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

func exists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}
