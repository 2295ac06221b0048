package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"comethold/internal/settings"

	"github.com/spf13/cobra"
)

// operatorTimeout limits the duration of a request to a control node.
const operatorTimeout = 5 * time.Second

// operatorClient sends requests to the operator API of one control node and prints the responses.
type operatorClient struct {
	address string // empty: the control node in this machine's settings
}

// addFlags adds the flag --at, which sets the address of the control node.
func (o *operatorClient) addFlags(commands ...*cobra.Command) {
	for _, c := range commands {
		c.Flags().StringVar(&o.address, "at", "", "the control address of a control node (this machine's, if absent)")
	}
}

// resolveAddress returns the address of the control node: the value of the flag --at or, if it
// is absent, the address in this machine's settings.
func (o *operatorClient) resolveAddress() (string, error) {
	if o.address != "" {
		return o.address, nil
	}
	path, err := settings.Path()
	if err != nil {
		return "", fmt.Errorf("name a control node with --at: %w", err)
	}
	loaded, err := settings.Load(path)
	if err != nil {
		return "", err
	}
	if loaded.Listen.ControlPlane == "" {
		return "", errors.New("name a control node with --at: the settings name no listenAddresses.controlPlane")
	}
	return loaded.Listen.ControlPlane, nil
}

// get sends a GET request and prints the response.
func (o *operatorClient) get(c *cobra.Command, path string) error {
	return o.call(c, http.MethodGet, path, nil)
}

// post sends a value as JSON in a POST request and prints the response.
func (o *operatorClient) post(c *cobra.Command, path string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return o.call(c, http.MethodPost, path, bytes.NewReader(raw))
}

// call sends one request and prints the response body. A status other than 200 is an error.
func (o *operatorClient) call(c *cobra.Command, method, path string, body io.Reader) error {
	address, err := o.resolveAddress()
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(c.Context(), method, "http://"+address+path, body)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: operatorTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read completely
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(raw))
	}
	fmt.Fprintln(c.OutOrStdout(), indented(raw))
	return nil
}

// indented returns JSON with indentation. It returns text that is not JSON unchanged.
func indented(raw []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, raw, "", "  ") != nil {
		return string(raw)
	}
	return out.String()
}
