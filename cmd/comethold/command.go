package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"comethold/internal/routing"
	"comethold/internal/settings"

	"github.com/spf13/cobra"
)

// version is the version of the sources; a release build sets it.
var version = "0.1.0-dev"

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "comethold",
		Short:         "A search front over sharded indexes",
		Long:          "comethold routes requests to leafs, gathers answers from the shards of an index,\nand keeps its own state in small replicated cells.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		&cobra.Command{
			Use:   "switch",
			Short: "Run the data plane of this node",
			Long:  "Run the data plane. The settings file is the one that " + settings.Env + " names.",
			Args:  cobra.NoArgs,
			RunE:  func(*cobra.Command, []string) error { return runProgram(runDataPlane) },
		},
		&cobra.Command{
			Use:   "registrar",
			Short: "Run the control plane of this node",
			Long:  "Run the control plane. The settings file is the one that " + settings.Env + " names;\nit must name a data directory.",
			Args:  cobra.NoArgs,
			RunE:  func(*cobra.Command, []string) error { return runProgram(runControlPlane) },
		},
		&cobra.Command{
			Use:   "announcer",
			Short: "Run the shared object cache of this node",
			Long:  "Run the shared object cache of a content deployment. The settings file is the\none that " + settings.Env + " names.",
			Args:  cobra.NoArgs,
			RunE:  func(*cobra.Command, []string) error { return runProgram(runObjectCache) },
		},
		&cobra.Command{
			Use:   "check FILE...",
			Short: "Check settings (.toml) or configurations (.json)",
			Long:  "Check each file: settings end in .toml, configurations in .json.\nEvery fault is printed with its field; the exit code is 1 if there is any.",
			Args:  cobra.MinimumNArgs(1),
			RunE:  runCheck,
		},
		&cobra.Command{
			Use:   "version",
			Short: "Print the version",
			Args:  cobra.NoArgs,
			Run:   func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "comethold", version) },
		},
	)
	root.AddCommand(operatorCommands()...)
	return root
}

func runCheck(c *cobra.Command, files []string) error {
	bad := 0
	for _, name := range files {
		raw, err := os.ReadFile(name)
		if err == nil {
			switch filepath.Ext(name) {
			case ".toml":
				_, err = settings.Parse(raw)
			case ".json":
				_, err = routing.Parse(raw)
			default:
				err = fmt.Errorf("settings end in .toml, configurations in .json")
			}
		}
		if err == nil {
			fmt.Fprintf(c.OutOrStdout(), "%s: fine\n", name)
			continue
		}
		bad++
		for _, line := range strings.Split(err.Error(), "; ") {
			fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", name, line)
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d files have faults", bad, len(files))
	}
	return nil
}
