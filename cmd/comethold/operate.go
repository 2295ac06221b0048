package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"comethold/internal/settings"

	"github.com/spf13/cobra"
)

const operatorTimeout = 5 * time.Second

// controlPlaneAddress is the address of a registrar: the one named, or that of this machine's
// settings.
func controlPlaneAddress(at string) (string, error) {
	if at != "" {
		return at, nil
	}
	path, err := settings.Path()
	if err != nil {
		return "", fmt.Errorf("name a registrar with --at: %w", err)
	}
	set, err := settings.Load(path)
	if err != nil {
		return "", err
	}
	if set.Listen.ControlPlane == "" {
		return "", fmt.Errorf("name a registrar with --at: the settings name no listenAddresses.controlPlane")
	}
	return set.Listen.ControlPlane, nil
}

// callControlPlane makes one call to a registrar and prints the answer.
func callControlPlane(c *cobra.Command, at, method, path string, in any) error {
	addr, err := controlPlaneAddress(at)
	if err != nil {
		return err
	}
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(c.Context(), method, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Timeout: operatorTimeout}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(raw))
	}
	var out bytes.Buffer
	if json.Indent(&out, raw, "", "  ") != nil {
		out.Reset()
		out.Write(raw)
	}
	fmt.Fprintln(c.OutOrStdout(), out.String())
	return nil
}

func operatorCommands() []*cobra.Command {
	var at string
	notices := &cobra.Command{
		Use:   "notices",
		Short: "Show the outbox's backlog, what is quarantined and what was redriven",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return callControlPlane(c, at, http.MethodGet, "/Notices.Read", nil)
		},
	}
	duties := &cobra.Command{
		Use:   "duties",
		Short: "Show who holds which duty, its fence, and how the usage reports stand",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return callControlPlane(c, at, http.MethodGet, "/Duties.Read", nil)
		},
	}
	var service, class string
	var seconds int
	var saved bool
	estimates := &cobra.Command{
		Use:   "estimates",
		Short: "Show what slow lookups would have taken on other copies, and where copies differ",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if saved {
				return callControlPlane(c, at, http.MethodGet, "/Estimates.Saved", nil)
			}
			q := url.Values{}
			for k, v := range map[string]string{"service": service, "class": class} {
				if v != "" {
					q.Set(k, v)
				}
			}
			if seconds > 0 {
				q.Set("seconds", strconv.Itoa(seconds))
			}
			return callControlPlane(c, at, http.MethodGet, "/Estimates.Read?"+q.Encode(), nil)
		},
	}
	estimates.Flags().StringVar(&service, "service", "", "of this shard alone")
	estimates.Flags().StringVar(&class, "class", "", "urgent, bulk or archive")
	estimates.Flags().IntVar(&seconds, "seconds", 0, "slow lookups of so many seconds back")
	estimates.Flags().BoolVar(&saved, "saved", false, "what this registrar wrote for its zone, every two minutes")
	var order struct {
		EventID       string `json:"eventId"`
		Operator      string `json:"operator"`
		CorrelationID string `json:"correlationId"`
		Action        string `json:"action"`
	}
	redrive := &cobra.Command{
		Use:   "redrive EVENT",
		Short: "Have a notice sent once more, or close its case",
		Long:  "Have a notice sent once more, or close its case. Who did it, for what case and what\nis recorded; the notice itself is never changed.",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			order.EventID = args[0]
			return callControlPlane(c, at, http.MethodPost, "/Notices.Redrive", order)
		},
	}
	f := redrive.Flags()
	f.StringVar(&order.Operator, "operator", "", "who orders it")
	f.StringVar(&order.CorrelationID, "correlation", "", "the case that it belongs to")
	f.StringVar(&order.Action, "action", "resend", "resend or close")
	for _, c := range []*cobra.Command{notices, redrive, duties, estimates} {
		c.Flags().StringVar(&at, "at", "", "the control address of a registrar (this machine's, if absent)")
	}
	return []*cobra.Command{notices, redrive, duties, estimates}
}
