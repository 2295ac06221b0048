package compat_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"comethold/internal/compat"
)

// TestEveryRecordIsChecked: every record is checked by a test, even after tests have moved.
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
		t.Fatal("there are no records", err)
	}
	for _, path := range records {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		read := regexp.MustCompile(`Name: +"` + name + `"`) // gofmt aligns values
		if !read.MatchString(tests.String()) {
			t.Errorf("no test reads the record %s", name)
		}
	}
}
