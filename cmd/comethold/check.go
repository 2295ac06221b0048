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

// Extensions of the files that can be checked.
const (
	settingsExtension      = ".toml"
	configurationExtension = ".json"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings (.toml) or configurations (.json)",
		Long: `Check each file: settings end in .toml, configurations in .json.
Every fault is printed with its field; the exit code is 1 if there is any, and 2 if a
file cannot be read or has another ending.`,
		Example: "  comethold check examples/settings.toml examples/configuration.json",
		Args:    usageArgs(cobra.MinimumNArgs(1)),
		RunE:    runCheck,
	}
}

func runCheck(c *cobra.Command, names []string) error {
	contents, err := readFiles(names)
	if err != nil {
		return err
	}
	faulty := 0
	for i, name := range names {
		err := checkFile(name, contents[i])
		if err == nil {
			fmt.Fprintf(c.OutOrStdout(), "%s: fine\n", name)
			continue
		}
		faulty++
		for line := range strings.SplitSeq(err.Error(), "; ") {
			fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", name, line)
		}
	}
	if faulty > 0 {
		return fmt.Errorf("%d of %d files have faults", faulty, len(names))
	}
	return nil
}

// readFiles reads all files. It returns a usageError if a file cannot be read or has an unknown
// extension.
func readFiles(names []string) ([][]byte, error) {
	var contents [][]byte
	for _, name := range names {
		extension := filepath.Ext(name)
		if extension != settingsExtension && extension != configurationExtension {
			return nil, &usageError{fmt.Errorf("%s: unknown extension, want .toml (settings) or .json (configuration)", name)}
		}
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, &usageError{err}
		}
		contents = append(contents, raw)
	}
	return contents, nil
}

// checkFile parses and validates one file. Its error lists every fault, separated by "; ".
func checkFile(name string, raw []byte) error {
	if filepath.Ext(name) == settingsExtension {
		_, err := settings.Parse(raw)
		return err
	}
	_, err := routing.Parse(raw)
	return err
}
