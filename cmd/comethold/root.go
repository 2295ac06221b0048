package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// usageError means that the command line has an unknown command, flag or file, or lacks an
// argument. The exit code is exitUsage.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

// usageArgs turns the errors of an argument check into usage errors.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return &usageError{err}
		}
		return nil
	}
}

// showHelp prints the help of a command group that was called without a subcommand.
func showHelp(c *cobra.Command, _ []string) error { return c.Help() }

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "comethold",
		Short: "A search front over sharded indexes",
		Long: `comethold routes requests to leafs, gathers answers from the shards of an index,
and keeps its own state in small replicated Paxos cells.`,
		Example:       "  comethold check examples/settings.toml examples/configuration.json",
		Args:          usageArgs(cobra.NoArgs),
		RunE:          showHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	root.AddCommand(
		newDataPlaneCommand(),
		newControlPlaneCommand(),
		newObjectCacheCommand(),
		newCheckCommand(),
		newOutboxCommand(),
		newLeasesCommand(),
		newEstimatesCommand(),
		newVersionCommand(),
	)
	configureHelp(root)
	return root
}

// configureHelp gives the help command an example, and makes help for an unknown command a
// usage error. By default cobra shows the help of the root command instead.
func configureHelp(root *cobra.Command) {
	root.InitDefaultHelpCmd()
	for _, c := range root.Commands() {
		if c.Name() != "help" {
			continue
		}
		c.Example = "  comethold help outbox redrive"
		c.Args = usageArgs(func(_ *cobra.Command, topic []string) error {
			if _, rest, err := root.Find(topic); err != nil || len(rest) > 0 {
				return fmt.Errorf("unknown help topic %q", strings.Join(topic, " "))
			}
			return nil
		})
	}
}
