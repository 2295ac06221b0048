package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// TestExitCodes checks the exit codes: 2 for an unknown command, flag or file, 1 for a failure.
// Both print exactly one line to standard error.
func TestExitCodes(t *testing.T) {
	t.Setenv("COMETHOLD_SETTINGS", "")
	faulty := filepath.Join(t.TempDir(), "faulty.json")
	if err := os.WriteFile(faulty, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := map[string]int{
		"":                    0,
		"version":             0,
		"--help":              0,
		"outbox":              0,
		"help":                0,
		"help outbox redrive": 0,
		"check ../../examples/settings.toml ../../examples/configuration.json": 0,
		"check " + faulty:         exitFailure,
		"data-plane":              exitFailure, // COMETHOLD_SETTINGS is empty
		"control-plane":           exitFailure,
		"object-cache":            exitFailure,
		"leases":                  exitFailure, // neither --at nor the settings name a control node
		"bogus":                   exitUsage,
		"--bogus":                 exitUsage,
		"help bogus":              exitUsage,
		"help outbox bogus":       exitUsage,
		"version extra":           exitUsage,
		"version -x":              exitUsage,
		"data-plane extra":        exitUsage,
		"outbox bogus":            exitUsage,
		"outbox list --bogus":     exitUsage,
		"outbox redrive":          exitUsage,
		"estimates --seconds ten": exitUsage,
		"check":                   exitUsage,
		"check absent.toml":       exitUsage,
		"check ../../README.md":   exitUsage,
	}
	for call, want := range cases {
		got, stderr := executeCaptured(t, strings.Fields(call))
		if got != want {
			t.Errorf("comethold %s: exit code %d, want %d", call, got, want)
		}
		lines := strings.Count(stderr, "\n")
		if want != 0 && (lines != 1 || !strings.HasPrefix(stderr, "comethold: ")) {
			t.Errorf("comethold %s: standard error is %q, want one line that begins with \"comethold: \"", call, stderr)
		}
	}
}

// TestCheckOutput checks that each fault of a file is printed on a separate line, and that files
// without faults are listed too.
func TestCheckOutput(t *testing.T) {
	faulty := filepath.Join(t.TempDir(), "faulty.json")
	config := `{"version":1,"routes":[{"name":"r"}],"services":[{"name":""}]}`
	if err := os.WriteFile(faulty, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	fine := "../../examples/configuration.json"
	root := newRootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs([]string{"check", faulty, fine})
	if err := root.Execute(); err == nil || err.Error() != "1 of 2 files have faults" {
		t.Errorf("check returned the error %v, want 1 of 2 files have faults", err)
	}
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	last := len(lines) - 1
	if last < 2 || lines[last] != fine+": fine" {
		t.Fatalf("check printed %q, want at least two faults and then %s: fine", out.String(), fine)
	}
	for _, line := range lines[:last] {
		if !strings.HasPrefix(line, faulty+": ") || strings.Contains(line, ";") {
			t.Errorf("line %q, want one fault that begins with %s: ", line, faulty)
		}
	}
	for _, field := range []string{"routes[0].hostname", "services[0].name"} {
		if !strings.Contains(out.String(), field) {
			t.Errorf("no printed fault contains the field %s: %q", field, out.String())
		}
	}
}

// executeCaptured runs a command line and returns its exit code and its standard error.
func executeCaptured(t *testing.T, args []string) (code int, stderr string) {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "stderr"))
	if err != nil {
		t.Fatal(err)
	}
	before, out := os.Stderr, os.Stdout
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	os.Stderr, os.Stdout = file, null
	code = execute(args)
	os.Stderr, os.Stdout = before, out
	_ = null.Close()
	_ = file.Close()
	raw, err := os.ReadFile(file.Name())
	if err != nil {
		t.Fatal(err)
	}
	return code, string(raw)
}

// TestEachCommandHasAnExample checks that each command has a short description and an example that calls it.
func TestEachCommandHasAnExample(t *testing.T) {
	root := newRootCommand()
	for _, c := range allCommands(root) {
		if c.Short == "" || !strings.Contains(c.Example, c.CommandPath()) && c != root {
			t.Errorf("%s: no short description, or no example that contains the command", c.CommandPath())
		}
	}
}

// TestDocumentedCommandsExist checks that the comethold commands in docs/*.md, README.md and
// deploy/system.toml exist.
func TestDocumentedCommandsExist(t *testing.T) {
	calls := regexp.MustCompile("(?:^|[`/ ])comethold ((?:[a-z-]+)(?: [a-z-]+)?)")
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("found %d pages in docs (error %v), want at least one", len(pages), err)
	}
	pages = append(pages, "../../README.md", "../../deploy/system.toml")
	found := 0
	for _, page := range pages {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(raw)) {
			isCode := strings.HasPrefix(line, "    ") || strings.HasPrefix(line, "run = ")
			for _, match := range calls.FindAllStringSubmatch(line, -1) {
				if !isCode && !strings.Contains(line, "`"+strings.TrimLeft(match[0], "`/ ")) {
					continue
				}
				found++
				if c, _, err := newRootCommand().Find(strings.Fields(match[1])); err != nil || !c.HasParent() {
					t.Errorf("%s: comethold %s is not a command", filepath.Base(page), match[1])
				}
			}
		}
	}
	if found < 10 {
		t.Errorf("found %d comethold commands in the pages, want at least 10", found)
	}
}

// allCommands returns a command and all its subcommands.
func allCommands(c *cobra.Command) []*cobra.Command {
	all := []*cobra.Command{c}
	for _, child := range c.Commands() {
		all = append(all, allCommands(child)...)
	}
	return all
}

// TestOperatorCalls checks the request that each operator command sends to a control node, and that it prints the
// response with indentation.
func TestOperatorCalls(t *testing.T) {
	var requested, body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		requested, body = r.Method+" "+r.URL.String(), string(raw)
		_, _ = io.WriteString(w, `{"a":1}`)
	}))
	defer server.Close()
	cases := []struct{ call, requested, body string }{
		{"outbox list", "GET /Notices.Read", ""},
		{"leases", "GET /Duties.Read", ""},
		{"estimates --saved", "GET /Estimates.Saved", ""},
		{
			"estimates --class urgent --seconds 5 --service s1",
			"GET /Estimates.Read?class=urgent&seconds=5&service=s1", "",
		},
		{
			"outbox redrive e1 --operator o --correlation c", "POST /Notices.Redrive",
			`{"eventId":"e1","operator":"o","correlationId":"c","action":"resend"}`,
		},
	}
	for _, test := range cases {
		root := newRootCommand()
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetArgs(append(strings.Fields(test.call), "--at", strings.TrimPrefix(server.URL, "http://")))
		if err := root.Execute(); err != nil {
			t.Errorf("comethold %s: Execute returned %v, want no error", test.call, err)
		}
		if requested != test.requested || body != test.body {
			t.Errorf("comethold %s: sent %s with body %q, want %s with body %q",
				test.call, requested, body, test.requested, test.body)
		}
		if out.String() != "{\n  \"a\": 1\n}\n" {
			t.Errorf("comethold %s: printed %q, want the indented response", test.call, out.String())
		}
	}
}
