// Command comethold is a search front over sharded indexes. One binary holds the three
// programs of a system (data plane, control plane, object cache) and the operators'
// commands; see docs/architecture.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitFailure = 1 // the program or command failed
	exitUsage   = 2 // the call names an unknown command, flag or file
)

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute runs the command that the arguments name and returns the exit code.
func execute(args []string) int {
	root := newRootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "comethold:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}
