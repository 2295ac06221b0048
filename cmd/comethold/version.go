package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// version is the version of the source tree. A release build overrides it.
var version = "0.1.0-dev"

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  comethold version",
		Args:    usageArgs(cobra.NoArgs),
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "comethold", version)
		},
	}
}
