// Package simulation plays scenario files in tests: small text files with one command per line
// and '#' before comments. A World defines the commands; docs/testing.md lists them. The package
// also has a FaultyDisk, which rejects writes, hangs and loses power.
//
// A world usually keeps its commands in a CommandTable:
//
//	var commands = simulation.CommandTable[*cell]{"kill": (*cell).kill}
//
//	func (w *cell) Do(c simulation.Command) error { return commands.Do(w, c) }
//
//	func TestScenarios(t *testing.T) {
//		simulation.Play(t, "testdata", synctest.Test, newWorld)
//	}
package simulation

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// World runs commands on simulated time. A command whose check fails returns an error.
type World interface {
	Do(c Command) error
}

// SeedCount returns how many seeds a randomized test plays: COMETHOLD_SEEDS, or few if unset.
func SeedCount(few int) int {
	if n, err := strconv.Atoi(os.Getenv("COMETHOLD_SEEDS")); err == nil && n > 0 {
		return n
	}
	return few
}

// RunScenarios runs every scenario file of a folder in a world of its own, several in parallel. wrap
// runs each in its simulated time; it is synctest.Test.
func RunScenarios(
	t *testing.T, dir string, wrap func(t *testing.T, run func(t *testing.T)), newWorld func(t *testing.T) World,
) {
	t.Helper()
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
				t.Helper()
				playLines(t, filepath.Base(file), string(raw), newWorld(t))
			})
		})
	}
}

// playLines runs the lines of a scenario, up to the first that fails.
func playLines(t *testing.T, file, text string, world World) {
	t.Helper()
	for i, line := range strings.Split(text, "\n") {
		c, ok := Parse(line)
		if !ok {
			continue
		}
		if err := perform(world, c); err != nil {
			t.Fatalf("%s:%d: %s: %v", file, i+1, strings.TrimSpace(line), err)
		}
	}
}

// perform runs a command and turns a panic into its error.
func perform(world World, c Command) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return world.Do(c)
}
