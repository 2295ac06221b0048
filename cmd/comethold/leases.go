package main

import (
	"github.com/spf13/cobra"
)

func newLeasesCommand() *cobra.Command {
	var client operatorClient
	leases := &cobra.Command{
		Use:     "leases",
		Short:   "Show who holds the lease of which singleton role, its fencing token, and how the usage reports stand",
		Example: "  comethold leases --at 10.1.0.6:8729",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			return client.get(c, "/Duties.Read")
		},
	}
	client.addFlags(leases)
	return leases
}
