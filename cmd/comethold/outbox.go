package main

import (
	"github.com/spf13/cobra"
)

// redriveRequest is the body of /Notices.Redrive.
type redriveRequest struct {
	EventID       string `json:"eventId"`
	Operator      string `json:"operator"`
	CorrelationID string `json:"correlationId"`
	Action        string `json:"action"`
}

func newOutboxCommand() *cobra.Command {
	outbox := &cobra.Command{
		Use:     "outbox",
		Short:   "Show and mend the outbox of notifications",
		Example: "  comethold outbox list --at 10.1.0.6:8729",
		Args:    usageArgs(cobra.NoArgs),
		RunE:    showHelp,
	}
	outbox.AddCommand(newOutboxListCommand(), newOutboxRedriveCommand())
	return outbox
}

func newOutboxListCommand() *cobra.Command {
	var client operatorClient
	list := &cobra.Command{
		Use:     "list",
		Short:   "Show the outbox's backlog, what is quarantined and what was redriven",
		Example: "  comethold outbox list --at 10.1.0.6:8729",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			return client.get(c, "/Notices.Read")
		},
	}
	client.addFlags(list)
	return list
}

func newOutboxRedriveCommand() *cobra.Command {
	var client operatorClient
	var request redriveRequest
	redrive := &cobra.Command{
		Use:   "redrive EVENT",
		Short: "Have a notification sent once more, or close its case",
		Long: `Have a notification sent once more, or close its case. Who did it, for what case and
what is recorded; the notification itself is never changed.`,
		Example: "  comethold outbox redrive EVENT --operator ada --correlation CASE-17 --action resend",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			request.EventID = args[0]
			return client.post(c, "/Notices.Redrive", request)
		},
	}
	flags := redrive.Flags()
	flags.StringVar(&request.Operator, "operator", "", "who orders it")
	flags.StringVar(&request.CorrelationID, "correlation", "", "the case that it belongs to")
	flags.StringVar(&request.Action, "action", "resend", "resend or close")
	client.addFlags(redrive)
	return redrive
}
