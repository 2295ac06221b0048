// Command soak runs soak tests with real processes; see docs/testing.md. It exits with 0 if no rule was violated, 1 if
// a rule was violated, and 2 if a run failed.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"comethold/internal/soak"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitViolated = 1
	exitFailure  = 2
)

// runMargin limits the time that a run takes in addition to its disruptions.
const runMargin = 3 * time.Minute

var errViolated = errors.New("a rule was violated")

// options are the values of the command-line flags.
type options struct {
	size      soak.Size
	seed      uint64
	runs      uint64
	duration  time.Duration
	binary    string
	keep      string
	raceBuilt bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := newCommand().ExecuteContext(ctx)
	stop()
	switch {
	case errors.Is(err, errViolated):
		os.Exit(exitViolated)
	case err != nil:
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(exitFailure)
	}
}

func newCommand() *cobra.Command {
	o := &options{}
	command := &cobra.Command{
		Use:           "soak",
		Short:         "Run soak tests: real processes under disruptions generated from seeds",
		Example:       "  soak --binary target/comethold --seed 1 --runs 50 --duration 30s",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return run(c.Context(), o) },
	}
	flags := command.Flags()
	flags.StringVar(&o.binary, "binary", "target/comethold", "path of the program")
	flags.BoolVar(&o.raceBuilt, "race-built", false,
		"the program is built with the race detector; memory limits are not checked")
	flags.StringVar(&o.keep, "keep", "",
		"directory for plans, settings and logs; if empty, they are removed unless a rule was violated")
	flags.Uint64Var(&o.seed, "seed", 1, "first seed")
	flags.Uint64Var(&o.runs, "runs", 1, "number of seeds, one run each")
	flags.DurationVar(&o.duration, "duration", 30*time.Second, "duration of the disruptions in each run")
	flags.IntVar(&o.size.ControlNodes, "control-nodes", 3, "control nodes")
	flags.IntVar(&o.size.Proxies, "proxies", 3, "proxies")
	flags.IntVar(&o.size.ObjectCaches, "object-caches", 1, "object caches")
	flags.IntVar(&o.size.Clients, "clients", 8, "clients")
	return command
}

func run(ctx context.Context, o *options) error {
	var failed error
	for seed := o.seed; seed < o.seed+o.runs && ctx.Err() == nil; seed++ {
		held, err := runSeed(ctx, o, seed)
		if err != nil {
			return err
		}
		if !held {
			failed = errViolated
		}
	}
	return failed
}

// runSeed runs the plan of one seed and reports whether all rules held. The files of the run are kept if a rule was
// violated or --keep is set.
func runSeed(ctx context.Context, o *options, seed uint64) (held bool, err error) {
	dir, err := os.MkdirTemp(o.keep, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.duration+runMargin)
	defer cancel()
	progress := func(line string) { fmt.Fprintf(os.Stderr, "seed %d: %s\n", seed, line) }
	plan := soak.GeneratePlan(seed, o.duration, o.size)
	plan.RaceBuilt = o.raceBuilt
	report, err := soak.Run(ctx, plan, o.binary, dir, progress)
	if err != nil {
		return false, err
	}
	raw, err := json.Marshal(report)
	if err != nil {
		return false, err
	}
	fmt.Println(string(raw))
	held = len(report.Violations) == 0
	if held && o.keep == "" {
		return true, os.RemoveAll(dir)
	}
	fmt.Fprintln(os.Stderr, "kept:", filepath.Clean(dir))
	return held, nil
}
