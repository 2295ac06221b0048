// Package scenario plays scenario files in tests: small text files, a command a
// line, '#' before a comment. What the commands do is up to a world; they are
// listed in docs/testing.md.
package simulation

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// World carries out commands on simulated time. A command that finds something
// amiss returns an error.
type World interface {
	Do(c Command) error
}

// Command is one line: a verb, words, and key=value options.
type Command struct {
	Line    string
	Verb    string
	Words   []string
	Options map[string]string
}

// Parse reads a line; ok is false for an empty one.
func Parse(line string) (c Command, ok bool) {
	line, _, _ = strings.Cut(line, "#")
	f := strings.Fields(line)
	if len(f) == 0 {
		return c, false
	}
	c = Command{Line: strings.TrimSpace(line), Verb: f[0], Options: map[string]string{}}
	for _, w := range f[1:] {
		if k, v, found := strings.Cut(w, "="); found {
			c.Options[k] = v
		} else {
			c.Words = append(c.Words, w)
		}
	}
	return c, true
}

// Word returns the i-th word or "".
func (c Command) Word(i int) string {
	if i < len(c.Words) {
		return c.Words[i]
	}
	return ""
}

// Number returns an option as a number, or what stands for it when absent.
func (c Command) Number(key string, absent float64) float64 {
	v, err := strconv.ParseFloat(c.Options[key], 64)
	if err != nil {
		return absent
	}
	return v
}

// Milliseconds returns a word as milliseconds.
func (c Command) Milliseconds(i int) time.Duration {
	v, _ := strconv.ParseFloat(c.Word(i), 64)
	return time.Duration(v * float64(time.Millisecond))
}

// SeedCount is how many seeds a chaos test draws from: what COMETHOLD_SEEDS says, or few.
func SeedCount(few int) int {
	if n, err := strconv.Atoi(os.Getenv("COMETHOLD_SEEDS")); err == nil && n > 0 {
		return n
	}
	return few
}

// Play runs every file of a folder in a world of its own, several at once. wrap puts
// each run into its simulated time.
func Play(t *testing.T, dir string, wrap func(t *testing.T, run func(t *testing.T)), world func(t *testing.T) World) {
	files, err := filepath.Glob(filepath.Join(dir, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios in %s: %v", dir, err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			wrap(t, func(t *testing.T) {
				w := world(t)
				for i, line := range strings.Split(string(raw), "\n") {
					c, ok := Parse(line)
					if !ok {
						continue
					}
					if err := perform(w, c); err != nil {
						t.Fatalf("%s:%d: %s: %v", filepath.Base(file), i+1, strings.TrimSpace(line), err)
					}
				}
			})
		})
	}
}

func perform(w World, c Command) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return w.Do(c)
}
