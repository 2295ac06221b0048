package compat_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"comethold/internal/compat"
)

// TestEveryRecordIsChecked guards against a recorded message that no test decodes, which happens when
// its test is moved or deleted. It searches the source of all tests for the name of each record.
func TestEveryRecordIsChecked(t *testing.T) {
	var tests strings.Builder
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		tests.Write(raw)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	records, err := filepath.Glob(compat.Path("messages", "*.json"))
	if err != nil || len(records) == 0 {
		t.Fatal("no recorded messages found:", err)
	}
	for _, path := range records {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		read := regexp.MustCompile(`Name: +"` + name + `"`) // gofmt may align values with several spaces
		if !read.MatchString(tests.String()) {
			t.Errorf("no test contains a message with the name of the record %s", name)
		}
	}
}
