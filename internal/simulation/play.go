// Package simulation runs scenario files in tests: small text files with one command per line;
// '#' starts a comment. A World defines the commands; docs/testing.md lists them. The package
// also has a FaultyDisk, which rejects writes, hangs and loses power.
//
// A World usually keeps its commands in a CommandTable:
//
//	var commands = simulation.CommandTable[*cell]{"kill": (*cell).kill}
//
//	func (w *cell) Do(c simulation.Command) error { return commands.Do(w, c) }
//
//	func TestScenarios(t *testing.T) {
//		simulation.RunScenarios(t, "testdata", synctest.Test, newWorld)
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

// World runs the commands of one scenario on simulated time. Do returns an error if a check of the command fails.
type World interface {
	Do(c Command) error
}

// SeedCount returns the number of seeds that a randomized test runs: COMETHOLD_SEEDS, or defaultCount if it is
// unset or invalid.
func SeedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("COMETHOLD_SEEDS")); err == nil && n > 0 {
		return n
	}
	return defaultCount
}

// RunScenarios runs every scenario file (*.txt) of a folder as a parallel subtest with a new World. wrap
// runs each of them on its own simulated time; callers pass synctest.Test.
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
				runLines(t, filepath.Base(file), string(raw), newWorld(t))
			})
		})
	}
}

// runLines runs the lines of a scenario up to the first that fails.
func runLines(t *testing.T, file, text string, world World) {
	t.Helper()
	for i, line := range strings.Split(text, "\n") {
		c, ok := Parse(line)
		if !ok {
			continue
		}
		if err := runCommand(world, c); err != nil {
			t.Fatalf("%s:%d: %s: %v", file, i+1, strings.TrimSpace(line), err)
		}
	}
}

// runCommand runs a command and returns a panic as an error.
func runCommand(world World, c Command) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return world.Do(c)
}
