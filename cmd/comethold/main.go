// Command comethold is a search front over sharded indexes.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "comethold:", err)
		os.Exit(1)
	}
}
