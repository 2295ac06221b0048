package main

import (
	"net/url"
	"strconv"

	"github.com/spf13/cobra"
)

// estimateFilter selects the estimates to show; zero values select all.
type estimateFilter struct {
	service string
	class   string
	seconds int  // age limit of the slow lookups
	saved   bool // show the estimates on the control node's disk; the other fields are ignored
}

// path returns the path and query of the request.
func (f *estimateFilter) path() string {
	if f.saved {
		return "/Estimates.Saved"
	}
	query := url.Values{}
	if f.service != "" {
		query.Set("service", f.service)
	}
	if f.class != "" {
		query.Set("class", f.class)
	}
	if f.seconds > 0 {
		query.Set("seconds", strconv.Itoa(f.seconds))
	}
	return "/Estimates.Read?" + query.Encode()
}

func newEstimatesCommand() *cobra.Command {
	var client operatorClient
	var filter estimateFilter
	estimates := &cobra.Command{
		Use:     "estimates",
		Short:   "Show what slow lookups would have taken on other replicas, and where replicas differ",
		Example: "  comethold estimates --at 10.1.0.6:8729 --class urgent --seconds 600",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			return client.get(c, filter.path())
		},
	}
	flags := estimates.Flags()
	flags.StringVar(&filter.service, "service", "", "of this shard alone")
	flags.StringVar(&filter.class, "class", "", "urgent, bulk or archive")
	flags.IntVar(&filter.seconds, "seconds", 0, "slow lookups of so many seconds back")
	flags.BoolVar(&filter.saved, "saved", false, "what this control node wrote for its zone, every two minutes")
	client.addFlags(estimates)
	return estimates
}
