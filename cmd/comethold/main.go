// Command comethold is a search front over sharded indexes. The binary contains the three
// programs of a system (data plane, control plane, object cache) and the commands for
// operators; see docs/architecture.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"

	"comethold/internal/process"
	"comethold/internal/process/earlysignal"
)

// Exit codes.
const (
	exitFailure = 1 // the program or command failed
	exitUsage   = 2 // the command line names an unknown command, flag or file, or lacks an argument
)

func main() {
	if !runsProgram(os.Args[1:]) {
		earlysignal.Release()
	}
	os.Exit(execute(os.Args[1:]))
}

// runsProgram reports whether the arguments start a program, which handles signals itself.
func runsProgram(args []string) bool {
	programs := []string{dataPlaneName, controlPlaneName, objectCacheName}
	return len(args) > 0 && slices.Contains(programs, args[0])
}

// runProgram runs a program until a signal stops it or it fails.
func runProgram(name string, setUp func(*process.Process) error) error {
	return process.Run(process.Program{Name: name, Version: version, SetUp: setUp})
}

// execute runs the command that the arguments name and returns its exit code.
func execute(args []string) int {
	root := newRootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	if !process.IsReported(err) {
		fmt.Fprintln(os.Stderr, "comethold:", err)
	}
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}
